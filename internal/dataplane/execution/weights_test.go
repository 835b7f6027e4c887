package execution

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/dataplane/modelclient"
)

// An opaque item counts by its tokens from when it is queued until a server has finished it, on
// whichever attempt.
func TestAnOpaqueItemCountsUntilItIsFinished(t *testing.T) {
	b := newBench(t, "s")
	b.submitItem(0, 500)
	if got := b.WaitingWeight("r"); got != 500 {
		t.Fatalf("weight %d in the queue", got)
	}
	first := b.nextAttempt()
	b.HandleAttemptStarted(AttemptStarted{AttemptID: first.ID}, b.now)
	if got := b.WaitingWeight("r"); got != 500 {
		t.Fatalf("weight %d while it runs", got)
	}
	b.HandleAttemptResult(AttemptResult{AttemptID: first.ID, Outcome: modelclient.Interrupted}, b.now)
	if got := b.WaitingWeight("r"); got != 500 {
		t.Fatalf("weight %d after an interrupted attempt", got)
	}
	second := b.nextAttempt()
	b.HandleAttemptResult(AttemptResult{AttemptID: second.ID, Outcome: modelclient.Complete}, b.now)
	if got := b.WaitingWeight("r"); got != 0 {
		t.Fatalf("weight %d once it is finished", got)
	}
	// Items with an input count one, and only until a server has begun them.
	b.Submit(batchstore.RunItem{Batch: "c", Tenant: "c", Route: "chat", Input: "x", ConfigurationVersion: 1}, b.now)
	third := b.nextAttempt()
	if got := b.WaitingWeight("c"); got != 1 {
		t.Fatalf("weight %d before a server has begun", got)
	}
	b.HandleAttemptStarted(AttemptStarted{AttemptID: third.ID}, b.now)
	if got := b.WaitingWeight("c"); got != 0 {
		t.Fatalf("weight %d once it has begun", got)
	}
}

// A deferred item counts as well.
func TestADeferredItemCountsByItsTokens(t *testing.T) {
	b := newBench(t)
	b.scheduler.Close(b.now)
	b.submitItem(0, 500)
	b.submitItem(1, 30)
	if got := b.WaitingWeight("r"); got != 530 {
		t.Fatalf("weight %d", got)
	}
	b.Revoke(batchstore.CancelItems{Batch: "b", Shard: -1}, b.now)
	if got := b.WaitingWeight("r"); got != 0 {
		t.Fatalf("weight %d once they are revoked", got)
	}
}
