package simulator

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// fillDisk fills a node's disk for a span: its writes wait, and its machine is notified at the
// beginning and at the end.
func fillDisk(n *Node, duration clock.Micros) {
	w, generation := n.world, n.generation
	n.StallDisk(duration)
	n.runOrDefer(func() { n.execute(n.machine.DiskStateChanged(machine.DiskState{Reason: "the disk is full"}, w.Now)) })
	w.After(duration, func() {
		if n.generation == generation {
			n.runOrDefer(func() { n.execute(n.machine.DiskStateChanged(machine.DiskState{Writable: true}, w.Now)) })
		}
	})
}

// putIsConfirmed puts a configuration and says whether it is confirmed within a span.
func putIsConfirmed(w *World, duration clock.Micros) bool {
	w.Workload.PutConfiguration(false)
	if len(w.Workload.ConfigurationPuts) == 0 {
		return false
	}
	put := w.Workload.ConfigurationPuts[len(w.Workload.ConfigurationPuts)-1]
	return w.RunUntil(duration, func() bool { return put.Version > 0 })
}

// The primary's disk is full for half a minute: another core leads within seconds and
// confirms configurations; every guarantee is kept, and the core votes again.
func TestAFullDiskOfThePrimary(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		w := NewWorld(seed, defaultShape, Conditions{SyncTime: 2 * clock.Millisecond})
		w.RunUntil(10*clock.Second, w.FullyReplicated)
		w.Workload.Start()
		w.RunFor(2 * clock.Second)
		old := w.primary()
		if seed%2 == 0 {
			w.Workload.PutConfiguration(false) // one is pending as the disk fills up
		}
		w.RunFor(clock.Micros(seed) * clock.Millisecond)
		fillDisk(old, 30*clock.Second)
		w.RunFor(5 * clock.Second)
		if !putIsConfirmed(w, 4*clock.Second) {
			t.Fatalf("seed %d: 5 s on no configuration is confirmed: %s %s", seed, w.Describe(), w.Report(40))
		}
		if now := w.primary(); now == old {
			t.Fatalf("seed %d: %s leads without its disk", seed, old.Name)
		}
		w.RunFor(27 * clock.Second)
		if !putIsConfirmed(w, 6*clock.Second) {
			t.Fatalf("seed %d: no configuration is confirmed after the disk has space again: %s", seed, w.Report(40))
		}
		if w.Workload.Finish(20 * clock.Second); len(w.Workload.Violations) > 0 {
			t.Fatalf("seed %d: %s", seed, w.Report(30))
		}
	}
}

// All cores' disks fill up one after the other, and have space again; one of the cores loses
// power meanwhile. Nothing that was confirmed is lost.
func TestFullDisksOfAllCores(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		w := NewWorld(100+seed, defaultShape, Conditions{SyncTime: 2 * clock.Millisecond})
		w.RunUntil(10*clock.Second, w.FullyReplicated)
		w.Workload.Start()
		w.RunFor(2 * clock.Second)
		if !putIsConfirmed(w, 4*clock.Second) {
			t.Fatalf("seed %d: no configuration is confirmed: %s", seed, w.Report(40))
		}
		for _, name := range w.Names(membership.Core) {
			fillDisk(w.Nodes[name], 8*clock.Second)
			w.RunFor(w.randomBetween(100, 1500) * clock.Millisecond)
		}
		if seed%3 == 0 {
			victim := w.randomNode(membership.Core)
			victim.Crash()
			w.RunFor(12 * clock.Second)
			victim.Boot(defaultShape.Shards)
		}
		w.RunFor(14 * clock.Second)
		if !putIsConfirmed(w, 10*clock.Second) {
			t.Fatalf("seed %d: no configuration is confirmed after the disks have space again: %s %s", seed, w.Describe(), w.Report(40))
		}
		if w.Workload.Finish(20 * clock.Second); len(w.Workload.Violations) > 0 {
			t.Fatalf("seed %d: %s", seed, w.Report(30))
		}
	}
}

// A store's disk is full for half a minute: its shards move at once, and batches are accepted
// meanwhile.
func TestAFullDiskOfAStore(t *testing.T) {
	for seed := int64(1); seed <= 6; seed++ {
		w := NewWorld(200+seed, defaultShape, Conditions{SyncTime: 2 * clock.Millisecond})
		w.RunUntil(10*clock.Second, w.FullyReplicated)
		w.Workload.Start()
		w.RunFor(2 * clock.Second)
		fillDisk(w.randomNode(membership.Store), 30*clock.Second)
		w.RunFor(6 * clock.Second)
		before := len(w.Workload.Batches)
		for i := 0; i < 30; i++ {
			w.Workload.SubmitBatch(3, 5)
		}
		w.RunFor(4 * clock.Second)
		for _, b := range w.Workload.Batches[before:] {
			if b.AcceptedAt == 0 {
				t.Fatalf("seed %d: 10 s on batch %s was not accepted: %s %s", seed, b.ID, w.Describe(), w.Report(40))
			}
		}
		w.RunFor(26 * clock.Second)
		if w.Workload.Finish(20 * clock.Second); len(w.Workload.Violations) > 0 {
			t.Fatalf("seed %d: %s", seed, w.Report(30))
		}
	}
}
