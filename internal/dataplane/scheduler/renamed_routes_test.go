package scheduler

import (
	"testing"

	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
)

// forwardedByPosition is a configuration of forwarded routes that are named by their position. Each has the
// host, and the servers, of its place.
func forwardedByPosition(version uint64, places ...string) *config.Configuration {
	configuration := &config.Configuration{Version: version, ScorerWeights: config.DefaultScorerWeights()}
	for i, place := range places {
		configuration.Pools = append(configuration.Pools, config.Pool{Name: place, Labels: config.Labels{"u": place}, Servers: config.Selector{"place": {place}}})
		configuration.Routes = append(configuration.Routes, config.Route{
			Name: string(rune('1' + i)), Kind: config.Resumable, Pools: config.Selector{"u": {place}},
			Forward: &config.Forward{Host: place, PathPrefix: "/", MaxAttempts: 2, Priority: 1},
		})
	}
	configuration.Index()
	return configuration
}

// Guards against requests that run at another route's servers, or are dropped, once the names of forwarded
// routes have moved: those that wait, and those that go on after an attempt (a stream that is resumed).
func TestRequestsKeepTheirRouteWhenNamesMove(t *testing.T) {
	before := []string{"screening", "labels"}
	for name, after := range map[string][]string{
		"a route is added in front": {"alerts", "screening", "labels"},
		"the routes change places":  {"labels", "screening"},
		"a route is removed":        {"screening"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			first := forwardedByPosition(2, before...)
			f.SetConfiguration(first, f.now)
			route := first.MatchRoute("screening", "/x")
			f.submit("waits", 1, func(r *Request) { r.Route = route })
			f.SetConfiguration(forwardedByPosition(3, after...), f.now)
			f.submit("goes on", 1, func(r *Request) { r.Route = route })
			for _, place := range []string{"alerts", "labels", "screening"} {
				f.SetServer(endpoints.Server{Name: "at " + place, Slots: 4, Labels: map[string]string{"place": place}})
			}
			f.MatchUntilStable(f.now)
			close(f.started)
			close(f.dropped)
			for dropped := range f.dropped {
				t.Errorf("dropped %s", dropped)
			}
			count := 0
			for started := range f.started {
				if count++; started != "waits@at screening" && started != "goes on@at screening" {
					t.Errorf("started %s", started)
				}
			}
			if count != 2 {
				t.Errorf("%d requests started, not 2", count)
			}
		})
	}
}

// A forwarded route that is gone ends its requests, even if another route has its name by now.
func TestRequestsOfARemovedRouteAreDropped(t *testing.T) {
	f := newFixture(t)
	first := forwardedByPosition(2, "screening", "labels")
	f.SetConfiguration(first, f.now)
	f.submit("waits", 1, func(r *Request) { r.Route = first.MatchRoute("screening", "/x") })
	f.SetConfiguration(forwardedByPosition(3, "labels"), f.now)
	if len(f.dropped) != 1 || f.QueueLength() != 0 {
		t.Errorf("%d requests dropped, %d wait", len(f.dropped), f.QueueLength())
	}
}
