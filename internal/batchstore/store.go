// Package batchstore implements the state machine of a store daemon (docs/DESIGN.md §6). A store
// is the primary or a replica of the replication groups of some shards. As a primary it
// accepts batches, emits tasks that run their items, assigns a position to each result, and serves
// reads. It announces its persisted-up-to position to the reading daemons.
//
// Its inputs are commands (Call, Message, Persisted, UpdateReceived, Tick, …), each with the
// current time. Its outputs are effects (machine.Effect), in an order that depends only on the
// inputs. The state machine writes no files, uses no network and reads no clock; it reads only the
// archive files (Archive).
//
// Invariants, and where they are enforced:
//   - A batch is acknowledged, and its items run, only once its entry is durable on every
//     member of the shard's group (Store.submit, Store.Confirmed).
//   - A result is assigned its position when its entry is appended (Store.listResult), and the
//     persisted-up-to position advances past it only once that entry is durable
//     (Store.Confirmed, positionTracker).
//   - An item has at most one result in the list (shard.ListResult).
//   - Calls are served only by the primary under a valid lease (Store.requireServing), and
//     reads only at the reader's epoch (Store.requireServingAtEpoch).
//
// A Store is not safe for concurrent use: all calls are made by one goroutine, the daemon's event loop.
package batchstore

import (
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Store is the state machine of a store daemon.
type Store struct {
	machine.Effects
	Counters
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults
	// BadRecord is the error of the last record from the disk, a peer or the archive that could
	// not be read; nil if there is none.
	BadRecord error
	// OnDamage, if set, is called with the error when an archived batch can't be read.
	OnDamage func(error)
	// AccountOf returns the account of a batch; default: (*shard.Batch).Account.
	AccountOf shard.AccountOf

	settings Settings
	self     Self

	identity   writerIdentity
	clusterMap state.Map
	cores      []string // the cores' addresses
	groups     *replication.Groups
	shards     map[string]*localShard // by unit
	draining   bool

	pendingCalls pendingCalls
	submitted    byEntry[string] // IDs of batches whose items start once their entry is durable
	// unconfirmedReleases has the weights released by entries that are not durable yet.
	unconfirmedReleases byEntry[releasedWeight]
	pendingResults      []pendingResult // waiting for a position, or for their group to serve
	positions           positionTracker
	announcer           announcer

	archiver archiver
	disk     diskMonitor
	// recordsSinceCompaction is the number of Persist effects since the last Compact effect, and
	// bytesSinceCompaction the total size of the bodies of their records.
	recordsSinceCompaction, bytesSinceCompaction int
	due                                          schedule
}

// localShard is this daemon's state of a shard, in any role.
type localShard struct {
	index int
	state *shard.State
	// ownPositionAtTakeover is this writer's last position in the shard from an earlier ownership, taken
	// when this store started to serve the shard; 0 if there is none. Results up to it are durable even
	// if the persisted-up-to position is lower.
	ownPositionAtTakeover int64
}

// New creates a store from the records that were read from its disk. BadRecord is set if one of them
// could not be decoded.
func New(self Self, settings Settings, records []machine.Record, archive Archive) *Store {
	s := &Store{
		AccountOf:           (*shard.Batch).Account,
		settings:            settings,
		self:                self,
		shards:              map[string]*localShard{},
		pendingCalls:        newPendingCalls(),
		submitted:           byEntry[string]{},
		unconfirmedReleases: byEntry[releasedWeight]{},
		archiver:            newArchiver(archive),
		disk:                newDiskMonitor(settings.DiskTimeout, settings.DiskProbation),
	}
	s.groups = replication.NewGroups(&s.Effects, s)
	s.positions = newPositionTracker(s.replay(records))
	s.deleteUnusedArchives()
	return s
}

// replay applies the records and returns the highest reserved position.
func (s *Store) replay(records []machine.Record) (reservedUpTo int64) {
	for _, record := range records {
		switch {
		case record.Unit == unitSelf && record.Kind == kindReserved:
			reservedUpTo = max(reservedUpTo, int64(record.Seq))
		case record.Unit == unitSelf && record.Kind == kindWriter:
			s.identity.replay(record)
		default:
			s.groups.Recover(record)
		}
	}
	return reservedUpTo
}

// Command is an input of the store.
type Command = machine.Command[*Store]

// Do applies a command and returns its effects.
func (s *Store) Do(command Command, now clock.Micros) []machine.Effect {
	command.Apply(s, now)
	s.compactIfDue()
	effects := s.Drain()
	for _, effect := range effects {
		if write, ok := effect.(machine.Persist); ok {
			s.countPersist(write)
			s.disk.writeStarted(write.Token, now)
		}
	}
	return effects
}

// compactIfDue emits, if a compaction is due, the effect that replaces the records on disk by a snapshot
// of all shards.
func (s *Store) compactIfDue() {
	isDue := s.recordsSinceCompaction >= s.settings.CompactAfter || s.bytesSinceCompaction >= s.settings.CompactAfterBytes
	if !isDue {
		return
	}
	s.recordsSinceCompaction = 0
	s.bytesSinceCompaction = 0
	s.Emit(machine.Compact{Records: append(s.ownRecords(), s.groups.CompactedRecords()...)})
}

func (s *Store) countPersist(write machine.Persist) {
	s.recordsSinceCompaction++
	for _, record := range write.Records {
		s.bytesSinceCompaction += len(record.Body)
	}
}

// ownRecords returns the compacted records of the store itself, which belong to no shard.
func (s *Store) ownRecords() []machine.Record {
	reservedUpTo := max(s.positions.Next()-1, s.positions.ReservedUpTo())
	return []machine.Record{s.identity.record(), reservationRecord(reservedUpTo)}
}

// Groups returns the replication groups of this store, for tests and operators.
func (s *Store) Groups() *replication.Groups { return s.groups }

// Unit returns the unit of a shard, which names its replication group.
func Unit(shardIndex int) string { return fmt.Sprintf(unitShard+"%03d", shardIndex) }

func shardOfUnit(unit string) int {
	index, _ := strconv.Atoi(strings.TrimPrefix(unit, unitShard))
	return index
}

// shard returns this daemon's state of the shard of a unit. It is created empty if it does not exist.
func (s *Store) shard(unit string) *localShard {
	local := s.shards[unit]
	if local == nil {
		local = &localShard{index: shardOfUnit(unit), state: shard.New()}
		s.shards[unit] = local
	}
	return local
}
