// Package batchstore is the state machine of a store daemon (docs/DESIGN.md §6). A store
// is the primary or a replica of the replication groups of some shards. As a primary it
// accepts batches, has their items run, gives each result a position, and serves reads;
// it announces its persisted-up-to position to the reading daemons itself.
//
// Inputs are commands (Call, Message, Persisted, UpdateReceived, Tick, …), each with the
// time; outputs are effects (machine.Effect), in an order that depends on the inputs only.
// The machine does no I/O and reads no clock.
//
// Invariants, and where they are kept:
//   - A batch is acknowledged, and its items run, only once its entry is durable on every
//     member of the shard's group (Store.submit, Store.Confirmed).
//   - A result gets its position when its entry is appended (Store.listResult), and the
//     persisted-up-to position passes it once that entry is durable (Store.Confirmed,
//     positionTracker).
//   - An item's result is listed once (shard.ListResult).
//   - Calls are served only as the primary under a valid lease (Store.requireServing), and
//     reads only at the epoch that the reader knows (Store.requireServingAtEpoch).
//
// A Store has no lock: one goroutine, the daemon's event loop, makes all calls.
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
	// BadRecord is the error of the last record that could not be read, from the disk, a
	// peer or the archive; nil without one.
	BadRecord error
	// OnDamage, if set, is called with the error when an archived batch can't be read.
	OnDamage func(error)

	settings Settings
	self     Self

	identity   writerIdentity
	clusterMap state.Map
	cores      []string // the cores' addresses
	groups     *replication.Groups
	shards     map[string]*localShard // by unit
	draining   bool

	pendingCalls pendingCalls
	submitted    byEntry[string] // IDs of batches whose items run once their entry is durable
	// unconfirmedReleases are the weights that entries have released which are not durable.
	unconfirmedReleases byEntry[releasedWeight]
	pendingResults      []pendingResult // they wait for a position, or for their group to serve
	positions           positionTracker
	announcer           announcer

	archiver archiver
	disk     diskMonitor
	// recordsSinceCompaction counts the Persist effects since the last Compact effect, and
	// bytesSinceCompaction the bodies of their records.
	recordsSinceCompaction, bytesSinceCompaction int
	due                                          schedule
}

// localShard is this daemon's state of a shard, in any role.
type localShard struct {
	index int
	state *shard.State
	// ownPositionAtTakeover is this writer's last position in the shard when this store began to serve it:
	// of an earlier ownership. Its results are durable, however far the persisted-up-to position is.
	ownPositionAtTakeover int64
}

// New makes a store from the records that were read back from its disk. Whether one could
// not be read is told by BadRecord.
func New(self Self, settings Settings, records []machine.Record, archive Archive) *Store {
	s := &Store{
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

// replay applies the records and returns up to where positions are reserved.
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

// Do applies a command and returns the effects.
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

// compactIfDue has a snapshot of all shards replace the records on the disk.
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

// ownRecords are the compacted records of the store itself, which belong to no shard.
func (s *Store) ownRecords() []machine.Record {
	reservedUpTo := max(s.positions.Next()-1, s.positions.ReservedUpTo())
	return []machine.Record{s.identity.record(), reservationRecord(reservedUpTo)}
}

// Groups is the replication groups of this store, for tests and operators.
func (s *Store) Groups() *replication.Groups { return s.groups }

// Unit is the name of a shard's replication group.
func Unit(shardIndex int) string { return fmt.Sprintf(unitShard+"%03d", shardIndex) }

func shardOfUnit(unit string) int {
	index, _ := strconv.Atoi(strings.TrimPrefix(unit, unitShard))
	return index
}

// shard is this daemon's state of the shard of a unit; it is empty when new.
func (s *Store) shard(unit string) *localShard {
	local := s.shards[unit]
	if local == nil {
		local = &localShard{index: shardOfUnit(unit), state: shard.New()}
		s.shards[unit] = local
	}
	return local
}
