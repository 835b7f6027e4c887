package execution

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
)

// Items do not wait behind an item that can't start, and they start in the order of submission.
func TestBlockedItemDoesNotDelayOthers(t *testing.T) {
	b := newHarness(t, "s1", "s2")
	b.submitItem(0, 1)
	first := b.nextAttempt()
	b.HandleAttemptResult(AttemptResult{AttemptID: first.ID, ServerFailed: true}, b.now) // now waits for the other server
	other := map[string]string{"s1": "s2", "s2": "s1"}[first.ForwardedItem.Instance]
	b.scheduler.SetLoad(other, 1, endpoints.Load{Running: 40, Healthy: true, ReadAt: b.now})
	b.submitItem(1, 1)
	b.submitItem(2, 1)
	second := b.nextAttempt()
	if second.ForwardedItem.ItemID != "i1" {
		t.Fatalf("started item %v, want i1", second.ForwardedItem.ItemID)
	}
	b.HandleAttemptStarted(AttemptStarted{AttemptID: second.ID}, b.now) // one prefill at a time
	if third := b.nextAttempt(); third.ForwardedItem.ItemID != "i2" {
		t.Fatalf("started item %v, want i2", third.ForwardedItem.ItemID)
	}
}

// A store's items stay within its share of a server's slots: the limit of the lowest priority level,
// divided among the live stores.
func TestStoreItemsStayWithinServerShare(t *testing.T) {
	b := newHarness(t, "s") // 4 slots, of which the lowest priority level may use the fraction 0.7
	ranked := &config.Configuration{Version: 2, Classes: []config.PriorityClass{{Name: "low", Priority: 1}, {Name: "high", Priority: 2}}, ScorerWeights: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}},
		Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{}}}}
	ranked.Index()
	b.scheduler.SetConfiguration(ranked, b.now)
	for i := range 6 {
		b.submitItem(i, 1)
	}
	started := 0
	for range 6 {
		b.now += 5 * clock.Second
		for _, attempt := range b.startedAttempts() {
			started++
			b.HandleAttemptStarted(AttemptStarted{AttemptID: attempt.ID}, b.now)
		}
	}
	if started != 3 { // 0.7 of 4, rounded
		t.Fatalf("%d items run on a server of 4 slots, want 3", started)
	}
}

// An attempt uses the route of the current configuration, not of the one under which the item was
// queued.
func TestAttemptUsesCurrentConfiguration(t *testing.T) {
	b := newHarness(t, "s")
	b.Submit(batchstore.RunItem{Batch: "c", Tenant: "c", Route: "chat", Input: "x", ConfigurationVersion: 1}, b.now)
	configuration := &config.Configuration{Version: 2, ScorerWeights: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}}, Routes: []config.Route{{Name: "chat", Kind: config.Batch, Model: "new"}}}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
	if attempt := b.nextAttempt(); attempt.Request.Model != "new" || attempt.ForwardedItem != nil {
		t.Fatalf("%+v", attempt)
	}
}
