package controlplane

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
)

// restart gives the store a new incarnation, as after a restart with its disk.
func (s *fakeStore) restart() { s.Incarnation++ }

// underReplicated returns the shards whose groups are incomplete, have members that are not alive
// or have fewer members than replicas.
func (b *testCluster) underReplicated(replicas int) (short []int) {
	core := b.primary()
	if core == nil {
		return []int{-1}
	}
	for shard, assignment := range core.State().Shards {
		living := 0
		for _, member := range assignment.Members() {
			if incarnation, ok := core.stores.Incarnation(core.state, member.ID, b.now); ok && incarnation == member.Incarnation {
				living++
			}
		}
		if !assignment.Complete || living != len(assignment.Members()) || living < replicas {
			short = append(short, shard)
		}
	}
	return short
}

// clusterWithStores returns a fleet with the given number of stores, each in its own zone.
func clusterWithStores(t *testing.T, tolerance, stores int) *testCluster {
	t.Helper()
	settings := smallSettings()
	settings.Tolerance, settings.ShardZones = tolerance, 1
	b := newTestCluster(settings)
	for i := 1; i <= 3; i++ {
		b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
	}
	for i := range stores {
		b.store(fmt.Sprint("store-", i+1), fmt.Sprint("s", i+1), fmt.Sprint("zone-", i+1))
	}
	b.await(t, "shards are assigned", func() bool {
		return b.primary() != nil && len(b.primary().State().Shards) > 0 && len(b.underReplicated(1)) == 0
	})
	return b
}

// All stores restart at the same time with their disks: every shard becomes complete again, with
// as many copies as there are stores if these are fewer than the required copies.
func TestShardsRecoverAfterAllStoresRestart(t *testing.T) {
	for _, shape := range []struct{ tolerance, stores int }{{1, 2}, {1, 3}, {2, 3}, {2, 5}, {3, 3}} {
		b := clusterWithStores(t, shape.tolerance, shape.stores)
		for _, s := range b.stores {
			s.restart()
		}
		b.advance(100 * clock.Millisecond) // heartbeats of the new incarnations arrive
		took := b.await(t, fmt.Sprintf("%+v: every shard is complete", shape), func() bool {
			return len(b.underReplicated(min(shape.tolerance+1, shape.stores))) == 0
		})
		if took > 4*clock.Second {
			t.Errorf("%+v: complete after %d us", shape, took)
		}
	}
}

// Two of four or five stores are lost at the same time, as many as tolerated: every shard
// continues with at least two live members, and has three copies again once new stores join.
func TestShardsSurviveTheToleratedStoreLosses(t *testing.T) {
	for _, stores := range []int{4, 5} {
		b := clusterWithStores(t, 2, stores)
		for shard, assignment := range b.primary().State().Shards {
			if len(assignment.Members()) != 3 {
				t.Fatalf("shard %d has %d copies", shard, len(assignment.Members()))
			}
		}
		b.stores[0].unreachable, b.stores[1].unreachable = true, true
		b.await(t, "every shard continues without the two lost stores", func() bool { return len(b.underReplicated(2)) == 0 })
		b.store("store-8", "s8", "zone-8")
		b.store("store-9", "s9", "zone-9")
		b.await(t, "every shard has three copies again", func() bool { return len(b.underReplicated(3)) == 0 })
	}
}

// A shard is not reduced from two copies to one when no other store is available: with a
// tolerance of one, a single store must not confirm alone.
func TestShardIsNotReducedToASingleCopy(t *testing.T) {
	b := clusterWithStores(t, 1, 2)
	b.stores[0].unreachable = true
	b.advance(20 * clock.Second)
	for shard, assignment := range b.primary().State().Shards {
		if assignment.Complete && len(assignment.Members()) < 2 {
			t.Fatalf("shard %d continues with one copy", shard)
		}
	}
}

// A retiring store keeps its copies until groups without it are complete, so that other stores
// may be lost right after it is retired.
func TestRetiringStoreKeepsItsCopiesUntilReplaced(t *testing.T) {
	for _, shape := range []struct{ tolerance, stores int }{{1, 3}, {2, 4}} {
		b := clusterWithStores(t, shape.tolerance, shape.stores)
		for _, s := range b.stores {
			s.reportsComplete = false // no copy becomes complete
		}
		if _, err := b.retire(t, RetireRequest{ID: "store-1"}); err != nil {
			t.Fatal(err)
		}
		b.advance(5 * clock.Second)
		for shard, assignment := range b.primary().State().Shards {
			if !assignment.Complete && slices.Contains(assignment.Trusted, "store-1") && !assignment.MustKeep("store-1") {
				t.Fatalf("%+v: shard %d lets the retiring store delete its copy", shape, shard)
			}
		}
		if acknowledgement, err := b.retire(t, RetireRequest{ID: "store-1", ReadOnly: true}); err != nil || acknowledgement.Done {
			t.Fatalf("%+v: retired before other stores hold its copies: reply %+v, error %v", shape, acknowledgement, err)
		}
		for _, s := range b.stores {
			s.reportsComplete = true
		}
		b.await(t, "the store is retired", func() bool {
			acknowledgement, err := b.retire(t, RetireRequest{ID: "store-1", ReadOnly: true})
			return err == nil && acknowledgement.Done
		})
		if short := b.underReplicated(shape.tolerance + 1); len(short) > 0 {
			t.Fatalf("%+v: the store is retired, but shards %v lack copies", shape, short)
		}
	}
}

// A retirement after which too few stores would remain is refused and changes nothing.
func TestRetirementThatLeavesTooFewStoresIsRefused(t *testing.T) {
	for _, shape := range []struct{ tolerance, stores int }{{1, 2}, {2, 3}, {3, 3}} {
		b := clusterWithStores(t, shape.tolerance, shape.stores)
		if _, err := b.retire(t, RetireRequest{ID: "store-1"}); err == nil {
			t.Errorf("%+v: the retirement was accepted", shape)
		}
		if b.primary().State().Stores["store-1"].Retiring {
			t.Errorf("%+v: the retirement was refused, but the store is marked as retiring", shape)
		}
	}
}
