// Package store is the machine of a store daemon (DESIGN §6): it holds slots
// as owner or backup, gives positions to results, and announces its
// persisted-up-to position to the readers itself.
package store

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/positions"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/shard"
)

// Settings of a keeper; the defaults are ours.
type Settings struct {
	MostItems     int          // items that wait, over all its slots
	FoldAfter     int          // stores between two views on disk
	KeepDone      clock.Micros // how long a finished bundle stays readable
	BeatEvery     clock.Micros
	AnnounceEvery clock.Micros
	DiskPatience  clock.Micros // a write that takes longer means a stalled disk
	DiskProof     clock.Micros // how long it has to keep up before it counts again
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MostItems: 50_000, FoldAfter: 2000, KeepDone: 48 * 3600 * clock.Second,
		BeatEvery: 300 * clock.Millisecond, AnnounceEvery: 15 * clock.Millisecond,
		DiskPatience: 1500 * clock.Millisecond, DiskProof: 5 * clock.Second}
}

// Self says who the keeper is.
type Self struct {
	ID, Zone, Peer string
	Life           uint64
	Name           string // the operator's name of the machine; "": none
}

// ItemOrder is one item to be run on a server.
type ItemOrder struct {
	Slot     int
	Epoch    uint64
	Bundle   string
	Item     int
	Customer string
	Route    string
	ItemID   string
	Input    string
	Request  *shard.Request // passed on unchanged; nil where there is an input
	Enrolled clock.Micros
	Plan     uint64 // version of the plan it was handed in under
}

// Revoke tells the path to drop what it still has of a bundle, or of a slot.
type Revoke struct {
	Bundle string
	Slot   int // -1 when a bundle is meant
}

type place struct {
	slot  int
	state *shard.Slot
}

type waiting struct {
	call   uint64
	expiry clock.Micros
	answer any
}

type orphan struct {
	slot      int
	epoch     uint64
	positions []int64
}

type finished struct {
	slot int
	row  shard.Row
}

// Store is the machine.
type Store struct {
	machine.Out
	set       Settings
	self      Self
	groups    *replication.Groups
	places    map[string]*place
	fleet     string
	writer    int
	positions *positions.Allocator
	asking    bool // a reservation is being written
	placement state.Map
	cores     []string
	waits     map[string]map[uint64][]waiting
	given     map[string]map[uint64]int64 // unit, entry -> position
	news      map[string]map[uint64]string
	orphans   []orphan
	left      []lingering // slots that passed on, counted for a while
	held      []finished  // results that wait for a position or a serving pair
	seq       uint64
	dirty     bool
	stores    int
	writes    map[uint64]clock.Micros // on their way to the disk, since when
	stalled   clock.Micros            // the disk was last seen stalled
	disk      machine.DiskState
	next      struct{ beat, announce, forget, resume clock.Micros }
	drain     bool
	// Counters for the operators.
	Listed, Enrolled, Unknown, Takeovers, Entries, Reads int64
	// EarlyAnnounce is a fault planted by tests: positions count as finished
	// before they are durable.
	EarlyAnnounce bool
	// RefuseLate is a fault planted by tests: a bundle is turned away after its
	// entry was written.
	RefuseLate bool
	// NoLease is a fault planted by tests: asks are answered without a lease.
	NoLease   bool
	BadRecord error
	shelf     Shelf
	file      uint64 // last file put on the shelf
	files     map[uint64]bool
	// Shelved counts bundles put away; Damaged is told of one that can't be read.
	Shelved int64
	Damaged func(error)
}

// Unit is the name of a slot's pair.
func Unit(slot int) string { return fmt.Sprintf(unitSlot+"%03d", slot) }

func slotOf(unit string) int {
	slot, _ := strconv.Atoi(strings.TrimPrefix(unit, unitSlot))
	return slot
}

type identity struct {
	Fleet  string `json:"fleet"`
	Writer int    `json:"writer"`
}

// New makes a keeper from what was read back from its disk.
func New(self Self, set Settings, records []machine.Record, shelf Shelf) *Store {
	k := &Store{set: set, self: self, shelf: shelf, file: shelf.Top(), files: map[uint64]bool{}, places: map[string]*place{},
		waits: map[string]map[uint64][]waiting{}, given: map[string]map[uint64]int64{},
		news: map[string]map[uint64]string{}, writes: map[uint64]clock.Micros{}, disk: machine.DiskState{Writable: true}}
	k.groups = replication.NewGroups(&k.Out, k)
	reserved := int64(0)
	for _, record := range records {
		switch {
		case record.Unit == unitSelf && record.Kind == kindReserved:
			reserved = max(reserved, int64(record.Seq))
		case record.Unit == unitSelf && record.Kind == kindWriter:
			var who identity
			if json.Unmarshal(record.Body, &who) == nil {
				k.fleet, k.writer = who.Fleet, who.Writer
			}
		default:
			k.groups.Recover(record)
		}
	}
	k.positions = positions.New(reserved)
	k.sweep(shelf.Held())
	return k
}

// Command is an input of the keeper.
type Command = machine.Command[*Store]

// Do applies a command and hands over the effects.
func (k *Store) Do(command Command, now clock.Micros) []machine.Effect {
	command.Apply(k, now)
	if k.stores >= k.set.FoldAfter {
		k.stores = 0
		k.Emit(machine.Fold{Records: append(k.selfRecords(), k.groups.Records()...)})
	}
	out := k.Drain()
	for _, effect := range out {
		if store, ok := effect.(machine.Store); ok {
			k.stores++
			k.writes[store.Token] = now
		}
	}
	return out
}

func (k *Store) selfRecords() []machine.Record {
	body, _ := json.Marshal(identity{k.fleet, k.writer})
	return []machine.Record{{Unit: unitSelf, Kind: kindWriter, Body: body},
		{Unit: unitSelf, Kind: kindReserved, Seq: uint64(max(k.positions.Next()-1, k.reservedAtLeast()))}}
}

func (k *Store) reservedAtLeast() int64 { return k.positions.Reservation() }

// State is the map of the stores as this one knows it.
func (k *Store) State() state.Map { return k.placement }

// Groups is the replication groups of this store, for tests and operators.
func (k *Store) Groups() *replication.Groups { return k.groups }

// Writer is the keeper's writer id; 0 before the core gave it one.
func (k *Store) Writer() int { return k.writer }

// Fleet is the fleet the keeper belongs to.
func (k *Store) Fleet() string { return k.fleet }

// Allowed tells, right before a start on a server, whether this keeper may
// start work of a bundle: epoch, fresh lease, and the bundle still open.
func (k *Store) Allowed(slot int, bundle string, item int, now clock.Micros) bool {
	group := k.groups.Group(Unit(slot))
	if group.Role != replication.Serving || now >= group.LeaseUntil() {
		return false
	}
	found := k.place(Unit(slot)).state.Bundles[bundle]
	return found != nil && found.State == shard.Open && !found.Listed(item)
}

func (k *Store) place(unit string) *place {
	p := k.places[unit]
	if p == nil {
		p = &place{slot: slotOf(unit), state: shard.NewSlot()}
		k.places[unit] = p
	}
	return p
}
