package batchstore

import (
	"fmt"
	"strings"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
)

// These tests check that a store's memory, and the size of the records that its next start reads, depend
// on its unfinished work and not on the number of finished batches (docs/DESIGN.md §6.7).

// outputSize is the size of an item's output in these tests, in bytes. It is far larger than the rest of
// a batch.
const outputSize = 64 << 10

// finishBatches submits batches of one item each to "a" and finishes them.
func (c *cluster) finishBatches(count int) {
	c.t.Helper()
	for i := range count {
		id := fmt.Sprint("batch", i)
		c.mustCall(forwardedBatch(id, 1))
		c.do("a", ItemFinished{Batch: id, Status: shard.StatusOK, Output: outputOf(id)})
	}
}

// outputOf returns the output of the item of a batch.
func outputOf(batch string) string { return strings.Repeat(batch+" ", outputSize/(len(batch)+1)) }

// assign makes "a" the primary of the shard under an epoch, with one replica.
func (c *cluster) assign(epoch uint64, replica string, complete bool) {
	assignment := replication.Assignment{
		Epoch:    epoch,
		Primary:  replication.Member{ID: "a", Incarnation: 1},
		Replicas: []replication.Member{{ID: replica, Incarnation: 1}},
		Complete: complete,
	}
	stores := map[string]state.Store{}
	for id := range c.stores {
		stores[id] = state.Store{Peer: id}
	}
	c.mapSeq++
	for id := range c.stores {
		c.do(id, mapUpdate(c.mapSeq, stores, assignment))
	}
}

// addStore adds an empty, registered store.
func (c *cluster) addStore(id string, writer int) {
	c.archives[id] = newMemoryArchive()
	c.stores[id] = New(Self{ID: id, Zone: id, Peer: id, Incarnation: 1}, Defaults(), nil, c.archives[id])
	c.do(id, Message{Body: registration.Registered{Fleet: "f", Writer: writer}})
}

// Finished batches are archived and removed from memory as fast as they finish, on the primary and on its
// replica.
func TestFinishedBatchesAreMovedOutOfMemory(t *testing.T) {
	c := newCluster(t)
	const batches = 100
	c.finishBatches(batches)
	c.advance(3 * resumeInterval)
	for id, store := range c.stores {
		if left := store.FinishedBytesInMemory(); left > 0 {
			t.Errorf("store %s still has %d KiB of the outputs of %d finished batches in memory after %d s", id, left>>10, batches, 3*resumeInterval/clock.Second)
		}
	}
}

// A store that receives a shard as a snapshot has its finished batches in the archive, not in memory and
// not in the records that its next start reads.
func TestInstalledSnapshotArchivesFinishedBatches(t *testing.T) {
	c := newCluster(t)
	const batches = 60
	c.finishBatches(batches)
	c.advance(60 * clock.Second)
	c.addStore("c", 3)
	c.assign(2, "c", false)
	c.advance(clock.Second)
	c.assign(2, "c", true)
	c.advance(clock.Second)
	filled := c.stores["c"]
	if got := filled.Groups().Group(Unit(0)).Role; got != replication.Replicating {
		t.Fatalf("the store has the role %v, want replicating", got)
	}
	if left := filled.FinishedBytesInMemory(); left > 0 {
		t.Errorf("%d KiB of outputs are in memory", left>>10)
	}
	if got := c.persistedBytes["c"]; got > batches*outputSize/10 {
		t.Errorf("the records that the next start reads have %d KiB, with %d KiB of outputs in all", got>>10, batches*outputSize>>10)
	}
	known := filled.shard(Unit(0)).state.Batches
	if len(known) != batches {
		t.Fatalf("the store has %d batches, want %d", len(known), batches)
	}
	for id, batch := range known {
		if batch.Archived == nil {
			t.Fatalf("%s is not archived", id)
		}
		results := filled.readArchived(batch).Results
		if len(results) != 1 || results[0].Output != outputOf(id) {
			t.Fatalf("%s was read from the archive with %d results, or another output", id, len(results))
		}
	}
}

// The archived part of a snapshot is read only as it is sent. A primary whose replica has the same state
// reads nothing; one whose replica does not answer reads no more than it may send unacknowledged.
func TestSnapshotReadsArchiveOnlyWhenSent(t *testing.T) {
	c := newCluster(t)
	c.finishBatches(60)
	c.advance(60 * clock.Second)
	c.archives["a"].reads = 0
	c.assign(2, "b", false)
	c.advance(clock.Second)
	if got := c.archives["a"].reads; got > 0 {
		t.Errorf("%d archived batches were read for a replica that has them", got)
	}
	c.addStore("c", 3)
	c.unreachable = "c"
	c.assign(3, "c", false)
	c.advance(clock.Second)
	const chunk = 256 << 10
	if got, held := c.archives["a"].reads, c.stores["a"].Groups().SnapshotBytes(); got > 2*chunk/outputSize || held > chunk {
		t.Errorf("for a replica that does not answer, %d archived batches were read and %d KiB are kept in memory", got, held>>10)
	}
}

// A compaction is due by the size of the records even if they are few: the next start reads all records
// since the last compaction into memory.
func TestLargeRecordsTriggerCompaction(t *testing.T) {
	c := newCluster(t)
	store := c.stores["a"]
	const bodySize = 1 << 20
	bound := store.settings.CompactAfterBytes
	for i := range 3 * bound / bodySize {
		request := forwardedBatch(fmt.Sprint("large", i), 1)
		request.Batch.Items[0].Request.Body = make([]byte, bodySize)
		c.mustCall(request)
		if got := c.recordBytes["a"]; got > bound+2*bodySize {
			t.Fatalf("%d MiB of records since the last compaction, after %d batches", got>>20, i+1)
		}
	}
	if c.compactions["a"] == 0 {
		t.Error("there was no compaction")
	}
}
