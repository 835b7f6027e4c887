// Package state is the control state that the cores replicate (DESIGN §5): the
// configurations, the stores with their permanent writer ids, and which stores hold
// which slot under which epoch. It is bounded: neither a snapshot nor what every
// daemon is told grows with the number of changes.
package state

import (
	"encoding/json"
	"maps"
	"slices"

	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// Store is a store daemon; its writer id is never given to another.
type Store struct {
	ID       string `json:"id"`
	Writer   int    `json:"writer"`
	Zone     string `json:"zone"`
	Peer     string `json:"peer"`
	Name     string `json:"name,omitempty"` // the operator's name of the machine
	Life     uint64 `json:"life"`           // the newest life it was heard in
	Retiring bool   `json:"retiring,omitempty"`
	Retired  bool   `json:"retired,omitempty"`
	// Struck from the roll: it has been silent for long (DESIGN §3.4).
	Struck bool `json:"struck,omitempty"`
}

// State is the whole of it.
type State struct {
	Fleet      string                   `json:"fleet"`
	Seq        uint64                   `json:"seq"`
	Versions   []Version                `json:"plans"`  // the newest, with their documents
	Orders     OrderTable               `json:"orders"` // what recognises a repeated order
	Stores     map[string]Store         `json:"stores"`
	NextWriter int                      `json:"next_writer"`
	Slots      []replication.Assignment `json:"slots"`
}

// New is an empty state.
func New() *State { return &State{Stores: map[string]Store{}, NextWriter: 1} }

// Map is the part of the state that every daemon is told.
type Map struct {
	Fleet  string                   `json:"fleet"`
	Seq    uint64                   `json:"seq"`
	Stores map[string]Store         `json:"stores"`
	Slots  []replication.Assignment `json:"slots"`
}

// Map copies that part.
func (c *State) Map() Map {
	return Map{Fleet: c.Fleet, Seq: c.Seq, Stores: c.Stores, Slots: c.Slots}
}

// CoreNews says who is primary.
type CoreNews struct {
	Fleet    string   `json:"fleet"`
	Epoch    uint64   `json:"epoch"`
	Primary  string   `json:"primary"`
	Peer     string   `json:"peer"`
	Replicas []string `json:"replicas"`
	Cores    []string `json:"cores"`
	Seats    []string `json:"seats"` // the cores' ids
}

// What a daemon counts for when most of the fleet has to have heard of something
// (DESIGN §3): a store two, so that the stores alone are most of a fleet whose
// cores are lost; a core one.
const (
	storeWeight = 2
	coreWeight  = 1
)

// Roll is who counts, by id, from the core's own news: the stores that are neither
// retired nor struck off, and the cores that have seats. It is empty before a
// store was enrolled. No two halves of it weigh the same.
func Roll(mapNews, coreNews []byte) map[string]int {
	var m Map
	var c CoreNews
	if json.Unmarshal(mapNews, &m) != nil || json.Unmarshal(coreNews, &c) != nil {
		return nil
	}
	roll, sum, first := map[string]int{}, 0, ""
	for id, store := range m.Stores {
		if store.Retired || store.Struck {
			continue
		}
		roll[id] = storeWeight
		sum += storeWeight
		if first == "" || id < first {
			first = id
		}
	}
	for _, id := range c.Seats {
		if roll[id] == 0 {
			roll[id] = coreWeight
			sum += coreWeight
		}
	}
	if first == "" {
		return nil
	}
	if sum%2 == 0 {
		roll[first]++
	}
	return roll
}

// Entry is one change of the state: a command on it.
type Entry interface {
	Apply(c *State)
	kind() string
}

// The changes there are. Their JSON is on the disks of the cores; the keys never change.
type (
	// Found begins a fleet with a fixed number of slots.
	Found struct {
		Fleet string `json:"Fleet"`
		Slots int    `json:"Slots"`
	}
	// EnrolStore gives a store its writer id, or notes its new address
	// or name.
	EnrolStore struct {
		Store Store `json:"Store"`
	}
	// Retire marks a store as retiring, takes the mark back, or writes down that
	// nothing depends on it any more.
	Retire struct {
		ID   string `json:"ID"`
		Back bool   `json:"Back"`
		Done bool   `json:"Done"`
	}
	// Pair writes down new pairings of slots.
	Pair struct {
		Slots map[int]replication.Assignment `json:"Slots"`
	}
)

// Apply founds.
func (e Found) Apply(c *State) {
	if c.Fleet == "" {
		c.Fleet, c.Slots = e.Fleet, make([]replication.Assignment, e.Slots)
	}
}

// Apply enrols, or notes a new address, name or life; a known store keeps its writer id.
func (e EnrolStore) Apply(c *State) {
	store := e.Store
	if known, ok := c.Stores[store.ID]; ok {
		store.Writer, store.Retiring, store.Retired = known.Writer, known.Retiring, known.Retired
	} else {
		store.Writer = c.NextWriter
		c.NextWriter++
		// An empty one at the address of another: that one's disk is gone for good.
		for _, id := range c.At(store.Peer) {
			gone := c.Stores[id]
			gone.Struck = true
			c.setStore(gone)
		}
	}
	c.setStore(store)
	c.forgetGoneStores()
}

// mostGoneStores is how many stores that are struck or retired, and that no slot
// refers to, stay in the state: their names and lives answer for them for a while.
const mostGoneStores = 16

// forgetGoneStores drops the oldest of the stores that are gone. Their writer ids
// are not given again.
func (c *State) forgetGoneStores() {
	var gone []Store
	for _, store := range c.Stores {
		if (store.Struck || store.Retired) && !c.refersTo(store.ID) {
			gone = append(gone, store)
		}
	}
	if len(gone) <= mostGoneStores {
		return
	}
	slices.SortFunc(gone, func(a, b Store) int { return a.Writer - b.Writer })
	kept := maps.Clone(c.Stores)
	for _, store := range gone[:len(gone)-mostGoneStores] {
		delete(kept, store.ID)
	}
	c.Stores = kept
}

// refersTo tells whether a slot's assignment names a store.
func (c *State) refersTo(id string) bool {
	for _, assignment := range c.Slots {
		if assignment.Holds(id) || assignment.Trusts(id) {
			return true
		}
	}
	return false
}

// At lists the stores that count and were last heard at an address.
func (c *State) At(peer string) []string {
	var out []string
	for id, store := range c.Stores {
		if store.Peer == peer && !store.Struck {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Named finds the store that has the operator's name: one that is not struck, the
// newest where there are several.
func (c *State) Named(name string) (Store, bool) {
	var found Store
	for _, store := range c.Stores {
		if name != "" && store.Name == name && !store.Struck && store.Writer > found.Writer {
			found = store
		}
	}
	return found, found.ID != ""
}

// setStore replaces the map, which may have been handed out.
func (c *State) setStore(store Store) {
	stores := make(map[string]Store, len(c.Stores)+1)
	for id, known := range c.Stores {
		stores[id] = known
	}
	stores[store.ID] = store
	c.Stores = stores
}

// Apply marks.
func (e Retire) Apply(c *State) {
	if store, ok := c.Stores[e.ID]; ok {
		store.Retiring, store.Retired = !e.Back, e.Done && !e.Back
		c.setStore(store)
		c.forgetGoneStores()
	}
}

// Apply writes pairings down; an epoch never goes back.
func (e Pair) Apply(c *State) {
	slots := append([]replication.Assignment(nil), c.Slots...)
	for slot, pairing := range e.Slots {
		if slot >= 0 && slot < len(slots) && pairing.Epoch >= slots[slot].Epoch {
			slots[slot] = pairing
		}
	}
	c.Slots = slots
	c.forgetGoneStores()
}

func (Found) kind() string      { return kindFound }
func (EnrolStore) kind() string { return kindEnrolStore }
func (Pair) kind() string       { return kindPair }
func (Retire) kind() string     { return kindRetire }

var entries = machine.Entries[Entry]{
	kindFound:      machine.Decoder(func(e Found) Entry { return e }),
	kindPutPlan:    machine.Decoder(func(e PutPlan) Entry { return e }),
	kindEnrolStore: machine.Decoder(func(e EnrolStore) Entry { return e }),
	kindPair:       machine.Decoder(func(e Pair) Entry { return e }),
	kindRetire:     machine.Decoder(func(e Retire) Entry { return e }),
}

// Encode writes an entry for the pair.
func Encode(e Entry) []byte { return entries.Encode(e.kind(), e) }

// Play applies an encoded entry.
func (c *State) Play(data []byte) error {
	entry, err := entries.Decode(data)
	if err != nil {
		return err
	}
	entry.Apply(c)
	c.Seq++
	return nil
}
