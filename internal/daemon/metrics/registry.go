package metrics

import (
	"maps"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Source is a set of metrics that can be registered; Module implements it.
type Source interface {
	prometheus.Collector
	// Counters returns the current values by JSON key, without those that are absent.
	Counters() map[string]int64
}

// Registry holds the modules of one daemon. All modules must be registered before the daemon
// serves requests.
type Registry struct {
	sources    []Source
	prometheus *prometheus.Registry
}

// NewRegistry makes an empty registry. It is separate from the global Prometheus registry, which
// has metrics of libraries that are not the daemon's own.
func NewRegistry() *Registry { return &Registry{prometheus: prometheus.NewRegistry()} }

// Register adds a module. It panics if a metric name is already registered, which is a programming
// error.
func (r *Registry) Register(source Source) {
	r.prometheus.MustRegister(source)
	r.sources = append(r.sources, source)
}

// Counters returns the values of all modules by JSON key. If two modules have the same key (a
// store's own disk_wait_us and that of its event loop), the module registered later wins.
func (r *Registry) Counters() map[string]int64 {
	out := map[string]int64{}
	for _, source := range r.sources {
		maps.Copy(out, source.Counters())
	}
	return out
}

// Handler returns a handler that serves all modules in the Prometheus text format.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.prometheus, promhttp.HandlerOpts{})
}
