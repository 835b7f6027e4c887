package proxy

import (
	"fmt"
	"testing"

	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// batchRouteNamed is a route of batches on a host of its own.
func batchRouteNamed(name string) config.Route {
	return config.Route{Name: name, Kind: config.Batch, Forward: &config.Forward{Host: name, PathPrefix: "/in/"}}
}

// replaceConfiguration puts a configuration of some routes in force.
func (b *bench) replaceConfiguration(version uint64, routes ...config.Route) {
	previous := b.scheduler.Configuration()
	configuration := &config.Configuration{Version: version, Routes: routes}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
	b.ConfigurationReplaced(previous, configuration, b.now)
}

// expectBatch sends a request to a host, which has to be taken for a batch of a route; "" expects
// that there is no such route.
func (b *bench) expectBatch(host, route string) {
	b.t.Helper()
	call := b.send(Request{ID: fmt.Sprint("r", b.lastCall), Host: host, Path: "/in/x"})
	submission, isBatch := b.replies[call].Body.(BatchSubmission)
	switch {
	case route == "" && !errs.Is(b.replies[call].Err, errs.UnknownRoute):
		b.t.Errorf("a request to %s ended with %+v", host, b.replies[call])
	case route != "" && (!isBatch || submission.Route.Name != route):
		b.t.Errorf("a request to %s is no batch of %s: %+v", host, route, b.replies[call])
	}
}

// A batch that comes once more after its route was removed goes to its store, which knows it; for
// a while, and as long as the route is not there again. Routes that never were, and those of live
// requests, are unknown. (Issue 26: a batch that was accepted got 404.)
func TestABatchOfARemovedRouteGoesToItsStore(t *testing.T) {
	live := newRoute(config.Repeatable, 1)
	b := newBench(t, nil, batchRouteNamed("one"), batchRouteNamed("two"), live)
	b.expectBatch("one", "one")
	b.replaceConfiguration(2, batchRouteNamed("two"))
	b.expectBatch("one", "one")
	b.expectBatch("two", "two")
	b.expectBatch("none", "")
	b.expectBatch(live.Forward.Host, "")
	b.replaceConfiguration(3, batchRouteNamed("one"), batchRouteNamed("two"))
	b.replaceConfiguration(4, batchRouteNamed("two"))
	b.now += removedRouteTTL
	b.expectBatch("one", "one")
	b.now++
	b.expectBatch("one", "")
}

// However many routes come and go, few are remembered.
func TestFewRemovedRoutesAreRemembered(t *testing.T) {
	b := newBench(t, nil, batchRouteNamed("first"))
	for version := uint64(2); version < 2*maxRemovedRoutes; version++ {
		b.replaceConfiguration(version, batchRouteNamed(fmt.Sprint("route-", version)))
	}
	if len(b.removed) != maxRemovedRoutes {
		t.Errorf("%d are remembered", len(b.removed))
	}
	b.expectBatch("first", "")
}
