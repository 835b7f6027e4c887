// Package metrics exposes a daemon's metrics (DESIGN §10). Each module of a daemon has one
// table that defines the key, name, type, unit and help text of each metric. Both output
// formats are made from it: the JSON document of counters, whose keys and units are those of
// the first release and never change, and the Prometheus text format, whose names follow the
// Prometheus conventions (base units, _total for counters).
//
// A module's values are sampled together, under the module's own lock, on each request for
// either format; nothing is kept between two samples. All functions are safe for concurrent
// use.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Unit is the unit of a metric's value in the module's samples and in the JSON document.
type Unit int

// The units.
const (
	// Count is a plain number; it is the same in both formats.
	Count Unit = iota
	// Bytes is the same in both formats.
	Bytes
	// Microseconds is the unit of times in JSON; the text format uses seconds.
	Microseconds
)

// inBaseUnit converts a value to the base unit that the text format uses.
func (u Unit) inBaseUnit(value int64) float64 {
	if u == Microseconds {
		return float64(value) / 1e6
	}
	return float64(value)
}

// Metric describes one metric of a module whose samples have the type S.
type Metric[S any] struct {
	// Key is the key in the JSON document of counters. It never changes.
	Key string
	// Name is the name in the text format.
	Name string
	// Type is a counter if the value never falls while the daemon runs, and a gauge
	// otherwise.
	Type prometheus.ValueType
	Unit Unit
	// Help is a one-line description of the metric.
	Help string
	// Value reads the metric from a sample.
	Value func(sample S) int64
	// IsPresent reports whether a sample has the metric; nil means that every sample has it.
	IsPresent func(sample S) bool
}

func (m Metric[S]) isPresent(sample S) bool { return m.IsPresent == nil || m.IsPresent(sample) }

// Module holds the metrics of one module. It implements prometheus.Collector.
type Module[S any] struct {
	table        []Metric[S]
	descriptions []*prometheus.Desc // in the order of the table
	sample       func() S
}

// NewModule makes a module from a table; sample reads all values at one point in time.
func NewModule[S any](table []Metric[S], sample func() S) *Module[S] {
	m := &Module[S]{table: table, sample: sample}
	for _, metric := range table {
		m.descriptions = append(m.descriptions, prometheus.NewDesc(metric.Name, metric.Help, nil, nil))
	}
	return m
}

// Describe sends the descriptions of all metrics of the table.
func (m *Module[S]) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range m.descriptions {
		descriptions <- description
	}
}

// Collect samples the module and sends the metrics that are present, in base units.
func (m *Module[S]) Collect(collected chan<- prometheus.Metric) {
	sample := m.sample()
	for i, metric := range m.table {
		if !metric.isPresent(sample) {
			continue
		}
		value := metric.Unit.inBaseUnit(metric.Value(sample))
		collected <- prometheus.MustNewConstMetric(m.descriptions[i], metric.Type, value)
	}
}

// Counters samples the module and returns the values that are present, by JSON key.
func (m *Module[S]) Counters() map[string]int64 {
	sample := m.sample()
	out := map[string]int64{}
	for _, metric := range m.table {
		if metric.isPresent(sample) {
			out[metric.Key] = metric.Value(sample)
		}
	}
	return out
}
