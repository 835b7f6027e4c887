package execution

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/dataplane/modelclient"
)

// An opaque item is resumed after the last event that came, on whichever server, and its result
// has the events of all attempts.
func TestOpaqueItemResumesAfterLastEvent(t *testing.T) {
	b := newHarness(t, "s")
	b.submitItem(7, 1)
	first := b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"e1", "e2"}, LastEventID: 2})
	if f := first.ForwardedItem; f == nil || f.Batch != "b" || f.ItemID != "i7" || f.Instance != "s" || f.LastEventID != 0 || string(f.Request.Body) != "body 7" || first.Request.Address != "s:1" {
		t.Fatalf("the attempt is %+v %+v", first, first.ForwardedItem)
	}
	if second := b.finishNext(AttemptResult{Outcome: modelclient.NotStarted}); second.ForwardedItem.LastEventID != 2 {
		t.Fatalf("it is resumed after %d", second.ForwardedItem.LastEventID)
	}
	// Events without IDs can't be resumed after: they come again, and are not kept.
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"no id"}})
	b.finishNext(AttemptResult{ServerFailed: true, Events: []string{"e3"}, LastEventID: 3})
	b.expectNoResult()
	if last := b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"e4", "end"}, LastEventID: 4}); last.ForwardedItem.LastEventID != 3 {
		t.Fatalf("it is resumed after %d", last.ForwardedItem.LastEventID)
	}
	b.expectOnlyResult(shard.StatusOK, "e1\ne2\ne3\ne4\nend")
}

// The events kept between attempts are bounded: beyond that the item starts from its beginning,
// and does not fail.
func TestEventsKeptBetweenAttemptsAreBounded(t *testing.T) {
	b := newHarness(t, "s")
	b.settings.MaxOutputBytes = 5
	b.submitItem(0, 1)
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"abc"}, LastEventID: 1})
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"def"}, LastEventID: 2})
	if attempt := b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"abc", "def", "g"}, LastEventID: 3}); attempt.ForwardedItem.LastEventID != 0 {
		t.Fatalf("it is resumed after %d", attempt.ForwardedItem.LastEventID)
	}
	b.expectOnlyResult(shard.StatusOK, "abc\ndef\ng")
}

// Only failed attempts count, and only as many as the route allows.
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

// Attempts that failed under an earlier owner of the shard count, and each one that fails here is
// reported for the next owner.
func TestFailedAttemptsCountAcrossTakeovers(t *testing.T) {
	b := newHarness(t, "s")
	b.submitFailedItem(0, 1, 2)
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Reason: "broken off"})
	if len(b.failures) != 0 {
		t.Fatalf("failures %+v", b.failures)
	}
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectOnlyResult(shard.StatusFailed, "its attempts have failed: 500")
	if len(b.failures) != 1 || b.failures[0] != (batchstore.AttemptFailed{Batch: "b"}) {
		t.Fatalf("failures %+v", b.failures)
	}
}

// An item that has used up its attempts before its shard changed its owner runs no more.
func TestItemWithoutAttemptsLeftFailsAfterTakeover(t *testing.T) {
	b := newHarness(t, "s")
	b.submitFailedItem(0, 1, 3)
	if attempts := b.startedAttempts(); len(attempts) != 0 {
		t.Fatalf("%d attempts", len(attempts))
	}
	b.expectOnlyResult(shard.StatusFailed, "its attempts have failed: under an earlier owner")
}

// What a server rejects fails at once.
func TestRejectedItemFailsImmediately(t *testing.T) {
	b := newHarness(t, "s")
	b.submitItem(0, 1)
	b.finishNext(AttemptResult{Outcome: modelclient.Rejected, Reason: "422"})
	b.expectOnlyResult(shard.StatusFailed, "the server rejected it: 422")
}

// A failed attempt is followed by one on another server where there is one.
func TestFailedAttemptIsRetriedOnAnotherServer(t *testing.T) {
	b := newHarness(t, "s1", "s2")
	b.submitItem(0, 1)
	first := b.finishNext(AttemptResult{ServerFailed: true})
	if second := b.finishNext(AttemptResult{ServerFailed: true}); second.ForwardedItem.Instance == first.ForwardedItem.Instance {
		t.Fatalf("both went to %s", first.ForwardedItem.Instance)
	}
	b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"x"}, LastEventID: 1})
	b.expectOnlyResult(shard.StatusOK, "x")
}

// An item that wants other weights than its server has waits for a server of those; the server that
// answered so isn't left alone, and other items start there at once.
func TestItemWaitsForServerWithRequiredWeights(t *testing.T) {
	b := newHarness(t, "s")
	b.WantedWeightsHeader = "X-Wanted"
	item := batchstore.RunItem{Batch: "b", Tenant: "r", Route: "r", SubmittedAt: hour, ConfigurationVersion: 1,
		Request: &shard.Request{Header: map[string]string{"x-wanted": "2"}, Tokens: 1}}
	b.Submit(item, b.now)
	attempts := b.startedAttempts()
	if len(attempts) != 1 {
		t.Fatalf("%d attempts", len(attempts))
	}
	b.HandleAttemptResult(AttemptResult{AttemptID: attempts[0].ID, Outcome: modelclient.NotStarted, WrongWeights: true, WeightVersion: 1}, b.now)
	b.submitItem(1, 1)
	if attempts = b.startedAttempts(); len(attempts) != 1 || attempts[0].ForwardedItem.ItemID != "i1" {
		t.Fatalf("%+v", attempts)
	}
	b.HandleAttemptResult(AttemptResult{AttemptID: attempts[0].ID, Outcome: modelclient.Complete, Events: []string{"x"}, LastEventID: 1, WeightVersion: 2}, b.now)
	if attempts = b.startedAttempts(); len(attempts) != 1 || attempts[0].ForwardedItem.ItemID != "" {
		t.Fatalf("the server has the version now: %+v", attempts)
	}
}
