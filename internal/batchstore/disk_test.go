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
var diskWritable = DiskStateChanged{machine.DiskState{Writable: true}}

func TestSlowWriteStallsDiskUntilProbationEnds(t *testing.T) {
	const timeout, probation = 10, 100
	d := newDiskMonitor(timeout, probation)
	d.writeStarted(1, 1000)
	d.writeStarted(2, 1005)
	for _, step := range []struct {
		now     clock.Micros
		stalled bool
	}{{1000 + timeout, false}, {1000 + timeout + 1, true}} {
		if got := d.checkStalled(step.now); got != step.stalled {
			t.Fatalf("at %d: stalled %v", step.now, got)
		}
	}
	d.writeCompleted(1)
	d.writeCompleted(2)
	if got := d.oldestWrite(1011); got != 0 {
		t.Fatalf("without writes the oldest is %d old", got)
	}
	if !d.checkStalled(1011+probation-1) || d.checkStalled(1011+probation) {
		t.Fatal("the probation does not end in time")
	}
}

// A store whose disk is full tells the cores at once that its shards should move, and takes
// shards again once the disk has kept up for the probation.
func TestFullDiskIsReportedImmediately(t *testing.T) {
	s := newStore(Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 1})
	s.Do(CorePeers{Peers: []string{"c"}}, clock.Second)
	expect := func(when string, effects []machine.Effect, stalled bool) {
		t.Helper()
		heartbeat := lastHeartbeat(effects)
		if heartbeat == nil || heartbeat.Stalled != stalled {
			t.Fatalf("%s the heartbeat is %+v", when, heartbeat)
		}
	}
	now := clock.Micros(2 * clock.Second)
	expect("at once", s.Do(diskFull, now), true)
	now += 60 * clock.Second
	expect("a minute later", s.Do(Tick{}, now), true)
	expect("as soon as the disk is writable", s.Do(diskWritable, now), true)
	now += Defaults().DiskProbation + 1
	expect("after the probation", s.Do(Tick{}, now), false)
}

// What would have to be written is rejected at once, and what is durable is still read;
// once the disk is writable the same request is accepted.
func TestFullDiskRejectsWritesAndServesReads(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 1))
	c.do("a", diskFull)
	for _, request := range []any{forwardedBatch("two", 1), EndRequest{Batch: "one", By: accessByID, Timeout: clock.Second}} {
		c.mustReject(errs.NotReady, request)
	}
	if c.stores["a"].shard(Unit(0)).state.Batches["two"] != nil {
		t.Fatal("a batch that was rejected is there")
	}
	if status := c.mustCall(BatchStatusRequest{Batch: "one", By: accessByID}).(BatchStatus); status.Items != 1 {
		t.Fatalf("the status is %+v", status)
	}
	c.do("a", diskWritable)
	c.mustCall(forwardedBatch("two", 1))
}

// A replica whose disk is full takes no entry and acknowledges none: it would only wait in
// memory. The primary repeats it, and it is taken once the disk is writable.
func TestReplicaWithFullDiskIgnoresEntries(t *testing.T) {
	c := newCluster(t)
	replica := c.stores["b"].groups.Group(Unit(0))
	before := replica.Seq
	c.do("b", diskFull)
	if response, err := c.call(forwardedBatch("one", 1)); response != nil || err != nil {
		t.Fatalf("replied %v %v while one member has it", response, err)
	}
	if replica.Seq != before {
		t.Fatal("the entry was taken")
	}
	c.do("b", diskWritable)
	c.advance(clock.Second)
	if c.replies[c.lastCall].Body == nil || replica.Seq == before {
		t.Fatalf("once the disk is writable: %+v", c.replies[c.lastCall])
	}
}

// A snapshot is not taken either.
func TestFullDiskIgnoresSnapshots(t *testing.T) {
	s := newStore(Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 1})
	s.Do(diskFull, clock.Second)
	chunk := replication.SnapshotChunk{Unit: Unit(0), Epoch: 3, Seq: 1, Count: 1, Parts: shard.New().LocalParts()}
	for _, effect := range s.Do(Message{From: "o", Body: chunk}, 2*clock.Second) {
		switch effect.(type) {
		case machine.Persist, machine.Send:
			t.Fatalf("it has the effect %T", effect)
		}
	}
}

// A compaction that could not be written is made anew when the event loop asks for it.
func TestFailedCompactionIsRetried(t *testing.T) {
	c := newCluster(t)
	compactions := 0
	for _, effect := range c.stores["a"].Do(CompactAgain{}, c.now) {
		if _, ok := effect.(machine.Compact); ok {
			compactions++
		}
	}
	if compactions != 1 {
		t.Fatalf("%d compactions", compactions)
	}
}
