// Package batchstore is the machine of a store daemon (DESIGN §6): it holds shards
// as owner or backup, gives positions to results, and announces its
// persisted-up-to position to the readers itself.
package batchstore

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/internal/batchstore/positions"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Settings of a store; the defaults are ours.
type Settings struct {
	MaxItems       int          // items that wait, over all its shards
	CompactAfter   int          // stores between two views on disk
	RetainFinished clock.Micros // how long a finished batch stays readable
	HeartbeatEvery clock.Micros
	AnnounceEvery  clock.Micros
	DiskTimeout    clock.Micros // a write that takes longer means a stalled disk
	DiskProbation  clock.Micros // how long it has to keep up before it counts again
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MaxItems: 50_000, CompactAfter: 2000, RetainFinished: 48 * 3600 * clock.Second,
		HeartbeatEvery: 300 * clock.Millisecond, AnnounceEvery: 15 * clock.Millisecond,
		DiskTimeout: 1500 * clock.Millisecond, DiskProbation: 5 * clock.Second}
}

// Self says who the store is.
type Self struct {
	ID, Zone, Peer string
	Incarnation    uint64
	Name           string // the operator's name of the machine; "": none
}

// RunItem is one item to be run on a server.
type RunItem struct {
	Shard                int
	Epoch                uint64
	Batch                string
	Item                 int
	Tenant               string
	Route                string
	ItemID               string
	Input                string
	Request              *shard.Request // passed on unchanged; nil where there is an input
	SubmittedAt          clock.Micros
	ConfigurationVersion uint64 // version of the configuration it was handed in under
}

// CancelItems tells the path to drop what it still has of a batch, or of a shard.
type CancelItems struct {
	Batch string
	Shard int // -1 when a batch is meant
}

type shardState struct {
	shard int
	state *shard.State
}

type pendingCall struct {
	call     uint64
	deadline clock.Micros
	answer   any
}

type orphanedPositions struct {
	shard     int
	epoch     uint64
	positions []int64
}

type pendingResult struct {
	shard  int
	result shard.Result
}

// Store is the machine.
type Store struct {
	machine.Effects
	set                    Settings
	self                   Self
	groups                 *replication.Groups
	shards                 map[string]*shardState
	fleet                  string
	writer                 int
	positions              *positions.Allocator
	reserving              bool // a reservation is being written
	clusterMap             state.Map
	cores                  []string
	pendingCalls           map[string]map[uint64][]pendingCall
	assignedPositions      map[string]map[uint64]int64 // unit, entry -> position
	submittedBatches       map[string]map[uint64]string
	orphanedPositions      []orphanedPositions
	formerShards           []formerShard   // shards that passed on, counted for a while
	pendingResults         []pendingResult // results that wait for a position or a serving pair
	announcementSeq        uint64
	announceNeeded         bool
	recordsSinceCompaction int
	writesInFlight         map[uint64]clock.Micros // on their way to the disk, since when
	stalledAt              clock.Micros            // the disk was last seen stalled
	disk                   machine.DiskState
	next                   struct{ sendHeartbeats, announce, forgetExpired, resumeItems clock.Micros }
	draining               bool
	// Counters for the operators.
	ResultsListed, BatchesSubmitted, UnknownOutcomes, Takeovers, EntriesConfirmed, Reads int64
	// SkipDurability is a fault planted by tests: positions count as finished
	// before they are durable.
	SkipDurability bool
	// RejectAfterWrite is a fault planted by tests: a batch is turned away after its
	// entry was written.
	RejectAfterWrite bool
	// SkipLease is a fault planted by tests: asks are answered without a lease.
	SkipLease       bool
	BadRecord       error
	archive         Archive
	lastArchiveFile uint64 // last file put on the shelf
	archiveFiles    map[uint64]bool
	// BatchesArchived counts batches put away; Damaged is told of one that can't be read.
	BatchesArchived int64
	OnDamage        func(error)
}

// Unit is the name of a shard's pair.
func Unit(shard int) string { return fmt.Sprintf(unitShard+"%03d", shard) }

func shardOfUnit(unit string) int {
	shard, _ := strconv.Atoi(strings.TrimPrefix(unit, unitShard))
	return shard
}

type registration struct {
	Fleet  string `json:"fleet"`
	Writer int    `json:"writer"`
}

// New makes a store from what was read back from its disk.
func New(self Self, set Settings, records []machine.Record, shelf Archive) *Store {
	k := &Store{set: set, self: self, archive: shelf, lastArchiveFile: shelf.LastFile(), archiveFiles: map[uint64]bool{}, shards: map[string]*shardState{},
		pendingCalls: map[string]map[uint64][]pendingCall{}, assignedPositions: map[string]map[uint64]int64{},
		submittedBatches: map[string]map[uint64]string{}, writesInFlight: map[uint64]clock.Micros{}, disk: machine.DiskState{Writable: true}}
	k.groups = replication.NewGroups(&k.Effects, k)
	reserved := int64(0)
	for _, record := range records {
		switch {
		case record.Unit == unitSelf && record.Kind == kindReserved:
			reserved = max(reserved, int64(record.Seq))
		case record.Unit == unitSelf && record.Kind == kindWriter:
			var who registration
			if json.Unmarshal(record.Body, &who) == nil {
				k.fleet, k.writer = who.Fleet, who.Writer
			}
		default:
			k.groups.Recover(record)
		}
	}
	k.positions = positions.New(reserved)
	k.deleteUnusedArchives(shelf.Files())
	return k
}

// Command is an input of the store.
type Command = machine.Command[*Store]

// Do applies a command and hands over the effects.
func (k *Store) Do(command Command, now clock.Micros) []machine.Effect {
	command.Apply(k, now)
	if k.recordsSinceCompaction >= k.set.CompactAfter {
		k.recordsSinceCompaction = 0
		k.Emit(machine.Compact{Records: append(k.ownRecords(), k.groups.CompactedRecords()...)})
	}
	out := k.Drain()
	for _, effect := range out {
		if store, ok := effect.(machine.Persist); ok {
			k.recordsSinceCompaction++
			k.writesInFlight[store.Token] = now
		}
	}
	return out
}

func (k *Store) ownRecords() []machine.Record {
	body, _ := json.Marshal(registration{k.fleet, k.writer})
	return []machine.Record{{Unit: unitSelf, Kind: kindWriter, Body: body},
		{Unit: unitSelf, Kind: kindReserved, Seq: uint64(max(k.positions.Next()-1, k.reservedUpTo()))}}
}

func (k *Store) reservedUpTo() int64 { return k.positions.ReservedUpTo() }

// ClusterMap is the map of the stores as this one knows it.
func (k *Store) ClusterMap() state.Map { return k.clusterMap }

// Groups is the replication groups of this store, for tests and operators.
func (k *Store) Groups() *replication.Groups { return k.groups }

// Writer is the store's writer id; 0 before the core gave it one.
func (k *Store) Writer() int { return k.writer }

// Fleet is the fleet the store belongs to.
func (k *Store) Fleet() string { return k.fleet }

// MayStart tells, right before a start on a server, whether this store may
// start work of a batch: epoch, fresh lease, and the batch still open.
func (k *Store) MayStart(shardIndex int, bundle string, item int, now clock.Micros) bool {
	group := k.groups.Group(Unit(shardIndex))
	if group.Role != replication.Serving || now >= group.LeaseUntil() {
		return false
	}
	batch := k.shard(Unit(shardIndex)).state.Batches[bundle]
	return batch != nil && batch.State == shard.Open && !batch.HasResult(item)
}

func (k *Store) shard(unit string) *shardState {
	p := k.shards[unit]
	if p == nil {
		p = &shardState{shard: shardOfUnit(unit), state: shard.New()}
		k.shards[unit] = p
	}
	return p
}
