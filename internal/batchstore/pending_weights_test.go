package batchstore

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
)

// assignedTo is a map of two stores whose complete group has the given primary and replica.
func assignedTo(seq, epoch uint64, primary, replica string) UpdateReceived {
	stores := map[string]state.Store{"a": {Peer: "a", Incarnation: 1}, "b": {Peer: "b", Incarnation: 1}}
	return mapUpdate(seq, stores, replication.Assignment{
		Epoch:    epoch,
		Primary:  replication.Member{ID: primary, Incarnation: 1},
		Replicas: []replication.Member{{ID: replica, Incarnation: 1}},
		Complete: true,
		Trusted:  []string{primary, replica},
	})
}

// What was accepted counts from its entry on; at a store that restarts, until another owns
// the shard; and at the one that lost the shard for a while longer. (Ghent's scale-1, seed
// 117614157011: a store that restarted reported that it had nothing pending.)
func TestAcceptedWorkCountsThroughARestart(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3)) // 10, 11 and 12 tokens
	if got := c.stores["a"].PendingWeights(c.now)["route"]; got != 33 {
		t.Fatalf("%d tokens are pending at the primary", got)
	}
	if got := c.stores["b"].PendingWeights(c.now)["route"]; got != 0 {
		t.Fatalf("%d tokens are pending at the replica as well", got)
	}
	records := append(c.stores["a"].ownRecords(), c.stores["a"].groups.CompactedRecords()...)
	restarted := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), records, newMemoryArchive())
	restarted.Do(assignedTo(9, 1, "a", "b"), c.now)
	if got := restarted.PendingWeights(c.now)["route"]; got != 33 {
		t.Fatalf("%d tokens are pending at the primary that restarted", got)
	}
	// One that restarted and then loses the shard counts it until the other has reported.
	lostAt := c.now + 5*clock.Second
	restarted.Do(assignedTo(10, 2, "b", "a"), lostAt)
	if got := restarted.PendingWeights(lostAt)["route"]; got != 33 {
		t.Fatalf("%d tokens still count where a shard has been lost since the restart", got)
	}
	if got := restarted.PendingWeights(lostAt + formerShardGrace + clock.Millisecond)["route"]; got != 0 {
		t.Fatalf("%d tokens are pending where another owns the shard", got)
	}
	// One that loses the shard while it serves counts it until the other has reported.
	primary := c.stores["a"]
	primary.Do(assignedTo(11, 2, "b", "a"), c.now)
	if got := primary.PendingWeights(c.now)["route"]; got != 33 {
		t.Fatalf("%d tokens still count where the shard has just been lost", got)
	}
	if got := primary.PendingWeights(c.now + formerShardGrace + clock.Millisecond)["route"]; got != 0 {
		t.Fatalf("%d tokens count for ever", got)
	}
}

// A store that restarted and first hears that another owns its shard counts what it read back until
// that one has reported: its own report from before the restart is replaced by its next one. (Issue
// 26: long-heavy-61 and long-rolls-11, all stores restarted.)
func TestAcceptedWorkCountsWhereAShardPassedOnDuringTheRestart(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3))
	records := append(c.stores["a"].ownRecords(), c.stores["a"].groups.CompactedRecords()...)
	restarted := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), records, newMemoryArchive())
	restarted.Do(assignedTo(10, 2, "b", "a"), c.now)
	if got := restarted.PendingWeights(c.now)["route"]; got != 33 {
		t.Errorf("%d tokens are pending at the store that restarted", got)
	}
	if got := restarted.PendingWeights(c.now + 2*formerShardGrace)["route"]; got != 0 {
		t.Errorf("%d tokens count for ever", got)
	}
	empty := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 1}, Defaults(), nil, newMemoryArchive())
	empty.Do(assignedTo(10, 2, "b", "a"), c.now)
	if got := empty.PendingWeights(c.now)["route"]; got != 0 {
		t.Errorf("%d tokens are pending at an empty store", got)
	}
}

// A store that lost its disk doesn't know what is pending while the map still has it as the primary
// of before: nobody else counts that shard yet.
func TestAStoreWithoutItsDiskDoesNotKnowWhatIsPending(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 3))
	empty := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), nil, newMemoryArchive())
	if empty.KnowsPendingWeights() {
		t.Error("it knows before the first map")
	}
	empty.Do(assignedTo(10, 1, "a", "b"), c.now)
	if empty.KnowsPendingWeights() {
		t.Error("it knows though nobody counts its shard")
	}
	empty.Do(assignedTo(11, 2, "b", "a"), c.now)
	if !empty.KnowsPendingWeights() {
		t.Error("it doesn't know though another has the shard")
	}
	records := append(c.stores["a"].ownRecords(), c.stores["a"].groups.CompactedRecords()...)
	restarted := New(Self{ID: "a", Zone: "a", Peer: "a", Incarnation: 2}, Defaults(), records, newMemoryArchive())
	restarted.Do(assignedTo(10, 1, "a", "b"), c.now)
	if !restarted.KnowsPendingWeights() {
		t.Error("it doesn't know though it has read the shard back")
	}
}
