package controlplane

import (
	"math/rand"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// restartedCore is a restarted core and the time of its next tick.
type restartedCore struct {
	core *Core
	due  clock.Micros
}

// restartAll stops all cores at the same time and restarts each from its disk at a random time
// within the spread. It returns the time from the last start until the fleet has a primary.
func (b *testCluster) restartAll(t *testing.T, rng *rand.Rand, spread clock.Micros) clock.Micros {
	t.Helper()
	const step, tick, timeout = 5 * clock.Millisecond, 50 * clock.Millisecond, 30 * clock.Second
	b.now += clock.Second
	b.network = nil
	last := b.now
	starts := map[string]*restartedCore{}
	for _, peer := range sortedKeys(b.cores) {
		at := b.now + rng.Int63n(spread)
		last = max(last, at)
		starts[peer] = &restartedCore{b.restarted(peer), at}
	}
	b.cores = map[string]*Core{}
	for ; b.now < last+timeout; b.now += step {
		for _, peer := range sortedKeys(starts) {
			if start := starts[peer]; b.now >= start.due {
				start.due = b.now + tick
				b.cores[peer] = start.core
				b.applyEffects(peer, start.core.Do(Tick{}, b.now))
			}
		}
		b.deliverOnce()
		if b.primary() != nil {
			return max(0, b.now-last)
		}
	}
	t.Fatal("no core is primary 30 s after all were restarted")
	return 0
}

// restarted returns the core in its next incarnation, created from its disk.
func (b *testCluster) restarted(peer string) *Core {
	b.starts[peer] = b.starts[peer].nextIncarnation()
	records := append([]machine.Record(nil), b.disk(peer).snapshot...)
	for _, write := range b.disk(peer).writes {
		records = append(records, write...)
	}
	return b.starts[peer].newCore(records)
}

// deliverOnce delivers the messages in transit; replies to them are delivered in the next step.
func (b *testCluster) deliverOnce() {
	inTransit := b.network
	b.network = nil
	for _, l := range inTransit {
		if to := b.cores[l.to]; to != nil {
			b.applyEffects(l.to, to.Do(Message{l.from, l.body}, b.now))
		}
	}
}

// Two members that campaign for one term at the same time may vote for each other, so that
// neither wins it. The cores must not wait for the end of a term that no core holds.
func TestElectionDoesNotWaitForATermWithoutHolder(t *testing.T) {
	const limit = 2 * clock.Second
	for seed := int64(1); seed <= 120; seed++ {
		b := newTestCluster(smallSettings())
		b.disks = map[string]*disk{}
		for _, id := range []string{"1", "2", "3"} {
			b.core("core-"+id, "c"+id, "zone-"+id, "c1", "c2", "c3")
			b.store("store-"+id, "s"+id, "zone-"+id)
		}
		b.awaitStable(t)
		if took := b.restartAll(t, rand.New(rand.NewSource(seed)), 500*clock.Millisecond); took > limit {
			t.Errorf("seed %d: first primary %d us after the last start", seed, took)
		}
	}
}
