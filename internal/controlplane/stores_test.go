package controlplane

import (
	"testing"

	"tuliprudder/internal/clock"
)

// An empty store appears at the address of another store: the shards of the replaced store are
// reassigned at once, and a late heartbeat from it does not bring it back.
func TestShardsOfAReplacedStoreAreReassignedAtOnce(t *testing.T) {
	settings := smallSettings()
	settings.StoreTimeout = 60 * clock.Second
	b := bootstrappedCluster(t, settings)
	core := b.primary()
	if core.state.DependentShards("store-1") == 0 {
		t.Fatal("no shard depends on the store, so the test can't detect a missing reassignment")
	}
	late := b.stores[0].Heartbeat
	b.stores[0].unreachable = true
	b.store("store-9", "s1", "zone-1")
	b.advance(clock.Second)
	if n := core.state.DependentShards("store-1"); n != 0 || !allShardsComplete(core) {
		t.Fatalf("after 1 s %d shards depend on the replaced store, all complete: %v", n, allShardsComplete(core))
	}
	b.applyEffects(core.self.Peer, core.Do(Message{"s1", late}, b.now))
	b.advance(clock.Second)
	if !core.State().Stores["store-1"].Evicted {
		t.Fatal("a late heartbeat brought the store back")
	}
	// The replaced store returns with its disk, and the other store is lost permanently.
	b.stores[3].unreachable, b.stores[0].unreachable, b.stores[0].Incarnation = true, false, 2
	b.advance(121 * clock.Second)
	if core.State().Stores["store-1"].Evicted {
		t.Fatal("the store is back but still evicted")
	}
}
