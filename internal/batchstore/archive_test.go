package batchstore

import (
	"slices"
	"testing"

	"tuliprudder/internal/clock"
)

func TestUnusedArchiveFilesAreReturnedOnce(t *testing.T) {
	a := newArchiver(newMemoryArchive())
	a.files = map[uint64]bool{1: true, 2: true, 3: true}
	if got := a.takeUnused(map[uint64]bool{2: true, 4: true}); !slices.Equal(got, []uint64{1, 3}) {
		t.Fatalf("the unused files are %v, want 1 and 3", got)
	}
	if got := a.takeUnused(map[uint64]bool{4: true}); !slices.Equal(got, []uint64{2}) {
		t.Fatalf("the unused files are %v, want 2", got)
	}
	if got := a.takeUnused(map[uint64]bool{4: true}); len(got) != 0 {
		t.Fatalf("the unused files are %v, want none", got)
	}
}

// A batch is removed from memory once its archive file is durable, and not before.
func TestBatchLeavesMemoryOnceItsArchiveIsDurable(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 1))
	c.do("a", finished("one", 0))
	c.delayed = true
	c.advance(3 * clock.Second)
	batch := c.stores["a"].shard(Unit(0)).state.Batches["one"]
	if batch.Archived != nil || !batch.IsBeingArchived() {
		t.Fatalf("while the archive file is being written, the batch is %+v", batch)
	}
	c.executeDelayed()
	if batch.Archived == nil || batch.IsBeingArchived() || len(batch.Results) != 0 {
		t.Fatalf("after the archive file became durable, the batch is %+v", batch)
	}
}

// An archived batch that can't be read is reported, and recorded in BadRecord.
func TestUnreadableArchiveIsReported(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 1))
	c.do("a", finished("one", 0))
	c.advance(3 * clock.Second)
	var damage error
	c.stores["a"].OnDamage = func(err error) { damage = err }
	clear(c.archives["a"].files)
	c.mustCall(BatchStatusRequest{Batch: "one", Operator: true})
	if damage == nil || c.stores["a"].BadRecord == nil {
		t.Fatal("the read error was not reported")
	}
}
