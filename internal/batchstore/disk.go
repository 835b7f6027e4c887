package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file handles a disk that is not writable or is slow (docs/DESIGN.md §6.7). The store's shards
// move to other stores. While the disk is not writable the store also rejects new writes; writes that
// are already issued wait for the disk.

// diskMonitor detects a stalled disk from the duration of its writes.
type diskMonitor struct {
	timeout   clock.Micros // a write that takes longer marks the disk as stalled
	probation clock.Micros // how long the disk has to keep up before it is no longer considered stalled
	state     machine.DiskState
	inFlight  map[uint64]clock.Micros // start of each write that is not durable yet, by token
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

// setState records the state of the disk and reports whether it became writable or unwritable.
func (d *diskMonitor) setState(state machine.DiskState) (changed bool) {
	changed = state.Writable != d.state.Writable
	d.state = state
	return changed
}

// oldestWrite returns the age of the oldest write that is not durable yet, or 0 if there is none.
func (d *diskMonitor) oldestWrite(now clock.Micros) clock.Micros {
	oldest := clock.Micros(0)
	for _, since := range d.inFlight {
		oldest = max(oldest, now-since)
	}
	return oldest
}

// checkStalled reports whether the disk is unwritable or too slow, or was so less than the probation
// ago.
func (d *diskMonitor) checkStalled(now clock.Micros) bool {
	if !d.state.Writable || d.oldestWrite(now) > d.timeout {
		d.stalledAt = now
	}
	return d.stalledAt > 0 && now-d.stalledAt < d.probation
}

// OldestWrite returns the age, in microseconds, of the oldest write that is not durable yet, or 0 if
// there is none.
func (s *Store) OldestWrite(now clock.Micros) clock.Micros { return s.disk.oldestWrite(now) }

// Persisted reports that the records of a Persist or Archive effect are durable.
type Persisted struct{ Token uint64 }

// Apply continues the work that waited for the write.
func (p Persisted) Apply(s *Store, now clock.Micros) {
	s.disk.writeCompleted(p.Token)
	s.groups.Persisted(p.Token, now)
	s.listPendingResults(now)
}

// DiskStateChanged reports whether the disk is writable.
type DiskStateChanged struct{ State machine.DiskState }

// Apply notifies the cores immediately if the disk became writable or unwritable.
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

// CompactAgain requests another compaction because the last one could not be written.
type CompactAgain struct{}

// Apply makes a compaction due, so that it is among the effects of the current command.
func (CompactAgain) Apply(s *Store, _ clock.Micros) {
	s.recordsSinceCompaction = s.settings.CompactAfter
}

// ignoresWhileUnwritable reports whether a message is ignored because the disk is not writable. It
// could only wait in memory, unacknowledged, and its sender retransmits it.
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

// rejectsWhileUnwritable rejects a call that requires a write while the disk is not writable, and
// reports whether it did. Nothing of a rejected call is written.
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
