package execution

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// A deferred item that is submitted again keeps its count of failed attempts and its events.
func TestDeferredItemKeepsAttemptsAndEvents(t *testing.T) {
	b := newHarness(t, "s")
	mayRun := true
	b.mayRun = func(int, string, int, clock.Micros) bool { return mayRun }
	b.submitItem(0, 1)
	b.finishNext(AttemptResult{ServerFailed: true, Events: []string{"e1"}, LastEventID: 1})
	mayRun, b.now = false, b.now+5*clock.Second
	if attempts := b.startedAttempts(); len(attempts) != 0 || len(b.deferred) != 1 {
		t.Fatalf("started %d attempts without a lease, %d items deferred", len(attempts), len(b.deferred))
	}
	mayRun = true
	b.submitItem(0, 1)
	if attempt := b.finishNext(AttemptResult{ServerFailed: true}); attempt.ForwardedItem.LastEventID != 1 {
		t.Fatalf("resumed after event %d, want 1", attempt.ForwardedItem.LastEventID)
	}
	b.expectNoResult()
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectOnlyResult(shard.StatusFailed, "its attempts have failed: 500")
}

// An item submitted before the store holds a fresh lease on its shard starts once the lease is held;
// the store does not have to submit it again.
func TestDeferredItemStartsOnceLeaseIsHeld(t *testing.T) {
	b := newHarness(t, "s")
	lease := false
	b.Runner = New(Defaults(), b.machineCalls, b.scheduler, func(int, string, int, clock.Micros) bool { return lease }, func(batchstore.Command, clock.Micros) {})
	b.submitItem(0, 1)
	if attempts := b.startedAttempts(); len(attempts) != 0 {
		t.Fatalf("started %d attempts without a lease", len(attempts))
	}
	b.now += retryInterval
	b.Tick(b.now)
	if attempts := b.startedAttempts(); len(attempts) != 0 {
		t.Fatalf("started %d attempts without a lease after a retry", len(attempts))
	}
	lease = true
	b.now += retryInterval
	b.Tick(b.now)
	if attempts := b.startedAttempts(); len(attempts) != 1 {
		t.Fatalf("started %d attempts with a lease, want 1", len(attempts))
	}
}
