package execution

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/dataplane/modelclient"
)

// An opaque item is resumed after the last event received, on any server, and its result holds the
// events of all attempts.
func TestOpaqueItemResumesAfterLastEvent(t *testing.T) {
	b := newHarness(t, "s")
	b.submitItem(7, 1)
	first := b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"e1", "e2"}, LastEventID: 2})
	if f := first.ForwardedItem; f == nil || f.Batch != "b" || f.ItemID != "i7" || f.Instance != "s" || f.LastEventID != 0 || string(f.Request.Body) != "body 7" || first.Request.Address != "s:1" {
		t.Fatalf("unexpected attempt %+v with forwarded item %+v", first, first.ForwardedItem)
	}
	if second := b.finishNext(AttemptResult{Outcome: modelclient.NotStarted}); second.ForwardedItem.LastEventID != 2 {
		t.Fatalf("resumed after event %d, want 2", second.ForwardedItem.LastEventID)
	}
	// An item can't be resumed after events without IDs: the server sends them again, so they are not kept.
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"no id"}})
	b.finishNext(AttemptResult{ServerFailed: true, Events: []string{"e3"}, LastEventID: 3})
	b.expectNoResult()
	if last := b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"e4", "end"}, LastEventID: 4}); last.ForwardedItem.LastEventID != 3 {
		t.Fatalf("resumed after event %d, want 3", last.ForwardedItem.LastEventID)
	}
	b.expectOnlyResult(shard.StatusOK, "e1\ne2\ne3\ne4\nend")
}

// The size of the events kept between attempts is bounded. An item that exceeds the bound starts
// from the beginning and does not fail.
func TestEventsKeptBetweenAttemptsAreBounded(t *testing.T) {
	b := newHarness(t, "s")
	b.settings.MaxOutputBytes = 5
	b.submitItem(0, 1)
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"abc"}, LastEventID: 1})
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"def"}, LastEventID: 2})
	if attempt := b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"abc", "def", "g"}, LastEventID: 3}); attempt.ForwardedItem.LastEventID != 0 {
		t.Fatalf("resumed after event %d, want 0", attempt.ForwardedItem.LastEventID)
	}
	b.expectOnlyResult(shard.StatusOK, "abc\ndef\ng")
}

// Only attempts that failed on the server count towards the route's limit; the item fails when they
// reach it.
func TestOnlyServerFailuresCountAsAttempts(t *testing.T) {
	b := newHarness(t, "s")
	b.submitItem(0, 1)
	for i := 0; i < 3*Defaults().MaxAttempts; i++ {
		b.finishNext(AttemptResult{Outcome: []modelclient.Outcome{modelclient.NotStarted, modelclient.Interrupted}[i%2], Reason: "broken off"})
	}
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectNoResult()
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectOnlyResult(shard.StatusFailed, "its attempts have failed: 500")
}

// Attempts that failed under a previous owner of the shard count towards the limit, and each attempt
// that fails here is reported, so that the next owner can count it.
func TestFailedAttemptsCountAcrossTakeovers(t *testing.T) {
	b := newHarness(t, "s")
	b.submitFailedItem(0, 1, 2)
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Reason: "broken off"})
	if len(b.failures) != 0 {
		t.Fatalf("reported failures %+v, want none", b.failures)
	}
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectOnlyResult(shard.StatusFailed, "its attempts have failed: 500")
	if len(b.failures) != 1 || b.failures[0] != (batchstore.AttemptFailed{Batch: "b"}) {
		t.Fatalf("reported failures %+v, want one of batch b", b.failures)
	}
}

// An item that used up its attempts before its shard's owner changed is not run again.
func TestItemWithoutAttemptsLeftFailsAfterTakeover(t *testing.T) {
	b := newHarness(t, "s")
	b.submitFailedItem(0, 1, 3)
	if attempts := b.startedAttempts(); len(attempts) != 0 {
		t.Fatalf("started %d attempts, want none", len(attempts))
	}
	b.expectOnlyResult(shard.StatusFailed, "its attempts have failed: under an earlier owner")
}

// An item that a server rejects fails without another attempt.
func TestRejectedItemFailsImmediately(t *testing.T) {
	b := newHarness(t, "s")
	b.submitItem(0, 1)
	b.finishNext(AttemptResult{Outcome: modelclient.Rejected, Reason: "422"})
	b.expectOnlyResult(shard.StatusFailed, "the server rejected it: 422")
}

// After a failed attempt, the next one uses another server if there is one.
func TestFailedAttemptIsRetriedOnAnotherServer(t *testing.T) {
	b := newHarness(t, "s1", "s2")
	b.submitItem(0, 1)
	first := b.finishNext(AttemptResult{ServerFailed: true})
	if second := b.finishNext(AttemptResult{ServerFailed: true}); second.ForwardedItem.Instance == first.ForwardedItem.Instance {
		t.Fatalf("both attempts ran on %s", first.ForwardedItem.Instance)
	}
	b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"x"}, LastEventID: 1})
	b.expectOnlyResult(shard.StatusOK, "x")
}

// An item that requires another version of the weights than its server has waits for a server with
// that version. The server that refused it stays available: other items start there immediately.
func TestItemWaitsForServerWithRequiredWeights(t *testing.T) {
	b := newHarness(t, "s")
	b.WantedWeightsHeader = "X-Wanted"
	item := batchstore.RunItem{Batch: "b", Tenant: "r", Route: "r", SubmittedAt: hour, ConfigurationVersion: 1,
		Request: &shard.Request{Header: map[string]string{"x-wanted": "2"}, Tokens: 1}}
	b.Submit(item, b.now)
	attempts := b.startedAttempts()
	if len(attempts) != 1 {
		t.Fatalf("started %d attempts, want 1", len(attempts))
	}
	b.HandleAttemptResult(AttemptResult{AttemptID: attempts[0].ID, Outcome: modelclient.NotStarted, WrongWeights: true, WeightVersion: 1}, b.now)
	b.submitItem(1, 1)
	if attempts = b.startedAttempts(); len(attempts) != 1 || attempts[0].ForwardedItem.ItemID != "i1" {
		t.Fatalf("%+v", attempts)
	}
	b.HandleAttemptResult(AttemptResult{AttemptID: attempts[0].ID, Outcome: modelclient.Complete, Events: []string{"x"}, LastEventID: 1, WeightVersion: 2}, b.now)
	if attempts = b.startedAttempts(); len(attempts) != 1 || attempts[0].ForwardedItem.ItemID != "" {
		t.Fatalf("the server now has the required version, but the started attempts are %+v", attempts)
	}
}
