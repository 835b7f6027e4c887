package controlplane

import (
	"testing"

	"tuliprudder/internal/clock"
)

// A new primary decides on stores as soon as it has received a heartbeat from every store that
// counts, and otherwise only after the listen delay.
func TestNewPrimaryDecidesOnceItHasHeardEveryStore(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	p := b.primary()
	began := b.now + 1
	p.stores.StartServing(began)
	if p.stores.HasHeardEnough(p.state, b.now+2) {
		t.Fatal("the primary decides before it received any heartbeat")
	}
	b.stores[2].unreachable = true
	b.advance(100 * clock.Millisecond)
	if p.stores.HasHeardEnough(p.state, b.now) {
		t.Fatal("the primary decides before it received the third store's heartbeat")
	}
	if !p.stores.HasHeardEnough(p.state, began+p.settings.ListenDelay) {
		t.Fatal("the primary still waits for an unreachable store after the listen delay")
	}
	b.stores[2].unreachable = false
	b.advance(100 * clock.Millisecond)
	if !p.stores.HasHeardEnough(p.state, b.now) {
		t.Fatal("the primary received a heartbeat from every store and does not decide")
	}
}

// Balancing does not move shards with open batches, unless the distribution is very uneven.
func TestBusyShardsAreNotMoved(t *testing.T) {
	owners := func(p *Core) map[string]int {
		out := map[string]int{}
		for _, assignment := range p.State().Shards {
			out[assignment.Primary.ID]++
		}
		return out
	}
	for name, c := range map[string]struct {
		busy, moves bool
	}{"idle": {false, true}, "busy": {true, false}} {
		t.Run(name, func(t *testing.T) {
			b := bootstrappedCluster(t, smallSettings())
			for shard := range 6 {
				for _, s := range b.stores {
					if c.busy {
						s.Busy = append(s.Busy, shard)
					}
				}
			}
			b.store("store-4", "s4", "zone-2")
			b.advance(20 * clock.Second)
			if got := owners(b.primary()); (got["store-4"] > 0) != c.moves {
				t.Fatalf("shards by primary store after a store was added: %v", got)
			}
		})
	}
}
