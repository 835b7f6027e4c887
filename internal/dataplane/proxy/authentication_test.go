package proxy

import (
	"testing"

	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
)

// applyTenantConfiguration applies a configuration whose routes have the given authentication, with tenants a
// (keys a1 and a2, priority 3), b (key b1, priority 9) and c (key c1, without a class).
func (b *testBench) applyTenantConfiguration(version uint64, authentication string, routes ...config.Route) {
	configuration := &config.Configuration{Version: version, ScorerWeights: map[string]float64{"fullness": 1},
		Pools:   []config.Pool{{Name: "a", Labels: config.Labels{"u": "a"}, Servers: config.Selector{"pool": {"a"}}}},
		Classes: []config.PriorityClass{{Name: "low", Priority: 3}, {Name: "high", Priority: 9}},
		Tenants: []config.Tenant{
			{Name: "a", Keys: []config.KeyDigest{config.DigestKey("a1"), config.DigestKey("a2")}, Class: "low"},
			{Name: "b", Keys: []config.KeyDigest{config.DigestKey("b1")}, Class: "high"},
			{Name: "c", Keys: []config.KeyDigest{config.DigestKey("c1")}},
		}}
	for _, route := range routes {
		forward := *route.Forward
		forward.Authentication = authentication
		route.Forward = &forward
		configuration.Routes = append(configuration.Routes, route)
	}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
}

func (b *testBench) submitWithKey(requestID, kind, key string) uint64 {
	return b.send(Request{ID: requestID, Host: kind, Path: "/x/y", APIKey: key})
}

// Admission checks the configuration, the route and the API key, in this order.
func TestAdmissionByKey(t *testing.T) {
	kinds := []string{config.OneShot, config.Repeatable, config.Stream, config.Resumable}
	const unauthorised, unknownRoute = string(errs.Unauthorised), string(errs.UnknownRoute)
	for authentication, byKey := range map[string]map[string]string{
		config.AuthenticationNone:     {"": "attempt", "a1": "attempt", "wrong": "attempt"},
		config.AuthenticationOptional: {"": "attempt", "a1": "attempt", "wrong": unauthorised},
		config.AuthenticationRequired: {"": unauthorised, "a1": "attempt", "c1": "attempt", "wrong": unauthorised, "a": unauthorised},
	} {
		for key, want := range byKey {
			for _, kind := range kinds {
				b := newTestBench(t, []string{"a"})
				if got := b.outcomeOf(b.submitWithKey("o", kind, key)); got != "rejected" {
					t.Errorf("%s, key %q, without a configuration: %s", kind, key, got)
				}
				b.applyTenantConfiguration(1, authentication, newRoute(kind, 1))
				if got := b.outcomeOf(b.submitWithKey("o", kind, key)); got != want {
					t.Errorf("%s with authentication %s, key %q: got %s, want %s", kind, authentication, key, got, want)
				}
				if counted := b.Unauthorised == 1; counted != (want == unauthorised) {
					t.Errorf("%s with authentication %s, key %q: counted as unauthorised: %v", kind, authentication, key, counted)
				}
				if got := b.outcomeOf(b.submitWithKey("p", "nowhere", key)); got != unknownRoute {
					t.Errorf("without a route, key %q: %s", key, got)
				}
			}
			b := newTestBench(t, []string{"a"})
			b.applyTenantConfiguration(1, authentication, newRoute(config.Batch, 1))
			batchWant := want
			if want == "attempt" {
				batchWant = "proxy.BatchSubmission"
			}
			if got := b.outcomeOf(b.submitWithKey("o", config.Batch, key)); got != batchWant {
				t.Errorf("batch with authentication %s, key %q: got %s, want %s", authentication, key, got, batchWant)
			}
		}
	}
}

// Each attempt carries the tenant of the request's API key, whichever of the tenant's keys that is.
func TestAttemptsCarryTenant(t *testing.T) {
	for key, want := range map[string]Identity{"a1": {true, "a"}, "a2": {true, "a"}, "b1": {true, "b"}, "c1": {true, "c"}} {
		b := newTestBench(t, []string{"a", "a"})
		b.applyTenantConfiguration(1, config.AuthenticationRequired, newRoute(config.Repeatable, 2))
		if got := b.attempt(b.submitWithKey("o", config.Repeatable, key)).Identity; got != want {
			t.Errorf("key %s: %+v", key, got)
		}
		retry := b.send(AttemptResult{RequestID: "o", Outcome: Interrupted})
		if got := b.attempt(retry).Identity; got != want {
			t.Errorf("key %s, next attempt: %+v", key, got)
		}
	}
}

// An admitted request keeps its tenant when the configuration changes between two attempts. If the new
// configuration enables authentication, the API key is no longer forwarded.
func TestConfigurationChangeBetweenAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		before, after string
		want          Identity
	}{
		"authentication is enabled":  {config.AuthenticationNone, config.AuthenticationRequired, Identity{IsAuthenticated: true}},
		"authentication is disabled": {config.AuthenticationRequired, config.AuthenticationNone, Identity{IsAuthenticated: true, Tenant: "a"}},
		"nothing changes":            {config.AuthenticationRequired, config.AuthenticationRequired, Identity{IsAuthenticated: true, Tenant: "a"}},
	} {
		b := newTestBench(t, []string{"a", "a"})
		b.applyTenantConfiguration(1, c.before, newRoute(config.Repeatable, 2))
		b.attempt(b.submitWithKey("o", config.Repeatable, "a1"))
		b.applyTenantConfiguration(2, c.after, newRoute(config.Repeatable, 2))
		if got := b.attempt(b.send(AttemptResult{RequestID: "o", Outcome: Interrupted})).Identity; got != c.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// A tenant's priority overrides its route's; a tenant without a class has the route's priority.
func TestTenantPriorityOverridesRoutePriority(t *testing.T) {
	for name, c := range map[string]struct {
		later, earlier string // API keys
		laterGoesFirst bool
	}{
		"tenant of higher priority":        {"b1", "a1", true},
		"tenant of lower priority":         {"a1", "b1", false},
		"route's priority, above a tenant": {"c1", "a1", true},
		"route's priority, below a tenant": {"c1", "b1", false},
	} {
		b := newTestBench(t, nil)
		b.scheduler.AdjustSettings(func(settings *scheduler.Settings) { settings.MaxUtilizationLimit = 1 })
		b.applyTenantConfiguration(1, config.AuthenticationRequired, newRoute(config.OneShot, 1), newRoute(config.Stream, 1)) // routes of priority 5
		earlier, later := b.submitWithKey("earlier", config.OneShot, c.earlier), b.submitWithKey("later", config.Stream, c.later)
		b.addServer("only", "a", 1)
		b.collectReplies()
		if got := b.outcomeOf(later) == "attempt"; got != c.laterGoesFirst || b.outcomeOf(earlier) == b.outcomeOf(later) {
			t.Errorf("%s: earlier %s, later %s", name, b.outcomeOf(earlier), b.outcomeOf(later))
		}
	}
}

// A queued request takes its priority from the newest configuration.
func TestQueuedRequestGetsNewPriority(t *testing.T) {
	b := newTestBench(t, nil)
	route, other := newRoute(config.OneShot, 1), newRoute(config.Stream, 1)
	b.applyTenantConfiguration(1, config.AuthenticationNone, route, other)
	first, second := b.submitWithKey("first", config.OneShot, ""), b.submitWithKey("second", config.Stream, "")
	raised := newRoute(config.Stream, 1)
	raised.Forward.Priority = 7
	b.applyTenantConfiguration(2, config.AuthenticationNone, route, raised)
	b.addServer("only", "a", 1)
	b.collectReplies()
	if b.outcomeOf(first) != "waits" || b.outcomeOf(second) != "attempt" {
		t.Errorf("first %s, second %s", b.outcomeOf(first), b.outcomeOf(second))
	}
}
