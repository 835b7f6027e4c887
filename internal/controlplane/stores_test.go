package controlplane

import (
	"testing"

	"tuliprudder/internal/clock"
)

// An empty store at the address of another: the former one's shards are assigned anew
// at once, and a heartbeat of it that comes late does not bring it back.
func TestShardsOfAReplacedStoreAreReassignedAtOnce(t *testing.T) {
	settings := smallSettings()
	settings.StoreTimeout = 60 * clock.Second
	b := bootstrappedCluster(t, settings)
	core := b.primary()
	if core.state.DependentShards("store-1") == 0 {
		t.Fatal("no shard depends on the store; the test shows nothing")
	}
	late := b.stores[0].Heartbeat
	b.stores[0].unreachable = true
	b.store("store-9", "s1", "zone-1")
	b.advance(clock.Second)
	if n := core.state.DependentShards("store-1"); n != 0 || !allShardsComplete(core) {
		t.Fatalf("after a second %d shards depend on the store that was replaced, all complete %v", n, allShardsComplete(core))
	}
	b.applyEffects(core.self.Peer, core.Do(Message{"s1", late}, b.now))
	b.advance(clock.Second)
	if !core.State().Stores["store-1"].Evicted {
		t.Fatal("a late heartbeat brought the store back")
	}
	// Its disk is put back, and the other one is gone for good.
	b.stores[3].unreachable, b.stores[0].unreachable, b.stores[0].Incarnation = true, false, 2
	b.advance(121 * clock.Second)
	if core.State().Stores["store-1"].Evicted {
		t.Fatal("the store is back and still does not count")
	}
}
