package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file implements the state machine that the replication groups of a store replicate.
var _ replication.StateMachine = (*Store)(nil)

// Snapshot returns the complete state of a shard, for other members of the group.
func (s *Store) Snapshot(unit string) replication.Snapshot {
	return s.shard(unit).state.Snapshot(s.readArchivedEncoded)
}

// LocalSnapshot returns the state of a shard for this daemon's own disk. It refers to the archive files
// instead of including their content.
func (s *Store) LocalSnapshot(unit string) [][]byte { return s.shard(unit).state.LocalParts() }

// Install replaces the state of a shard by another member's snapshot and returns the parts to persist
// locally. Finished batches are written to the archive before the parts that refer to it.
func (s *Store) Install(unit string, parts [][]byte) [][]byte {
	s.Restore(unit, parts)
	installed := s.shard(unit).state
	s.archiveInstalled(installed)
	return installed.LocalParts()
}

// Restore replaces the state of a shard by a snapshot. Without parts the new state is empty.
func (s *Store) Restore(unit string, parts [][]byte) {
	restored, err := shard.Restore(parts)
	if err != nil {
		s.BadRecord = err
		return
	}
	s.shard(unit).state = restored
}

// ApplyEntry applies an entry at a replica, or an entry that was read from the disk.
func (s *Store) ApplyEntry(unit string, data []byte) {
	entry, err := shard.Decode(data)
	if err != nil {
		s.BadRecord = err
		return
	}
	entry.Apply(s.shard(unit).state)
}

// appendEntry applies an entry at the primary and appends it to the group's log. The caller must have
// checked that the group serves. The entry is durable once Confirmed is called with its sequence
// number.
func (s *Store) appendEntry(unit string, entry shard.Entry, now clock.Micros) (seq uint64) {
	data := shard.Encode(entry)
	release := s.weightReleasedBy(entry, s.shard(unit).state)
	entry.Apply(s.shard(unit).state)
	seq, _ = s.groups.Append(unit, data, now)
	if release.weight > 0 {
		s.unconfirmedReleases.put(unit, seq, release)
	}
	return seq
}

// Confirmed is called on the primary once an entry is durable on every member of the group.
// It finishes the entry's position, so that the persisted-up-to position can advance; starts the items
// of a submitted batch; and answers the calls that wait for the entry.
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

// GroupReady notifies the cores that every member has the state of a new epoch.
func (s *Store) GroupReady(_ string, _ uint64, now clock.Micros) { s.sendHeartbeats(now) }

// Deposed is called once this store is no longer the primary of an epoch. The next primary decides
// whether an entry that was not durable is part of the shard. The caller of such an entry is therefore
// told that the outcome is unknown, and the entry's position stays unfinished until a primary of a later
// epoch serves the shard.
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
