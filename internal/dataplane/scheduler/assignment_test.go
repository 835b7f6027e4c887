package scheduler

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
)

// Abandoning an assignment records no outcome for its server: an unresponsive server stays
// unresponsive.
func TestAbandonKeepsServerState(t *testing.T) {
	sc := New(Defaults(), 1)
	configuration := &config.Configuration{Version: 1, Pools: []config.Pool{{Name: "p"}}, ScorerWeights: map[string]float64{"spread": 1},
		Routes: []config.Route{{Name: "r", Kind: config.Stream, Forward: &config.Forward{}}}, Tenants: []config.Tenant{{Name: "r", Class: "c"}}, Classes: []config.PriorityClass{{Name: "c", Priority: 1}}}
	configuration.Index()
	sc.SetConfiguration(configuration, 1)
	sc.SetServer(endpoints.Server{Name: "s", Address: "s:1", Slots: 4})
	route, _ := configuration.Route("r")
	now := clock.Second
	sc.AdvanceFreshness(now)
	var assignments []*Assignment
	for range 2 {
		r := &Request{ID: "o", Tenant: "r", Route: route, Priority: 1}
		r.Start = func(assignment *Assignment, _ clock.Micros) { assignments = append(assignments, assignment) }
		if err := sc.Submit(r, now); err != nil {
			t.Fatal(err)
		}
	}
	sc.MatchUntilStable(now)
	later := now + 2*clock.Second
	assignments[0].Abandon(later)
	if unresponsive := sc.servers["s"].unresponsiveFor(later); unresponsive != 2*clock.Second {
		t.Fatalf("the server is unresponsive for %d us, not 2 s", unresponsive)
	}
}
