package controlplane

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// A fleet has fewer stores than the copies that the tolerance requires. When stores restart with
// their disks, up to three at the same time, every shard is assigned to them again, with as
// many copies as there are stores.
func TestShardsRecoverWithFewerStoresThanCopies(t *testing.T) {
	for stores := 3; stores <= 4; stores++ {
		for restarted := 1; restarted <= 3; restarted++ {
			settings := smallSettings()
			settings.Tolerance = stores
			b := newTestCluster(settings)
			for i := 1; i <= 3; i++ {
				b.core(fmt.Sprint("core-", i), fmt.Sprint("c", i), fmt.Sprint("zone-", i), "c1", "c2", "c3")
			}
			for i := 1; i <= stores; i++ {
				b.store(fmt.Sprint("store-", i), fmt.Sprint("s", i), fmt.Sprint("zone-", i))
			}
			bootstrapWithStores(t, b)
			for _, store := range b.stores[:restarted] {
				store.Incarnation++
			}
			b.advance(10 * clock.Second)
			core := b.primary()
			if core == nil {
				t.Fatal("no core is primary")
			}
			for shard, assignment := range core.State().Shards {
				if !assignment.Complete || len(assignment.Members()) != stores || !core.allMembersLive(assignment, b.now) {
					t.Errorf("%d of %d stores restarted: shard %d is still assigned as %+v", restarted, stores, shard, assignment)
					break
				}
			}
		}
	}
}

// allMembersLive reports whether every member of an assignment runs in the incarnation that it was
// assigned in.
func (c *Core) allMembersLive(assignment replication.Assignment, now clock.Micros) bool {
	for _, member := range assignment.Members() {
		if incarnation, ok := c.stores.Incarnation(c.state, member.ID, now); !ok || incarnation != member.Incarnation {
			return false
		}
	}
	return true
}
