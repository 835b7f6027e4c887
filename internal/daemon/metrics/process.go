package metrics

import (
	"runtime"

	"github.com/prometheus/client_golang/prometheus"
)

// processSample holds the values of the Go runtime's metrics at one point in time.
type processSample struct{ heapBytes, goroutines int64 }

// Process returns the metrics of the daemon's process.
func Process() Source {
	return NewModule(processMetrics, func() processSample {
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		return processSample{heapBytes: int64(memory.HeapInuse), goroutines: int64(runtime.NumGoroutine())}
	})
}

var processMetrics = []Metric[processSample]{
	{
		Key: "heap_bytes", Name: "tuliprudder_heap_in_use_bytes", Type: prometheus.GaugeValue, Unit: Bytes,
		Help:  "Bytes in spans of the heap that are in use.",
		Value: func(s processSample) int64 { return s.heapBytes },
	},
	{
		Key: "goroutines", Name: "tuliprudder_goroutines", Type: prometheus.GaugeValue,
		Help:  "Goroutines that exist.",
		Value: func(s processSample) int64 { return s.goroutines },
	},
}
