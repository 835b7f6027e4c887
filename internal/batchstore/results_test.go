package batchstore

import (
	"maps"
	"testing"

	"tuliprudder/internal/batchstore/positions"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
)

// The persisted-up-to position advances past a result only once the result is durable on both members.
func TestPersistedUpToCoversDurableResultsOnly(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	c.do("a", finished("one", 0))
	c.advance(clock.Second)
	before := c.announced.PersistedUpTo
	c.delayed = true
	c.do("a", finished("one", 1))
	c.advance(100 * clock.Millisecond)
	if got := c.stores["a"].positions.PersistedUpTo(); got != before {
		t.Fatalf("persisted up to %d, want %d", got, before)
	}
	c.executeDelayed()
	c.advance(100 * clock.Millisecond)
	if c.announced.PersistedUpTo != before+1 {
		t.Fatalf("announced persisted up to %d, want %d", c.announced.PersistedUpTo, before+1)
	}
}

// A second result of an item, and a result of an unknown batch or item, are dropped and use no position.
func TestDuplicateAndUnknownResultsAreDropped(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	c.do("a", finished("one", 0))
	next := c.stores["a"].positions.Next()
	for _, result := range []ItemFinished{finished("one", 0), finished("unknown", 0), finished("one", 2), finished("one", -1)} {
		c.do("a", result)
	}
	if got := c.stores["a"].positions.Next(); got != next || len(c.stores["a"].pendingResults) != 0 {
		t.Fatalf("the next position is %d, want %d; the pending results are %v", got, next, c.stores["a"].pendingResults)
	}
}

// Results stay pending until a durable reservation covers their positions.
func TestResultsWaitForAReservation(t *testing.T) {
	c := newCluster(t)
	const items = positions.ReservationSize + 1
	c.mustCall(forwardedBatch("one", items))
	c.delayed = true
	for item := range items {
		c.do("a", finished("one", item))
	}
	if got := len(c.stores["a"].pendingResults); got != 1 {
		t.Fatalf("%d results are pending, want 1", got)
	}
	c.executeDelayed()
	if got := len(c.stores["a"].pendingResults); got != 0 {
		t.Fatalf("%d results are still pending", got)
	}
}

// The failed attempts of an item are counted in the shard's state, so that the next owner of the shard has
// the count.
func TestFailedAttemptsPassToTheNextOwner(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	for _, item := range []int{1, 1, 0, 7} {
		c.do("a", AttemptFailed{Batch: "one", Item: item})
	}
	c.do("a", AttemptFailed{Batch: "unknown"})
	c.do("b", AttemptFailed{Batch: "one"}) // "b" does not serve the shard
	c.tasks = nil
	c.moveShard(2, "b", "a")
	counts := map[string]int{}
	for _, task := range c.tasks {
		if run, ok := task.(RunItem); ok && run.Epoch == 2 {
			counts[run.ItemID] = run.FailedAttempts
		}
	}
	if want := map[string]int{"i0": 1, "i1": 2}; !maps.Equal(counts, want) {
		t.Fatalf("failed attempts at the new owner: %v, want %v", counts, want)
	}
}

// A shard moves to another store and back while a position of its first owner, in another shard, stays
// unfinished. The results that the first owner listed earlier are still announced and readable, as they
// were under the owner in between.
func TestResultsOfAnEarlierOwnershipAreReadable(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	a := c.stores["a"]
	a.positions.Allocate() // of another shard, whose entry is never durable
	c.do("a", finished("one", 0))
	c.advance(clock.Second)
	before := a.positions.PersistedUpTo()
	c.moveShard(2, "b", "a")
	c.moveShard(3, "a", "b")
	if got := a.positions.PersistedUpTo(); got != before {
		t.Fatalf("the persisted-up-to position advanced to %d", got)
	}
	announced := a.announcement().Shards[0].LastPositions[1]
	if announced <= before {
		t.Fatalf("announced last position %d, want one above the persisted-up-to position %d", announced, before)
	}
	response := c.mustCall(ReadRequest{Shards: map[int]uint64{0: 3}, Batch: "one", By: accessByID, Indexed: true, Bound: map[int]token.Vector{0: {1: announced}}})
	if got := response.(ReadResponse).Results; len(got) != 1 {
		t.Fatalf("read %d results, want 1", len(got))
	}
}

// moveShard makes a store the shard's primary under an epoch, with another store as its replica.
func (c *cluster) moveShard(epoch uint64, primary, replica string) {
	stores := map[string]state.Store{"a": {Peer: "a", Incarnation: 1}, "b": {Peer: "b", Incarnation: 1}}
	for _, complete := range []bool{false, true} {
		c.mapSeq++
		for _, id := range []string{primary, replica} {
			c.do(id, mapUpdate(c.mapSeq, stores, replication.Assignment{
				Epoch:    epoch,
				Primary:  replication.Member{ID: primary, Incarnation: 1},
				Replicas: []replication.Member{{ID: replica, Incarnation: 1}},
				Trusted:  []string{"a", "b"},
				Complete: complete,
			}))
		}
		c.advance(3 * clock.Second)
	}
}
