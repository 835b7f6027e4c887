package capacitymodel

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// Row is one run as the table has it: a figure under each name.
type Row map[string]float64

var roleColumns = []string{"daemons", "messages_s", "calls_s", "bytes_s", "cpu_s_per_s", "heap_bytes", "lines", "largest_call", "syncs_s", "looks_s", "redials_s", "lost_s"}

var runColumns = []string{"daemons", "edges", "whole_edges", "stores", "cores", "servers", "busy_percent", "zones", "regions", "slots", "zone_delay_us", "region_delay_us",
	"warm_s", "seconds", "changes_h", "customers", "routes", "items_s", "bundle_items", "restarts_h", "cut_region_s", "cut_zone_s", "seed",
	"counted_s", "settled_s", "stale_share", "age_median_ms", "age_most_ms", "plan_bytes", "changes", "changes_refused", "changes_pending", "change_median_ms", "change_most_ms",
	"items_listed_s", "bundles_refused", "suspected", "refuted", "restarted", "run_cpu_s", "collector_share"}

// Columns are the table's, in order.
func Columns() []string {
	out := append([]string(nil), runColumns...)
	for _, role := range Roles {
		for _, column := range roleColumns {
			out = append(out, role+"_"+column)
		}
	}
	return append(out, "stopped")
}

// Record is a result as a line of the table.
func (r *Result) Record() []string {
	s := r.Set
	var out []string
	add := func(values ...float64) {
		for _, value := range values {
			out = append(out, figure(value))
		}
	}
	whole := func(values ...int64) {
		for _, value := range values {
			out = append(out, strconv.FormatInt(value, 10))
		}
	}
	whole(s.Daemons, s.Edges(), s.WholeEdges, s.Stores, s.Cores, s.Servers, s.Busy, s.Zones, s.Regions, s.Slots, s.ZoneDelay, s.RegionDelay,
		s.Warm, s.Seconds, s.Changes, s.Customers, s.Routes, s.Items, s.BundleItems, s.Restarts, s.CutRegion, s.CutZone, s.Seed)
	add(r.Counted, r.Settled, r.Stale, r.AgeMedian, r.AgeMost)
	whole(int64(r.PlanBytes), int64(r.Changes), int64(r.Refused), int64(r.Pending))
	add(r.ChangeMedian, r.ChangeMost, r.Items, r.ItemsRefused)
	whole(r.Suspected, r.Refuted, int64(r.Restarted))
	add(r.RunCPU, r.Collector)
	for _, role := range Roles {
		f := r.Roles[role]
		if f == nil {
			f = &Figures{}
		}
		add(f.Daemons, f.Messages, f.Calls, f.Bytes, f.CPU, f.Heap, f.Lines, f.Largest, f.Syncs, f.Looks, f.Redials, f.Lost)
	}
	return append(out, r.Stopped)
}

// KindColumns are those of the second table: what each role sent, by kind.
func KindColumns() []string {
	return []string{"daemons", "stores", "servers", "changes_h", "items_s", "busy_percent", "seed", "role", "kind", "messages_s", "bytes_s"}
}

// KindRecords are a run's lines of the second table.
func (r *Result) KindRecords() [][]string {
	var out [][]string
	n := func(v int64) string { return strconv.FormatInt(v, 10) }
	s := r.Set
	for _, row := range r.kindRows() {
		out = append(out, append([]string{n(s.Daemons), n(s.Stores), n(s.Servers), n(s.Changes), n(s.Items), n(s.Busy), n(s.Seed)}, row...))
	}
	return out
}

// Read reads a table back; lines of runs that were stopped are left out.
func Read(from io.Reader) ([]Row, error) {
	records, err := csv.NewReader(from).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "reading the table")
	}
	if len(records) == 0 {
		return nil, errors.New("the table is empty")
	}
	var out []Row
	for at, record := range records[1:] {
		row := Row{}
		for i, name := range records[0] {
			if name == "stopped" {
				if record[i] != "" {
					row = nil
				}
				break
			}
			value, err := strconv.ParseFloat(record[i], 64)
			if err != nil {
				return nil, errors.Wrapf(err, "line %d, %s", at+2, name)
			}
			row[name] = value
		}
		if row != nil {
			out = append(out, row)
		}
	}
	return out, nil
}
