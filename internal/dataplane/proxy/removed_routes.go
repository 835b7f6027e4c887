package proxy

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// removedRouteTTL is how long a route of batches is remembered that the configuration has no more:
// a caller may send a batch once more whose acknowledgement it has missed, and is acknowledged again
// as long as the batch is kept. A batch that is not known is rejected by its store.
const removedRouteTTL = 120 * clock.Second

// maxRemovedRoutes bounds what is remembered.
const maxRemovedRoutes = 256

// removedRoutes are the routes of batches that were removed not long ago, the newest last.
type removedRoutes []removedRoute

type removedRoute struct {
	route     *config.Route
	removedAt clock.Micros
}

// ConfigurationReplaced remembers the routes of batches that the previous configuration had and the
// current one lacks. previous may be nil.
func (p *Proxy) ConfigurationReplaced(previous, current *config.Configuration, now clock.Micros) {
	if previous == nil {
		return
	}
	p.removed.forget(current, now)
	for i := range previous.Routes {
		route := &previous.Routes[i]
		isBatchRoute := route.Forward != nil && route.Kind == config.Batch
		if kept, _ := current.Route(route.Name); isBatchRoute && kept == nil {
			p.removed = append(p.removed, removedRoute{route, now})
		}
	}
	if excess := len(p.removed) - maxRemovedRoutes; excess > 0 {
		p.removed = slices.Delete(p.removed, 0, excess)
	}
}

// forget forgets routes that were removed long ago, or are there again.
func (r *removedRoutes) forget(current *config.Configuration, now clock.Micros) {
	*r = slices.DeleteFunc(*r, func(removed removedRoute) bool {
		kept, _ := current.Route(removed.route.Name)
		return kept != nil || now-removed.removedAt > removedRouteTTL
	})
}

// match finds the route that a request for a host and path belonged to; nil where there was none.
func (r removedRoutes) match(host, path string, now clock.Micros) *config.Route {
	for _, removed := range slices.Backward(r) {
		if now-removed.removedAt <= removedRouteTTL && removed.route.Forward.Matches(host, path) {
			return removed.route
		}
	}
	return nil
}
