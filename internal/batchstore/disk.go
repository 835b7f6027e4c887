package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is what a store does while its disk takes no writes, or takes them slowly
// (docs/DESIGN.md §6.7): its shards move to other stores, it accepts nothing new, and what it
// has written already waits for the disk.

// diskMonitor tells from the writes whether the disk is stalled.
type diskMonitor struct {
	timeout   clock.Micros // a write that takes longer means a stalled disk
	probation clock.Micros // how long the disk has to keep up before it no longer counts as stalled
	state     machine.DiskState
	inFlight  map[uint64]clock.Micros // when each write that is not durable began, by its token
	stalledAt clock.Micros            // when the disk was last found stalled; 0: never
}

func newDiskMonitor(timeout, probation clock.Micros) diskMonitor {
	return diskMonitor{
		timeout:   timeout,
		probation: probation,
		state:     machine.DiskState{Writable: true},
		inFlight:  map[uint64]clock.Micros{},
	}
}

func (d *diskMonitor) writeStarted(writeToken uint64, now clock.Micros) {
	d.inFlight[writeToken] = now
}

func (d *diskMonitor) writeCompleted(writeToken uint64) { delete(d.inFlight, writeToken) }

// setState tells whether the disk began or ceased to take writes.
func (d *diskMonitor) setState(state machine.DiskState) (changed bool) {
	changed = state.Writable != d.state.Writable
	d.state = state
	return changed
}

// oldestWrite is the age of the oldest write that is not durable; 0 without one.
func (d *diskMonitor) oldestWrite(now clock.Micros) clock.Micros {
	oldest := clock.Micros(0)
	for _, since := range d.inFlight {
		oldest = max(oldest, now-since)
	}
	return oldest
}

// checkStalled tells whether the disk takes no writes or takes them too slowly, or did so
// less than the probation ago.
func (d *diskMonitor) checkStalled(now clock.Micros) bool {
	if !d.state.Writable || d.oldestWrite(now) > d.timeout {
		d.stalledAt = now
	}
	return d.stalledAt > 0 && now-d.stalledAt < d.probation
}

// OldestWrite is the age of the oldest write that is not durable, in microseconds.
func (s *Store) OldestWrite(now clock.Micros) clock.Micros { return s.disk.oldestWrite(now) }

// Persisted tells that the records of a Persist or Archive effect are durable.
type Persisted struct{ Token uint64 }

// Apply continues what waited for the write.
func (p Persisted) Apply(s *Store, now clock.Micros) {
	s.disk.writeCompleted(p.Token)
	s.groups.Persisted(p.Token, now)
	s.listPendingResults(now)
}

// DiskStateChanged tells whether the disk takes writes.
type DiskStateChanged struct{ State machine.DiskState }

// Apply tells the cores at once.
func (d DiskStateChanged) Apply(s *Store, now clock.Micros) {
	if !s.disk.setState(d.State) {
		return
	}
	if d.State.Writable {
		s.Emit(machine.LogEvent{Event: DiskWritable{ResumesAfterUS: s.settings.DiskProbation}})
	} else {
		s.Emit(machine.LogEvent{Event: DiskUnwritable{Reason: d.State.Reason, OwnedShards: s.OwnedShards()}})
	}
	s.sendHeartbeats(now)
}

// CompactAgain asks for another compaction: the last one could not be written.
type CompactAgain struct{}

// Apply has the compaction follow with the effects of this step.
func (CompactAgain) Apply(s *Store, _ clock.Micros) {
	s.recordsSinceCompaction = s.settings.CompactAfter
}

// ignoresWhileUnwritable tells whether a message is ignored because the disk takes no
// writes: it could only wait in memory, unacknowledged, and its sender repeats it.
func (s *Store) ignoresWhileUnwritable(message any) bool {
	if s.disk.state.Writable {
		return false
	}
	switch message.(type) {
	case replication.SnapshotChunk, replication.Append:
		return true
	}
	return false
}

// rejectsWhileUnwritable rejects a call that would have to write while the disk takes no
// writes. Nothing of it was written.
func (s *Store) rejectsWhileUnwritable(call Call) bool {
	if s.disk.state.Writable {
		return false
	}
	switch call.Body.(type) {
	case SubmitRequest, EndRequest, ClaimRequest, CompleteClaimRequest:
		s.replyError(call.Number, errUnwritable(s.self.ID, s.disk.state.Reason))
		return true
	}
	return false
}
