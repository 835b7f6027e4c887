package scheduler

import (
	"testing"

	"tuliprudder/internal/config"
)

// Items of a forwarded route get their tenant's priority, and the route's if their tenant has no class or there is
// no such tenant, even if some tenant has the same name as the route.
func TestForwardedItemsGetTheirTenantsPriority(t *testing.T) {
	f := newFixture(t, newServer("s", 4))
	configuration := &config.Configuration{Version: 2, ScorerWeights: f.Configuration().ScorerWeights, Pools: f.Configuration().Pools,
		Classes: []config.PriorityClass{{Name: "a9", Priority: 9, Quota: 1}},
		Tenants: []config.Tenant{{Name: "c1", Keys: []config.KeyDigest{config.DigestKey("k")}, Class: "a9"}, {Name: "c2"}},
		Routes:  []config.Route{{Name: "c1", Kind: config.Batch, Forward: &config.Forward{Authentication: config.AuthenticationRequired, Priority: 4}}}}
	configuration.Index()
	f.SetConfiguration(configuration, f.now)
	for tenant, want := range map[string]int64{"": 4, "c1": 9, "c2": 4, "removed": 4} {
		r := f.submit("of "+tenant, 1, func(r *Request) {
			r.IsBatchItem = true
			r.Tenant = tenant
			r.Route, _ = configuration.Route("c1")
		})
		if r.Priority != want {
			t.Errorf("an item of tenant %q has priority %d, not %d", tenant, r.Priority, want)
		}
	}
}
