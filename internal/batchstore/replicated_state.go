package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is the store as the state machine of its replication groups.
var _ replication.StateMachine = (*Store)(nil)

// Snapshot is the complete state of a shard, for other members of the group.
func (s *Store) Snapshot(unit string) replication.Snapshot {
	return s.shard(unit).state.Snapshot(s.readArchivedEncoded)
}

// LocalSnapshot is the state of a shard for this daemon's own disk: it refers to the archive.
func (s *Store) LocalSnapshot(unit string) [][]byte { return s.shard(unit).state.LocalParts() }

// Install replaces the state of a shard by another member's snapshot. Its finished batches are
// written to the archive before the parts that refer to it.
func (s *Store) Install(unit string, parts [][]byte) [][]byte {
	s.Restore(unit, parts)
	installed := s.shard(unit).state
	s.archiveInstalled(installed)
	return installed.LocalParts()
}

// Restore replaces the state of a shard by a snapshot; without parts it is empty then.
func (s *Store) Restore(unit string, parts [][]byte) {
	restored, err := shard.Restore(parts)
	if err != nil {
		s.BadRecord = err
		return
	}
	s.shard(unit).state = restored
}

// ApplyEntry applies an entry at a replica, or one that was read back from the disk.
func (s *Store) ApplyEntry(unit string, data []byte) {
	entry, err := shard.Decode(data)
	if err != nil {
		s.BadRecord = err
		return
	}
	entry.Apply(s.shard(unit).state)
}

// appendEntry applies an entry at the primary and appends it to the group's log; the caller
// has checked that the group serves. The entry is durable once Confirmed is called with its
// sequence number.
func (s *Store) appendEntry(unit string, entry shard.Entry, now clock.Micros) (seq uint64) {
	data := shard.Encode(entry)
	release := weightReleasedBy(entry, s.shard(unit).state)
	entry.Apply(s.shard(unit).state)
	seq, _ = s.groups.Append(unit, data, now)
	if release.weight > 0 {
		s.unconfirmedReleases.put(unit, seq, release)
	}
	return seq
}

// Confirmed is called at the primary once an entry is durable on every member of the group.
// Here a position is finished, which lets the persisted-up-to position advance; a batch that
// was submitted begins to run; and the calls that wait for the entry are answered.
func (s *Store) Confirmed(unit string, seq uint64, _ clock.Micros) {
	s.EntriesConfirmed++
	s.unconfirmedReleases.take(unit, seq)
	if s.positions.finishEntry(unit, seq) {
		s.announcer.requestPositionAnnouncement()
	}
	if batch, ok := s.submitted.take(unit, seq); ok {
		s.startItems(unit, batch)
	}
	for _, call := range s.pendingCalls.takeDurable(unit, seq) {
		s.reply(call.number, call.response)
	}
}

// GroupReady tells the cores that every member has the state of a new epoch.
func (s *Store) GroupReady(_ string, _ uint64, now clock.Micros) { s.sendHeartbeats(now) }

// Deposed is called once this store is no longer the primary of an epoch. Whether an entry
// that was not durable is part of the shard is the next primary's to decide: its caller is
// told that the outcome is unknown, and its position stays unfinished until then.
func (s *Store) Deposed(unit string, epoch uint64, _ clock.Micros) {
	for _, call := range s.pendingCalls.takeUnit(unit) {
		s.replyUnknownOutcome(call, "the shard moved to another store")
	}
	s.submitted.takeUnit(unit)
	s.unconfirmedReleases.takeUnit(unit)
	unfinished := s.positions.orphan(unit, epoch)
	shardIndex := shardOfUnit(unit)
	s.Emit(machine.Execute{Task: CancelItems{Shard: shardIndex}})
	s.Emit(machine.LogEvent{Event: ShardTransferred{Shard: shardIndex, UnfinishedPositions: unfinished}})
	s.announcer.requestShardAnnouncement()
}
