package scheduler

import (
	"testing"

	"tuliprudder/internal/config"
)

// A tenant that happens to be named like a forwarded route doesn't change the priority
// of its requests, and one of a route without such a tenant keeps it.
func TestAForwardedRequestKeepsItsPriority(t *testing.T) {
	f := newFixture(t, newServer("s", 4))
	configuration := &config.Configuration{Version: 2, ScorerWeights: f.Configuration().ScorerWeights, Pools: f.Configuration().Pools,
		Classes: []config.PriorityClass{{Name: "a9", Priority: 9, Quota: 1}},
		Tenants: []config.Tenant{{Name: "c1", Keys: []config.KeyDigest{config.DigestKey("k")}, Class: "a9"}},
		Routes:  []config.Route{{Name: "c1", Kind: config.Batch, Forward: &config.Forward{}}, {Name: "c2", Kind: config.Batch, Forward: &config.Forward{}}}}
	configuration.Index()
	f.SetConfiguration(configuration, f.now)
	for i, name := range []string{"c1", "c2"} {
		r := f.submit(name, int64(1+i), func(r *Request) { r.IsBatchItem = true; r.Route, _ = configuration.Route(name) })
		if r.Priority != int64(1+i) {
			t.Fatalf("%s has priority %d", name, r.Priority)
		}
	}
}
