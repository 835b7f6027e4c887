package proxy

import (
	"testing"

	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// Guards against two failures when a route stops forwarding while one of its requests is queued: the edge
// crashed, or it sent the request all the same.
func TestQueuedRequestFailsWhenRouteStopsForwarding(t *testing.T) {
	for _, authentication := range []string{config.AuthenticationNone, config.AuthenticationRequired} {
		b := newTestBench(t, nil)
		b.applyTenantConfiguration(1, authentication, newRoute(config.OneShot, 1))
		waiting := b.submitWithKey("o", config.OneShot, "a1")
		configuration := *b.scheduler.Configuration()
		configuration.Version = 2
		configuration.Routes = []config.Route{{Name: "r-" + config.OneShot, Kind: config.OneShot, Pools: config.Selector{"u": {"a"}}}}
		configuration.Index()
		b.scheduler.SetConfiguration(&configuration, b.now)
		b.addServer("late", "a", 1)
		b.collectReplies()
		if got := b.outcomeOf(waiting); got != string(errs.UnknownRoute) {
			t.Errorf("authentication %s: %s", authentication, got)
		}
		b.checkIdle(authentication)
	}
}
