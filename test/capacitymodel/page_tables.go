package capacitymodel

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
)

// The texts of these tables are those of docs/CAPACITY.md.

// quantities are the figures of a role that the tables show.
var quantities = []struct {
	name, column, unit string
	limit              float64
}{
	{"messages a second", "messages_s", "", 0},
	{"bytes a second", "bytes_s", "B", LimitBytes},
	{"processor, of one core", "cpu_s_per_s", "%", LimitCPU},
	{"heap", "heap_bytes", "B", LimitHeap},
}

// shownRoles are the roles that the tables show.
var shownRoles = []string{"edge", "duty", "store", "core", "primary"}

// axisTable is one axis: from the smallest size to the largest, and how each figure grows.
func axisTable(a axis) func(*Tables) string {
	return func(t *Tables) string {
		out := &markdownTable{}
		header := []string{"role"}
		for _, q := range quantities {
			header = append(header, q.name)
		}
		out.addCells(header...)
		for _, role := range shownRoles {
			cells := []string{role}
			for _, q := range quantities {
				x, y := t.points(a, role+"_"+q.column)
				cells = append(cells, growthCell(x, y, q.unit))
			}
			out.addCells(cells...)
		}
		return out.text()
	}
}

// growthCell says how a figure grows with x.
func growthCell(x, y []float64, unit string) string {
	if len(x) == 0 {
		return "not measured"
	}
	f := FitCurve(x, y)
	first, last := meanAt(x, y, slices.Min(x)), meanAt(x, y, slices.Max(x))
	return fmt.Sprintf("%s → %s; x^%.2f; %s, residual %.0f %%, worst %.0f %%", formatAmount(first, unit), formatAmount(last, unit), f.Power, f.describe(), 100*f.Residual, 100*f.WorstResidual)
}

// describe names the shape, and marks one that is not linear.
func (f Fit) describe() string {
	if f.IsLinear {
		return string(f.Shape)
	}
	return "**not straight**, " + string(f.Shape)
}

// fullSizeTable is what is predicted at the full size, against the limits and what was measured.
func fullSizeTable(t *Tables) string {
	out := &markdownTable{}
	out.addCells("role", "what", "predicted", "interval", "limit", "predicted / limit", "measured at full size")
	for _, role := range shownRoles {
		for _, q := range quantities {
			column := role + "_" + q.column
			value, spread := t.Predict(column)
			limit, ratio := "none set", ""
			if q.limit > 0 {
				limit, ratio = formatAmount(q.limit, q.unit), formatNumber(value/q.limit)
			}
			out.addCells(role, q.name, formatAmount(value, q.unit), formatAmount(max(0, value-spread), q.unit)+" to "+formatAmount(value+spread, q.unit), limit, ratio, t.measuredAtFullSize(role, q.column, q.unit))
		}
	}
	return out.text()
}

// measuredAtFullSize is a figure of the first full-size run without restarts.
func (t *Tables) measuredAtFullSize(role, column, unit string) string {
	for _, run := range t.Runs["full"] {
		isFullSize := run["daemons"] == FullDaemons && run["servers"] == FullServers
		if isFullSize && run["restarts_h"] == 0 && run[role+"_daemons"] > 0 {
			return formatAmount(run[role+"_"+column], unit)
		}
	}
	return "not measured"
}

// freshnessTable is what the number of daemons does to the updates and to a change.
func freshnessTable(t *Tables) string {
	out := &markdownTable{}
	out.addCells("daemons (stores)", "servers", "changes an hour", "seed", "settled after", "age of the news, median", "oldest", "looks at news over 2.5 s", "changes in force", "median until everywhere", "slowest")
	for _, group := range []string{"daemons", "presses"} {
		for _, run := range t.Runs[group] {
			out.addCells(append([]string{
				fmt.Sprintf("%.0f (%.0f)", run["daemons"], run["stores"]),
				formatNumber(run["servers"]),
				formatNumber(run["changes_h"]),
				formatNumber(run["seed"]),
				formatNumber(run["settled_s"]) + " s",
				formatNumber(run["age_median_ms"]) + " ms",
				formatNumber(run["age_most_ms"]) + " ms",
				formatNumber(100*run["stale_share"]) + " %",
			}, changeCells(run)...)...)
		}
	}
	return out.text()
}

// changeCells are how many changes came into force, and how long they took.
func changeCells(run RunRecord) []string {
	submitted := run["changes"] + run["changes_refused"] + run["changes_pending"]
	if submitted == 0 || run["changes_h"] == 0 {
		return []string{"none put", "", ""}
	}
	return []string{
		formatNumber(run["changes"]) + " of " + formatNumber(submitted),
		formatNumber(run["change_median_ms"]) + " ms",
		formatNumber(run["change_most_ms"]) + " ms",
	}
}

// shownKinds is how many kinds of message the tables show of a role.
const shownKinds = 4

// kindsTable are the kinds that make up most bytes at a group's largest size, by the column
// that varies in the group.
func kindsTable(group, column string, roles ...string) func(*Tables) string {
	return func(t *Tables) string {
		out := &markdownTable{}
		out.addCells("role", "kind", "messages a second", "bytes a second", "share of the role's bytes")
		for _, role := range roles {
			kinds, sum := t.kindsOf(role, group, column)
			for _, k := range kinds[:min(shownKinds, len(kinds))] {
				out.addCells(role, "`"+k.name+"`", formatNumber(k.messages), formatAmount(k.bytes, "B"), formatNumber(100*k.bytes/sum)+" %")
			}
		}
		return out.text()
	}
}

// sentKind is what a role sent of one kind, a second.
type sentKind struct {
	name            string
	messages, bytes float64
}

// kindsOf are the kinds that a role sent at a group's largest size with seed 1, those of most
// bytes first, and the sum of their bytes.
func (t *Tables) kindsOf(role, group, column string) (kinds []sentKind, sum float64) {
	largest := 0.0
	for _, record := range t.Kinds[group] {
		largest = max(largest, floatOf(record[column]))
	}
	for _, record := range t.Kinds[group] {
		if record["role"] != role || floatOf(record[column]) != largest || record["seed"] != "1" {
			continue
		}
		k := sentKind{record["kind"], floatOf(record["messages_s"]), floatOf(record["bytes_s"])}
		kinds = append(kinds, k)
		sum += k.bytes
	}
	sort.SliceStable(kinds, func(i, j int) bool { return kinds[i].bytes > kinds[j].bytes })
	return kinds, sum
}

// floatOf reads a figure of a table; 0 where it is none.
func floatOf(field string) float64 {
	value, _ := strconv.ParseFloat(field, 64)
	return value
}

// itemsTable is what an item costs a store, by the rate of items at it.
func itemsTable(t *Tables) string {
	if len(t.Runs["items"]) == 0 {
		return "not measured"
	}
	out := &markdownTable{}
	out.addCells("items a second at a store", "what", "slope for each item", "shape", "at 96 a second")
	for _, q := range []struct{ name, column, unit string }{{"messages", "messages_s", ""}, {"bytes", "bytes_s", "B"}, {"processor seconds", "cpu_s_per_s", "%"}, {"syncs", "syncs_s", ""}} {
		x, y := t.itemPoints("store_" + q.column)
		f := FitCurve(x, y)
		low, high := slices.Min(x), slices.Max(x)
		// What the items alone cost, between the smallest rate and the largest.
		slope := (f.At(high) - f.At(low)) / (high - low)
		shape := fmt.Sprintf("%s, residual %.0f %%", f.Shape, 100*f.Residual)
		if !f.IsLinear {
			shape = "**not straight**, " + shape
		}
		out.addCells(fmt.Sprintf("%.0f to %.0f", low, high), q.name, formatSlope(slope, q.unit), shape, formatAmount(f.At(96), q.unit)+" ± "+formatAmount(f.PredictionMargin(96), q.unit))
	}
	for _, q := range []struct{ name, column, unit string }{{"bytes of an edge", "edge_bytes_s", "B"}, {"processor of an edge", "edge_cpu_s_per_s", "%"}} {
		x, y := t.itemPoints(q.column)
		low, high := slices.Min(x), slices.Max(x)
		out.addCells(fmt.Sprintf("%.0f to %.0f", low, high), q.name+" (four writers)", formatAmount(meanAt(x, y, low), q.unit)+" → "+formatAmount(meanAt(x, y, high), q.unit), fmt.Sprintf("x^%.2f", fitExponent(x, y)), "")
	}
	return out.text()
}

// itemPoints are the values of a column by the items a second at a store.
func (t *Tables) itemPoints(column string) (x, y []float64) {
	for _, run := range t.Runs["items"] {
		x = append(x, run["items_listed_s"]/run["stores"])
		y = append(y, run[column])
	}
	return x, y
}

// formatSlope writes what one item costs: processor time in microseconds.
func formatSlope(slope float64, unit string) string {
	switch unit {
	case "%":
		return formatNumber(slope*1e6) + " µs"
	case "":
		return formatNumber(slope)
	}
	return formatAmount(slope, unit)
}

// busyTable is what the polling of busy servers costs.
func busyTable(t *Tables) string {
	out := &markdownTable{}
	out.addCells("servers at least half full", "seed", "readings a second at an edge", "bytes a second, edge", "processor, edge", "bytes a second, store")
	for _, run := range t.Runs["busy"] {
		out.addCells(formatNumber(run["busy_percent"])+" %", formatNumber(run["seed"]), formatNumber(run["edge_looks_s"]), formatAmount(run["edge_bytes_s"], "B"), formatAmount(run["edge_cpu_s_per_s"], "%"), formatAmount(run["store_bytes_s"], "B"))
	}
	return out.text()
}
