// Package metrics exposes what a daemon counts (DESIGN §10). Each module of a daemon has one
// table that says of each metric its key, name, type, unit and help. The same table serves
// both forms: the JSON document of counters, whose keys and units are those of the first
// release and never change, and Prometheus' text format, whose names follow Prometheus'
// conventions (base units, _total for counters).
//
// A module's values are sampled together, under the module's own lock, each time either
// form is asked for; nothing is kept between two samples. All functions may be called by
// several goroutines.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Unit is the unit of a metric's value as the module samples it and as JSON has it.
type Unit int

// The units.
const (
	// Count is a number of things; it is the same in both forms.
	Count Unit = iota
	// Bytes is the same in both forms.
	Bytes
	// Microseconds is the unit of times in JSON; the text format has seconds.
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
	// Type says whether the value only rises until the daemon ends (a counter) or not (a
	// gauge).
	Type prometheus.ValueType
	Unit Unit
	// Help is one line that says what is counted.
	Help string
	// Value reads the metric from a sample.
	Value func(sample S) int64
	// IsPresent tells whether a sample has the metric; nil: each has.
	IsPresent func(sample S) bool
}

func (m Metric[S]) isPresent(sample S) bool { return m.IsPresent == nil || m.IsPresent(sample) }

// Module is the metrics of one module. It is a prometheus.Collector.
type Module[S any] struct {
	table        []Metric[S]
	descriptions []*prometheus.Desc // by the order of the table
	sample       func() S
}

// NewModule makes a module of a table; sample reads all its values at one moment.
func NewModule[S any](table []Metric[S], sample func() S) *Module[S] {
	m := &Module[S]{table: table, sample: sample}
	for _, metric := range table {
		m.descriptions = append(m.descriptions, prometheus.NewDesc(metric.Name, metric.Help, nil, nil))
	}
	return m
}

// Describe sends the descriptions of all metrics that the module may have.
func (m *Module[S]) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range m.descriptions {
		descriptions <- description
	}
}

// Collect samples the module and sends the metrics that it has now, in base units.
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

// Counters samples the module and gives the values that it has now, by JSON key.
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
