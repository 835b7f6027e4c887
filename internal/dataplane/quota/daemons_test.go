package quota

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/replication"
)

// The lease of a lost store is dropped once its shards are others', and no sooner.
func TestALeaseMovesWithTheShards(t *testing.T) {
	q := New("edge", machine.NewCalls(), func() []membership.Member { return nil }, nil)
	m := state.Map{Seq: 1, Shards: []replication.Assignment{{Epoch: 1, Primary: replication.Member{ID: "lost"}, Complete: true}}}
	q.ShardMap = func() (state.Map, bool) { return m, true }
	now := clock.Second
	a := OpenAccount(1, nil, now)
	a.IsStore = func(string) bool { return true }
	a.RecordUsage("lost", 40, now)
	q.accounts["c"], q.knownStores["lost"] = a, true
	step := func() int {
		q.releaseTransferred(now)
		now += clock.Second
		return a.Granted(now)["lost"]
	}
	for range 4 {
		if got := step(); got != 40 {
			t.Fatalf("%d granted while its shard is still its own", got)
		}
	}
	m.Shards[0].Primary.ID = "other"
	if got := step(); got != 40 {
		t.Fatalf("%d granted at once after the shard moved", got)
	}
	step()
	if got := step(); got != 0 {
		t.Fatalf("%d still granted long after", got)
	}
}
