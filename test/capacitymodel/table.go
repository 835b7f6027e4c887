package capacitymodel

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// RunRecord is one run as the table has it: figures by column.
type RunRecord map[string]float64

// The spellings of the columns are in committed tables (docs/capacity) and stay.
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

// Record is a result as a record of the table, in the order of Columns.
func (r *Result) Record() []string {
	s := r.Settings
	var out []string
	add := func(values ...float64) {
		for _, value := range values {
			out = append(out, formatFloat(value))
		}
	}
	addIntegers := func(values ...int64) {
		for _, value := range values {
			out = append(out, strconv.FormatInt(value, 10))
		}
	}
	addIntegers(s.Daemons, s.Edges(), s.FullEdges, s.Stores, s.Cores, s.Servers, s.BusyPercent, s.Zones, s.Regions, s.Shards, s.ZoneDelayUS, s.RegionDelayUS,
		s.WarmupSeconds, s.CountedSeconds, s.ChangesPerHour, s.Tenants, s.Routes, s.ItemsPerSecond, s.BatchItems, s.RestartsPerHour, s.RegionPartitionSeconds, s.ZonePartitionSeconds, s.Seed)
	add(r.CountedSeconds, r.StableAfterSeconds, r.StaleShare, r.AgeMedianMS, r.AgeMaxMS)
	addIntegers(int64(r.ConfigurationBytes), int64(r.Changes), int64(r.Rejected), int64(r.Pending))
	add(r.ChangeMedianMS, r.ChangeMaxMS, r.ItemsPerSecond, r.BatchesRejectedShare)
	addIntegers(r.Suspected, r.Refuted, int64(r.Restarts))
	add(r.RunCPUSeconds, r.CollectorShare)
	for _, role := range Roles {
		f := r.Roles[role]
		if f == nil {
			f = &Figures{}
		}
		add(f.Daemons, f.Messages, f.Calls, f.Bytes, f.CPU, f.HeapBytes, f.Connections, f.LargestCall, f.Syncs, f.Polls, f.Reconnects, f.Lost)
	}
	return append(out, r.StopReason)
}

// KindColumns are those of the second table: what each role sent, by kind.
func KindColumns() []string {
	return []string{"daemons", "stores", "servers", "changes_h", "items_s", "busy_percent", "seed", "role", "kind", "messages_s", "bytes_s"}
}

// KindRecords are a run's records of the second table, in the order of KindColumns.
func (r *Result) KindRecords() [][]string {
	var out [][]string
	n := func(v int64) string { return strconv.FormatInt(v, 10) }
	s := r.Settings
	for _, figures := range r.kindFigures() {
		out = append(out, append([]string{n(s.Daemons), n(s.Stores), n(s.Servers), n(s.ChangesPerHour), n(s.ItemsPerSecond), n(s.BusyPercent), n(s.Seed)}, figures...))
	}
	return out
}

// ReadRecords reads a table back, without the records of runs that were stopped.
func ReadRecords(from io.Reader) ([]RunRecord, error) {
	records, err := csv.NewReader(from).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "reading the table")
	}
	if len(records) == 0 {
		return nil, errors.New("the table is empty")
	}
	var out []RunRecord
	for at, fields := range records[1:] {
		record, err := parseRecord(records[0], fields)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", at+2)
		}
		if record != nil {
			out = append(out, record)
		}
	}
	return out, nil
}

// parseRecord reads one record; nil where the run was stopped.
func parseRecord(columns, fields []string) (RunRecord, error) {
	record := RunRecord{}
	for i, name := range columns {
		if name == "stopped" {
			if fields[i] != "" {
				return nil, nil
			}
			break
		}
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		record[name] = value
	}
	return record, nil
}
