package batchstore

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// A replica that takes over from a store that has restarted need not wait for the lease of the former
// incarnation to expire. If the store may only be partitioned, the replica has to wait.
func TestALeaseEndsWithTheIncarnationItWasGrantedTo(t *testing.T) {
	for name, test := range map[string]struct {
		incarnation uint64
		free        bool
	}{"restarted": {2, true}, "perhaps partitioned": {1, false}} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			stores := map[string]state.Store{"a": {Peer: "a", Incarnation: test.incarnation}, "b": {Peer: "b", Incarnation: 1}}
			update := mapUpdate(3, stores, replication.Assignment{
				Epoch:    2,
				Primary:  replication.Member{ID: "b", Incarnation: 1},
				Replicas: []replication.Member{{ID: "a", Incarnation: test.incarnation}},
				Trusted:  []string{"a", "b"},
			})
			effects := c.stores["b"].Do(update, c.now)
			effects = append(effects, c.stores["b"].Do(Tick{}, c.now+10*clock.Millisecond)...)
			copying := false
			for _, effect := range effects {
				if send, ok := effect.(machine.Send); ok {
					_, isChunk := send.Body.(replication.SnapshotChunk)
					copying = copying || isChunk
				}
			}
			if copying != test.free {
				t.Fatalf("the new primary sends its snapshot: %v", copying)
			}
		})
	}
}

func TestTransitionFollowsTheAssignment(t *testing.T) {
	self := replication.Member{ID: "s", Incarnation: 2}
	earlier := replication.Member{ID: "s", Incarnation: 1}
	other := replication.Member{ID: "o", Incarnation: 1}
	third := replication.Member{ID: "t", Incarnation: 1}
	others := replication.Assignment{Epoch: 5, Primary: other, Replicas: []replication.Member{third}}
	completeOthers := others
	completeOthers.Complete = true
	trusted := others
	trusted.Trusted = []string{"s", "o"}
	trustedBefore := completeOthers
	trustedBefore.Trusted = []string{"s", "o"}
	for name, test := range map[string]struct {
		assignment replication.Assignment
		current    uint64
		want       transition
	}{
		"never assigned":               {replication.Assignment{}, 0, ignoreAssignment},
		"an older epoch":               {replication.Assignment{Epoch: 5, Primary: self}, 6, ignoreAssignment},
		"the same epoch":               {replication.Assignment{Epoch: 5, Primary: self}, 5, continueEpoch},
		"primary":                      {replication.Assignment{Epoch: 5, Primary: self, Replicas: []replication.Member{other}}, 4, becomePrimary},
		"replica":                      {replication.Assignment{Epoch: 5, Primary: other, Replicas: []replication.Member{self}}, 4, becomeReplica},
		"an earlier incarnation of it": {replication.Assignment{Epoch: 5, Primary: earlier, Complete: true}, 4, releaseShard},
		"others, not complete":         {others, 4, releaseShard},
		"others, not complete, member of the last complete group": {trusted, 4, releaseShard},
		"others, complete": {completeOthers, 4, dropShard},
		"others, complete, member of the complete group before": {trustedBefore, 4, dropShard},
	} {
		if got := transitionFor(self, test.assignment, test.current); got != test.want {
			t.Errorf("%s: transition %d, want %d", name, got, test.want)
		}
	}
}

// Positions whose results were not durable when the shard moved stay unfinished until the new owner
// announces the shard under its epoch.
func TestOrphanedPositionsWaitForTheNewOwner(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	a := c.stores["a"]
	before := a.positions.PersistedUpTo()
	c.delayed = true
	c.do("a", finished("one", 0))
	stores := map[string]state.Store{"a": {Peer: "a", Incarnation: 1}, "b": {Peer: "b", Incarnation: 1}}
	c.do("a", mapUpdate(3, stores, replication.Assignment{
		Epoch:    2,
		Primary:  replication.Member{ID: "b", Incarnation: 1},
		Replicas: []replication.Member{{ID: "a", Incarnation: 1}},
		Trusted:  []string{"a", "b"},
	}))
	if got := a.positions.PersistedUpTo(); got != before || a.positions.Unfinished() != 1 {
		t.Fatalf("persisted up to %d, want %d, with one unfinished position", got, before)
	}
	for _, announced := range []struct {
		epoch uint64
		upTo  int64
	}{{1, before}, {2, before + 1}} {
		c.do("a", announcementUpdate(2, 0, announced.epoch))
		if got := a.positions.PersistedUpTo(); got != announced.upTo {
			t.Fatalf("after the announcement of epoch %d: persisted up to %d, want %d", announced.epoch, got, announced.upTo)
		}
	}
}
