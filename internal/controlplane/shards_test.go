package controlplane

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
)

// restart has a store come back in another incarnation.
func (s *fakeStore) restart() { s.Incarnation++ }

// underReplicated lists the shards whose groups are not complete with so many live members.
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

// clusterWithStores has a fleet with so many stores, one a zone.
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

// All stores are killed and come back with their disks: every shard is complete again, as
// far as there are stores, also where there are fewer stores than copies.
func TestShardsRecoverAfterAllStoresRestart(t *testing.T) {
	for _, shape := range []struct{ tolerance, stores int }{{1, 2}, {1, 3}, {2, 3}, {2, 5}, {3, 3}} {
		b := clusterWithStores(t, shape.tolerance, shape.stores)
		for _, s := range b.stores {
			s.restart()
		}
		b.advance(100 * clock.Millisecond) // the new lives are heard
		took := b.await(t, fmt.Sprintf("%+v: every shard is complete", shape), func() bool {
			return len(b.underReplicated(min(shape.tolerance+1, shape.stores))) == 0
		})
		if took > 4*clock.Second {
			t.Errorf("%+v: complete after %d us", shape, took)
		}
	}
}

// Two of four stores are lost at once, where two may be: each shard goes on with the two
// that live, and is complete again with their successors.
func TestShardsSurviveTheToleratedStoreLosses(t *testing.T) {
	for _, stores := range []int{4, 5} {
		b := clusterWithStores(t, 2, stores)
		for shard, assignment := range b.primary().State().Shards {
			if len(assignment.Members()) != 3 {
				t.Fatalf("shard %d has %d copies", shard, len(assignment.Members()))
			}
		}
		b.stores[0].unreachable, b.stores[1].unreachable = true, true
		b.await(t, "every shard goes on without the two", func() bool { return len(b.underReplicated(2)) == 0 })
		b.store("store-8", "s8", "zone-8")
		b.store("store-9", "s9", "zone-9")
		b.await(t, "every shard has three copies again", func() bool { return len(b.underReplicated(3)) == 0 })
	}
}

// One of two copies is never given up for want of another store: a single store does not
// confirm alone where one may be lost.
func TestShardIsNotReducedToASingleCopy(t *testing.T) {
	b := clusterWithStores(t, 1, 2)
	b.stores[0].unreachable = true
	b.advance(20 * clock.Second)
	for shard, assignment := range b.primary().State().Shards {
		if assignment.Complete && len(assignment.Members()) < 2 {
			t.Fatalf("shard %d goes on with one copy", shard)
		}
	}
}

// A store that is to be emptied keeps what it holds until groups without it are complete,
// and others may be lost right after it is done.
func TestRetiringStoreKeepsItsCopiesUntilReplaced(t *testing.T) {
	for _, shape := range []struct{ tolerance, stores int }{{1, 3}, {2, 4}} {
		b := clusterWithStores(t, shape.tolerance, shape.stores)
		for _, s := range b.stores {
			s.reportsComplete = false // no copy becomes whole
		}
		if _, err := b.retire(t, RetireRequest{ID: "store-1"}); err != nil {
			t.Fatal(err)
		}
		b.advance(5 * clock.Second)
		for shard, assignment := range b.primary().State().Shards {
			if !assignment.Complete && slices.Contains(assignment.Trusted, "store-1") && !assignment.MustKeep("store-1") {
				t.Fatalf("%+v: shard %d lets the retiring store forget its copy", shape, shard)
			}
		}
		if acknowledgement, err := b.retire(t, RetireRequest{ID: "store-1", ReadOnly: true}); err != nil || acknowledgement.Done {
			t.Fatalf("%+v: done before other stores hold its copies: %+v %v", shape, acknowledgement, err)
		}
		for _, s := range b.stores {
			s.reportsComplete = true
		}
		b.await(t, "the store is done", func() bool {
			acknowledgement, err := b.retire(t, RetireRequest{ID: "store-1", ReadOnly: true})
			return err == nil && acknowledgement.Done
		})
		if short := b.underReplicated(shape.tolerance + 1); len(short) > 0 {
			t.Fatalf("%+v: done, and shards %v lack copies", shape, short)
		}
	}
}

// Too few stores would remain: the request is refused and changes nothing.
func TestRetirementThatLeavesTooFewStoresIsRefused(t *testing.T) {
	for _, shape := range []struct{ tolerance, stores int }{{1, 2}, {2, 3}, {3, 3}} {
		b := clusterWithStores(t, shape.tolerance, shape.stores)
		if _, err := b.retire(t, RetireRequest{ID: "store-1"}); err == nil {
			t.Errorf("%+v: accepted", shape)
		}
		if b.primary().State().Stores["store-1"].Retiring {
			t.Errorf("%+v: refused and still marked", shape)
		}
	}
}
