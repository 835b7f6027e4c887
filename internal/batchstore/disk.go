package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is what a store does while its disk takes no writes (DESIGN §6.7): its
// shards pass on, it takes nothing new, and what it has decided waits for the disk.

// DiskStateChanged is the shell's word on the disk.
type DiskStateChanged struct{ State machine.DiskState }

// Apply notes it, and tells the cores at once.
func (d DiskStateChanged) Apply(k *Store, now clock.Micros) {
	changed := d.State.Writable != k.disk.Writable
	k.disk = d.State
	if !changed {
		return
	}
	if d.State.Writable {
		k.Emit(machine.LogEvent{Event: DiskWritable{ResumesAfterUS: k.set.DiskProbation}})
	} else {
		k.Emit(machine.LogEvent{Event: DiskUnwritable{Reason: d.State.Reason, OwnedShards: k.OwnedShards()}})
	}
	k.sendHeartbeats(now)
}

// CompactAgain asks for a view of now: the last one could not be written.
type CompactAgain struct{}

// Apply has the view made with this step's effects.
func (CompactAgain) Apply(k *Store, _ clock.Micros) { k.recordsSinceCompaction = k.set.CompactAfter }

// OldestWrite is how long the oldest write has been on its way to the disk.
func (k *Store) OldestWrite(now clock.Micros) clock.Micros {
	oldest := clock.Micros(0)
	for _, since := range k.writesInFlight {
		oldest = max(oldest, now-since)
	}
	return oldest
}

// IsDiskStalled tells whether the disk holds writes back or turns them down, or did so a
// moment ago: its shards pass on until it has kept up for a while.
func (k *Store) IsDiskStalled(now clock.Micros) bool {
	if !k.disk.Writable || k.OldestWrite(now) > k.set.DiskTimeout {
		k.stalledAt = now
	}
	return k.stalledAt > 0 && now-k.stalledAt < k.set.DiskProbation
}

// ignoresWhileUnwritable tells whether a message is passed over while the disk takes no writes:
// it could only wait in memory, unacknowledged, and its sender repeats it.
func (k *Store) ignoresWhileUnwritable(body any) bool {
	if k.disk.Writable {
		return false
	}
	switch body.(type) {
	case replication.SnapshotChunk, replication.Append:
		return true
	}
	return false
}

// rejectsWhileUnwritable refuses what would have to be written; nothing of it was.
func (k *Store) rejectsWhileUnwritable(c Call) bool {
	if k.disk.Writable {
		return false
	}
	switch c.Body.(type) {
	case SubmitRequest, EndRequest, ClaimRequest, CompleteClaimRequest:
		k.replyError(c.Number, errs.NewWithRetry(errs.NotReady, clock.Second, "ask again: the slot is passing to another keeper", "store %s can't write: %s", k.self.ID, k.disk.Reason))
		return true
	}
	return false
}
