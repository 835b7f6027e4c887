package batchstore

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

func mapNews(seq, epoch uint64, owner, backup string, ownerIncarnation uint64) UpdateReceived {
	m := state.Map{Fleet: "f", Seq: seq, Stores: map[string]state.Store{"a": {Peer: "a", Incarnation: 1}, "b": {Peer: "b", Incarnation: 1}},
		Shards: []replication.Assignment{{Epoch: epoch, Primary: replication.Member{ID: owner, Incarnation: ownerIncarnation}, Replicas: []replication.Member{{ID: backup, Incarnation: 1}}, Complete: true, Trusted: []string{owner, backup}}}}
	value, _ := json.Marshal(m)
	return UpdateReceived{Update: machine.Update{Key: state.MapKey, Seq: seq, Value: value}}
}

// What was accepted counts from the write on; at a store that starts again, until
// another owns the shard; and at the one that lost it for a while longer. (Ghent's
// scale-1, seed 117614157011: a store that restarted told that it held nothing.)
func TestAcceptedWorkCountsThroughARestart(t *testing.T) {
	b := newBench(t)
	b.must(lot("l", 3)) // 10, 11 and 12 tokens
	if got := b.keepers["a"].PendingWeights(b.now)["route"]; got != 33 {
		t.Fatalf("%d tokens wait at the owner", got)
	}
	if got := b.keepers["b"].PendingWeights(b.now)["route"]; got != 0 {
		t.Fatalf("%d tokens wait at the backup as well", got)
	}
	records := append(b.keepers["a"].ownRecords(), b.keepers["a"].groups.CompactedRecords()...)
	again := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), records, shelf{})
	again.Do(mapNews(9, 1, "a", "b", 1), b.now)
	if got := again.PendingWeights(b.now)["route"]; got != 33 {
		t.Fatalf("%d tokens wait at the owner that started again", got)
	}
	again.Do(mapNews(10, 2, "b", "a", 1), b.now)
	if got := again.PendingWeights(b.now)["route"]; got != 0 {
		t.Fatalf("%d tokens wait where another owns the slot", got)
	}
	// One that loses the shard while it serves counts it until the other has told.
	owner := b.keepers["a"]
	owner.Do(mapNews(11, 2, "b", "a", 1), b.now)
	if got := owner.PendingWeights(b.now)["route"]; got != 33 {
		t.Fatalf("%d tokens linger where the slot has just been lost", got)
	}
	if got := owner.PendingWeights(b.now + formerShardGrace + clock.Millisecond)["route"]; got != 0 {
		t.Fatalf("%d tokens linger for ever", got)
	}
}
