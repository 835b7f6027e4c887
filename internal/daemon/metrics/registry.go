package metrics

import (
	"maps"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Source is a module as the registry sees it (Module).
type Source interface {
	prometheus.Collector
	Counters() map[string]int64
}

// Registry holds the modules of one daemon. Modules are registered while the daemon is put
// together, before it serves.
type Registry struct {
	sources    []Source
	prometheus *prometheus.Registry
}

// NewRegistry makes an empty registry. It is no part of Prometheus' global one: that has
// metrics of libraries that are not the daemon's.
func NewRegistry() *Registry { return &Registry{prometheus: prometheus.NewRegistry()} }

// Register adds a module. Two metrics of one name are a fault of the program: it panics.
func (r *Registry) Register(source Source) {
	r.prometheus.MustRegister(source)
	r.sources = append(r.sources, source)
}

// Counters are the values of all modules by JSON key. Where two modules have one key (a
// store's own disk_wait_us and its event loop's), the one registered later counts.
func (r *Registry) Counters() map[string]int64 {
	out := map[string]int64{}
	for _, source := range r.sources {
		maps.Copy(out, source.Counters())
	}
	return out
}

// Handler serves all modules in Prometheus' text format.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.prometheus, promhttp.HandlerOpts{})
}
