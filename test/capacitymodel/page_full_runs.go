package capacitymodel

import "fmt"

// fullRunsTable are the runs at full size, a column each.
func fullRunsTable(t *Tables) string {
	out := &markdownTable{}
	runs := t.Runs["full"]
	header := []string{"what"}
	for _, run := range runs {
		header = append(header, fmt.Sprintf("%.0f daemons, %.0f servers", run["daemons"], run["servers"]))
	}
	out.addCells(header...)
	for _, f := range fullRunFigures() {
		cells := []string{f.name}
		for _, run := range runs {
			cells = append(cells, f.of(run))
		}
		out.addCells(cells...)
	}
	return out.text()
}

// runFigure is a figure of a run with its name.
type runFigure struct {
	name string
	of   func(run RunRecord) string
}

// column is a figure that stands in one column.
func column(name, column, unit string) runFigure {
	return runFigure{name, func(run RunRecord) string { return formatAmount(run[column], unit) }}
}

func fullRunFigures() []runFigure {
	figures := []runFigure{
		column("virtual seconds counted", "counted_s", ""),
		{"settled after", func(run RunRecord) string { return formatNumber(run["settled_s"]) + " s" }},
		{"restarts an hour asked for, done", func(run RunRecord) string {
			return formatNumber(run["restarts_h"]) + ", " + formatNumber(run["restarted"])
		}},
		{"region cut, zone cut", func(run RunRecord) string {
			return formatNumber(run["cut_region_s"]) + " s, " + formatNumber(run["cut_zone_s"]) + " s"
		}},
		{"age of the news, median and oldest", func(run RunRecord) string {
			return formatNumber(run["age_median_ms"]) + " ms, " + formatNumber(run["age_most_ms"]) + " ms"
		}},
		{"looks at news over 2.5 s (nothing is assigned)", func(run RunRecord) string { return formatNumber(100*run["stale_share"]) + " %" }},
		column("changes an hour asked for", "changes_h", ""),
		{"changes in force everywhere; not put or unknown; still on their way", func(run RunRecord) string {
			return formatNumber(run["changes"]) + "; " + formatNumber(run["changes_refused"]) + "; " + formatNumber(run["changes_pending"])
		}},
		{"until in force everywhere, median and slowest", func(run RunRecord) string {
			return formatNumber(run["change_median_ms"]) + " ms, " + formatNumber(run["change_most_ms"]) + " ms"
		}},
		{"suspicions, and words against them", func(run RunRecord) string {
			return formatNumber(run["suspected"]) + ", " + formatNumber(run["refuted"])
		}},
	}
	for _, role := range shownRoles {
		figures = append(figures, fullRunRoleFigures(role)...)
	}
	return append(figures, column("processor seconds of the run", "run_cpu_s", ""))
}

func fullRunRoleFigures(role string) []runFigure {
	return []runFigure{
		column(role+": messages a second", role+"_messages_s", ""),
		column(role+": bytes a second", role+"_bytes_s", "B"),
		column(role+": processor", role+"_cpu_s_per_s", "%"),
		column(role+": heap", role+"_heap_bytes", "B"),
		column(role+": largest call", role+"_largest_call", "B"),
		column(role+": lines open", role+"_lines", ""),
		column(role+": lines closed for others, a second", role+"_redials_s", ""),
	}
}
