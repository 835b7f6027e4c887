package metrics

import (
	"maps"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

type sample struct {
	writes   int64
	wait     int64 // microseconds
	hasQueue bool
	queued   int64
}

var table = []Metric[sample]{
	{
		Key: "writes", Name: "test_writes_total", Type: prometheus.CounterValue, Help: "Writes.",
		Value: func(s sample) int64 { return s.writes },
	},
	{
		Key: "wait_us", Name: "test_wait_seconds", Type: prometheus.GaugeValue, Unit: Microseconds, Help: "Wait.",
		Value: func(s sample) int64 { return s.wait },
	},
	{
		Key: "queue", Name: "test_queue_bytes", Type: prometheus.GaugeValue, Unit: Bytes, Help: "Queued.",
		Value:     func(s sample) int64 { return s.queued },
		IsPresent: func(s sample) bool { return s.hasQueue },
	},
}

func TestTableServesJSONAndTextFormat(t *testing.T) {
	for _, test := range []struct {
		name     string
		sample   sample
		counters map[string]int64
		text     string
	}{
		{
			"times are seconds in text, microseconds in JSON", sample{writes: 3, wait: 1_500_000},
			map[string]int64{"writes": 3, "wait_us": 1_500_000},
			"# HELP test_wait_seconds Wait.\n# TYPE test_wait_seconds gauge\ntest_wait_seconds 1.5\n" +
				"# HELP test_writes_total Writes.\n# TYPE test_writes_total counter\ntest_writes_total 3\n",
		},
		{
			"a metric that only some samples have", sample{hasQueue: true, queued: 7},
			map[string]int64{"writes": 0, "wait_us": 0, "queue": 7},
			"# HELP test_queue_bytes Queued.\n# TYPE test_queue_bytes gauge\ntest_queue_bytes 7\n" +
				"# HELP test_wait_seconds Wait.\n# TYPE test_wait_seconds gauge\ntest_wait_seconds 0\n" +
				"# HELP test_writes_total Writes.\n# TYPE test_writes_total counter\ntest_writes_total 0\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			registry := NewRegistry()
			registry.Register(NewModule(table, func() sample { return test.sample }))
			if got := registry.Counters(); !maps.Equal(got, test.counters) {
				t.Errorf("counters %v, want %v", got, test.counters)
			}
			recorder := httptest.NewRecorder()
			registry.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
			if got := recorder.Body.String(); got != test.text {
				t.Errorf("text\n%s\nnot\n%s", got, test.text)
			}
			if got := recorder.Header().Get("Content-Type"); !strings.HasPrefix(got, "text/plain; version=0.0.4") {
				t.Errorf("content type %q", got)
			}
		})
	}
}

func TestLaterModuleWinsForDuplicateKey(t *testing.T) {
	registry := NewRegistry()
	newSingleMetricModule := func(name string, value int64) *Module[sample] {
		metric := Metric[sample]{Key: "k", Name: name, Type: prometheus.GaugeValue, Help: "One.", Value: func(sample) int64 { return value }}
		return NewModule([]Metric[sample]{metric}, func() sample { return sample{} })
	}
	registry.Register(newSingleMetricModule("test_first", 1))
	registry.Register(newSingleMetricModule("test_second", 2))
	if got := registry.Counters(); got["k"] != 2 {
		t.Errorf("counters %v, without the value of the later module", got)
	}
}
