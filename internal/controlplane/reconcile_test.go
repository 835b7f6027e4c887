package controlplane

import (
	"testing"

	"tuliprudder/internal/clock"
)

// A new primary decides at once when it has heard all stores that count since it
// serves, and else only once it has listened for long enough.
func TestNewPrimaryDecidesOnceItHasHeardEveryStore(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	p := b.primary()
	began := b.now + 1
	p.stores.StartServing(began)
	if p.stores.HasHeardEnough(p.state, b.now+2) {
		t.Fatal("it decides before any store was heard")
	}
	b.stores[2].unreachable = true
	b.advance(100 * clock.Millisecond)
	if p.stores.HasHeardEnough(p.state, b.now) {
		t.Fatal("it decides before the third store was heard")
	}
	if !p.stores.HasHeardEnough(p.state, began+p.settings.ListenDelay) {
		t.Fatal("it waits for an unreachable store for ever")
	}
	b.stores[2].unreachable = false
	b.advance(100 * clock.Millisecond)
	if !p.stores.HasHeardEnough(p.state, b.now) {
		t.Fatal("it has heard every store and does not decide")
	}
}

// Moves towards even shares leave shards whose batches are open where they are, unless
// the shares are very uneven.
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
				t.Fatalf("owners after a store was added: %v", got)
			}
		})
	}
}
