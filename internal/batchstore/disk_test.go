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
			t.Fatalf("at %d the disk is stalled: %v", step.now, got)
		}
	}
	d.writeCompleted(1)
	d.writeCompleted(2)
	if got := d.oldestWrite(1011); got != 0 {
		t.Fatalf("the age of the oldest write is %d without any writes", got)
	}
	if !d.checkStalled(1011+probation-1) || d.checkStalled(1011+probation) {
		t.Fatal("the disk is not stalled for exactly the probation")
	}
}

// A store whose disk is full immediately reports itself as stalled to the cores, so that its shards move.
// It is no longer stalled once the disk has kept up for the probation.
func TestFullDiskIsReportedImmediately(t *testing.T) {
	s := newStore(Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 1})
	s.Do(CorePeers{Peers: []string{"c"}}, clock.Second)
	expect := func(when string, effects []machine.Effect, stalled bool) {
		t.Helper()
		heartbeat := lastHeartbeat(effects)
		if heartbeat == nil || heartbeat.Stalled != stalled {
			t.Fatalf("%s: the heartbeat is %+v", when, heartbeat)
		}
	}
	now := clock.Micros(2 * clock.Second)
	expect("when the disk becomes full", s.Do(diskFull, now), true)
	now += 60 * clock.Second
	expect("a minute later", s.Do(Tick{}, now), true)
	expect("when the disk becomes writable", s.Do(diskWritable, now), true)
	now += Defaults().DiskProbation + 1
	expect("after the probation", s.Do(Tick{}, now), false)
}

// While the disk is full, calls that require a write are rejected immediately and durable data can still be
// read. Once the disk is writable, the same calls are accepted.
func TestFullDiskRejectsWritesAndServesReads(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 1))
	c.do("a", diskFull)
	for _, request := range []any{forwardedBatch("two", 1), EndRequest{Batch: "one", By: accessByID, Timeout: clock.Second}} {
		c.mustReject(errs.NotReady, request)
	}
	if c.stores["a"].shard(Unit(0)).state.Batches["two"] != nil {
		t.Fatal("the rejected batch is in the state")
	}
	if status := c.mustCall(BatchStatusRequest{Batch: "one", By: accessByID}).(BatchStatus); status.Items != 1 {
		t.Fatalf("the status is %+v", status)
	}
	c.do("a", diskWritable)
	c.mustCall(forwardedBatch("two", 1))
}

// A replica whose disk is full neither applies nor acknowledges entries, because they could only wait in
// memory. The primary retransmits them, and they are applied once the disk is writable.
func TestReplicaWithFullDiskIgnoresEntries(t *testing.T) {
	c := newCluster(t)
	replica := c.stores["b"].groups.Group(Unit(0))
	before := replica.Seq
	c.do("b", diskFull)
	if response, err := c.call(forwardedBatch("one", 1)); response != nil || err != nil {
		t.Fatalf("replied %v %v while only the primary has the entry", response, err)
	}
	if replica.Seq != before {
		t.Fatal("the replica applied the entry")
	}
	c.do("b", diskWritable)
	c.advance(clock.Second)
	if c.replies[c.lastCall].Body == nil || replica.Seq == before {
		t.Fatalf("after the disk became writable, the reply is %+v", c.replies[c.lastCall])
	}
}

// A store whose disk is full ignores snapshots: it neither writes nor acknowledges them.
func TestFullDiskIgnoresSnapshots(t *testing.T) {
	s := newStore(Self{ID: "s", Zone: "z", Peer: "p", Incarnation: 1})
	s.Do(diskFull, clock.Second)
	chunk := replication.SnapshotChunk{Unit: Unit(0), Epoch: 3, Seq: 1, Count: 1, Parts: shard.New().LocalParts()}
	for _, effect := range s.Do(Message{From: "o", Body: chunk}, 2*clock.Second) {
		switch effect.(type) {
		case machine.Persist, machine.Send:
			t.Fatalf("the snapshot has the effect %T", effect)
		}
	}
}

// A compaction that could not be written is repeated when the event loop requests it.
func TestFailedCompactionIsRetried(t *testing.T) {
	c := newCluster(t)
	compactions := 0
	for _, effect := range c.stores["a"].Do(CompactAgain{}, c.now) {
		if _, ok := effect.(machine.Compact); ok {
			compactions++
		}
	}
	if compactions != 1 {
		t.Fatalf("%d compactions, want 1", compactions)
	}
}
