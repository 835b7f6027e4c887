package simulation

import (
	"testing"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// fill takes a node's disk its room for a span: its writes wait, and its machine is
// told, at once of the first and at the end of the second.
func fill(n *Node, span clock.Micros) {
	w, era := n.world, n.era
	n.Stall(span)
	n.take(func() { n.do(n.machine.Disk(machine.DiskState{Reason: "the disk is full"}, w.Now)) })
	w.After(span, func() {
		if n.era == era {
			n.take(func() { n.do(n.machine.Disk(machine.DiskState{Writable: true}, w.Now)) })
		}
	})
}

// confirmedPut puts a plan and tells whether it is confirmed within a span.
func confirmedPut(w *World, span clock.Micros) bool {
	w.Watch.PutPlan(false)
	if len(w.Watch.Puts) == 0 {
		return false
	}
	put := w.Watch.Puts[len(w.Watch.Puts)-1]
	return w.Until(span, func() bool { return put.Version > 0 })
}

// The primary's disk is full for half a minute: another core leads within seconds and
// confirms plans; every promise is kept, and the core is taken back.
func TestAFullDiskOfThePrimary(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		w := NewWorld(seed, ghent, Conditions{Sync: 2 * clock.Millisecond})
		w.Until(10*clock.Second, w.Settled)
		w.Watch.Open()
		w.Run(2 * clock.Second)
		old := w.primary()
		if seed%2 == 0 {
			w.Watch.PutPlan(false) // one is on its way as the disk fills up
		}
		w.Run(clock.Micros(seed) * clock.Millisecond)
		fill(old, 30*clock.Second)
		w.Run(5 * clock.Second)
		if !confirmedPut(w, 4*clock.Second) {
			t.Fatalf("seed %d: 5 s on no plan is confirmed: %s %s", seed, w.Describe(), w.Report(40))
		}
		if now := w.primary(); now == old {
			t.Fatalf("seed %d: %s leads without its disk", seed, old.Name)
		}
		w.Run(27 * clock.Second)
		if !confirmedPut(w, 6*clock.Second) {
			t.Fatalf("seed %d: no plan is confirmed after the disk is well: %s", seed, w.Report(40))
		}
		if w.Watch.Last(20 * clock.Second); len(w.Watch.Breaches) > 0 {
			t.Fatalf("seed %d: %s", seed, w.Report(30))
		}
	}
}

// All cores' disks fill up one after the other, and get well; a power cut strikes one of
// them meanwhile. Nothing that was confirmed is lost.
func TestFullDisksOfAllCores(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		w := NewWorld(100+seed, ghent, Conditions{Sync: 2 * clock.Millisecond})
		w.Until(10*clock.Second, w.Settled)
		w.Watch.Open()
		w.Run(2 * clock.Second)
		if !confirmedPut(w, 4*clock.Second) {
			t.Fatalf("seed %d: no plan is confirmed: %s", seed, w.Report(40))
		}
		for _, name := range w.Names("cairn") {
			fill(w.Nodes[name], 8*clock.Second)
			w.Run(w.between(100, 1500) * clock.Millisecond)
		}
		if seed%3 == 0 {
			struck := w.any("cairn")
			struck.Crash()
			w.Run(12 * clock.Second)
			struck.Boot(ghent.Slots)
		}
		w.Run(14 * clock.Second)
		if !confirmedPut(w, 10*clock.Second) {
			t.Fatalf("seed %d: no plan is confirmed after the disks are well: %s %s", seed, w.Describe(), w.Report(40))
		}
		if w.Watch.Last(20 * clock.Second); len(w.Watch.Breaches) > 0 {
			t.Fatalf("seed %d: %s", seed, w.Report(30))
		}
	}
}

// A store's disk is full for half a minute: its slots pass on at once, and bundles are
// taken in meanwhile.
func TestAFullDiskOfAStore(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		w := NewWorld(200+seed, ghent, Conditions{Sync: 2 * clock.Millisecond})
		w.Until(10*clock.Second, w.Settled)
		w.Watch.Open()
		w.Run(2 * clock.Second)
		fill(w.any("refuge"), 30*clock.Second)
		w.Run(6 * clock.Second)
		before := len(w.Watch.Bundles)
		for i := 0; i < 30; i++ {
			w.Watch.Hand(3, 5)
		}
		w.Run(4 * clock.Second)
		for _, h := range w.Watch.Bundles[before:] {
			if h.Accepted == 0 {
				t.Fatalf("seed %d: 10 s on bundle %s was not taken in: %s %s", seed, h.ID, w.Describe(), w.Report(40))
			}
		}
		w.Run(26 * clock.Second)
		if w.Watch.Last(20 * clock.Second); len(w.Watch.Breaches) > 0 {
			t.Fatalf("seed %d: %s", seed, w.Report(30))
		}
	}
}
