package execution

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/modelclient"
)

// An item that exceeds its route's retention fails while it is queued or deferred, but not while it is
// on a server. A new configuration may change the retention.
func TestItemPastRetentionFails(t *testing.T) {
	cases := map[string]func(*harness){
		"in the queue": func(*harness) {},
		"deferred":     func(b *harness) { b.scheduler.Close(b.now) },
		"in the queue under a newer configuration": func(b *harness) {
			b.setConfiguration(2, config.Forward{ItemRetention: 24 * hour})
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			if b.submitItem(0, 9); b.Pending() != 1 {
				t.Fatal("the submitted item is not pending")
			}
			prepare(b)
			b.now += 24 * hour
			b.Tick(b.now)
			b.expectNoResult()
			b.now += clock.Second
			b.Tick(b.now)
			b.expectOnlyResult(shard.StatusFailed, outputRetentionExceeded)
			if got := b.Pending(); got != 0 {
				t.Fatalf("%d items are still pending", got)
			}
		})
	}
	t.Run("on a server", func(t *testing.T) {
		b := newHarness(t, "s")
		b.submitItem(0, 9)
		attempt := b.nextAttempt()
		b.now += 25 * hour
		b.Tick(b.now)
		b.expectNoResult()
		b.HandleAttemptResult(AttemptResult{AttemptID: attempt.ID, Outcome: modelclient.NotStarted}, b.now)
		b.expectOnlyResult(shard.StatusFailed, outputRetentionExceeded)
	})
	t.Run("kept without limit", func(t *testing.T) {
		b := newHarness(t)
		b.submitItem(0, 9)
		b.setConfiguration(2, config.Forward{})
		b.now += 1000 * hour
		b.Tick(b.now)
		b.expectNoResult()
	})
}

// An item fails if its route is removed or no longer forwards.
func TestItemFailsWhenRouteIsRemoved(t *testing.T) {
	for name, routes := range map[string][]config.Route{"removed": nil, "another": {{Name: "r", Kind: config.Batch}}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.submitItem(0, 9)
			configuration := &config.Configuration{Version: 2, Routes: routes}
			configuration.Index()
			b.scheduler.SetConfiguration(configuration, b.now)
			b.now += 2 * clock.Second
			b.Tick(b.now)
			b.expectOnlyResult(shard.StatusFailed, outputRouteRemoved)
		})
	}
}
