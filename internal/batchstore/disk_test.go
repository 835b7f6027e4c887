package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

var diskFull = DiskStateChanged{machine.DiskState{Reason: "the disk is full"}}
var diskWell = DiskStateChanged{machine.DiskState{Writable: true}}

// stalledHeartbeat is what the last beat among some effects says of the disk.
func stalledHeartbeat(effects []machine.Effect) (stalled, told bool) {
	for _, effect := range effects {
		if send, ok := effect.(machine.Send); ok {
			if heartbeat, ok := send.Body.(Heartbeat); ok {
				stalled, told = heartbeat.Stalled, true
			}
		}
	}
	return stalled, told
}

// A store whose disk is full tells the cores at once that its shards should pass on,
// and takes them again once the disk has kept up for a while.
func TestAFullDiskIsToldAtOnce(t *testing.T) {
	k := New(Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 1}, Defaults(), nil, shelf{})
	k.Do(CorePeers{Peers: []string{"c"}}, clock.Second)
	now := clock.Micros(2 * clock.Second)
	if stalled, told := stalledHeartbeat(k.Do(diskFull, now)); !told || !stalled {
		t.Fatalf("told %v, stalled %v", told, stalled)
	}
	now += 60 * clock.Second
	if stalled, told := stalledHeartbeat(k.Do(Tick{}, now)); !told || !stalled {
		t.Fatalf("a minute later: told %v, stalled %v", told, stalled)
	}
	if stalled, told := stalledHeartbeat(k.Do(diskWell, now)); !told || !stalled {
		t.Fatalf("the disk is well only now: told %v, stalled %v", told, stalled)
	}
	now += Defaults().DiskProbation + 1
	if stalled, told := stalledHeartbeat(k.Do(Tick{}, now)); !told || stalled {
		t.Fatalf("after the proof: told %v, stalled %v", told, stalled)
	}
}

// What would have to be written is turned away at once, and what was confirmed is
// still read; once the disk is well the same ask is taken.
func TestAFullDiskTakesNothingNew(t *testing.T) {
	b := newBench(t)
	b.must(lot("one", 1))
	b.do("a", diskFull)
	for _, request := range []any{lot("two", 1), EndRequest{Batch: "one", AnyTenant: true, Timeout: clock.Second}} {
		b.refused(errs.NotReady, request)
	}
	if b.keepers["a"].shard(Unit(0)).state.Batches["two"] != nil {
		t.Fatal("a bundle that was turned away is there")
	}
	if status := b.must(BatchStatusRequest{Batch: "one", AnyTenant: true}).(BatchStatus); status.Items != 1 {
		t.Fatalf("it stands so: %+v", status)
	}
	b.do("a", diskWell)
	b.must(lot("two", 1))
}

// A backup whose disk is full takes no entry and acknowledges none: it would only
// wait in memory. The owner repeats it, and it is taken once the disk is well.
func TestABackupWithAFullDiskTakesNoEntries(t *testing.T) {
	b := newBench(t)
	backup := b.keepers["b"].groups.Group(Unit(0))
	before := backup.Seq
	b.do("b", diskFull)
	if answer, err := b.ask(lot("one", 1)); answer != nil || err != nil {
		t.Fatalf("told %v %v with one copy", answer, err)
	}
	if backup.Seq != before {
		t.Fatal("the entry was taken")
	}
	b.do("b", diskWell)
	b.pass(clock.Second)
	if b.answers[b.call].Body == nil || backup.Seq == before {
		t.Fatalf("after the disk is well: %+v", b.answers[b.call])
	}
}

// A copy of a whole unit is not taken either.
func TestNoCopyIsTakenByAFullDisk(t *testing.T) {
	k := New(Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 1}, Defaults(), nil, shelf{})
	k.Do(diskFull, clock.Second)
	view := shard.New().Snapshot(nil)
	for _, effect := range k.Do(Message{From: "o", Body: replication.SnapshotChunk{Unit: Unit(0), Epoch: 3, Seq: 1, Count: 1, Parts: view}}, 2*clock.Second) {
		switch effect.(type) {
		case machine.Persist, machine.Send:
			t.Fatalf("it has %T", effect)
		}
	}
}

// A view that could not be written is made anew when the shell asks for it.
func TestAViewIsMadeAgain(t *testing.T) {
	b := newBench(t)
	folds := 0
	for _, effect := range b.keepers["a"].Do(CompactAgain{}, b.now) {
		if _, ok := effect.(machine.Compact); ok {
			folds++
		}
	}
	if folds != 1 {
		t.Fatalf("%d views", folds)
	}
}
