// Package state is the control state that the cores replicate (DESIGN §5): the
// configurations, the stores with their permanent writer ids, and which stores hold
// which shard under which epoch. It is bounded: neither a snapshot nor what every
// daemon is told grows with the number of changes.
package state

import (
	"encoding/json"
	"maps"
	"slices"

	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Store is a store daemon; its writer id is never given to another.
type Store struct {
	ID          string `json:"id"`
	Writer      int    `json:"writer"`
	Zone        string `json:"zone"`
	Peer        string `json:"peer"`
	Name        string `json:"name,omitempty"` // the operator's name of the machine
	Incarnation uint64 `json:"life"`           // the newest life it was heard in
	Retiring    bool   `json:"retiring,omitempty"`
	Retired     bool   `json:"retired,omitempty"`
	// Evicted from the roll: it has been silent for long (DESIGN §3.4).
	Evicted bool `json:"struck,omitempty"`
}

// State is the whole of it.
type State struct {
	Fleet      string                   `json:"fleet"`
	Seq        uint64                   `json:"seq"`
	Versions   []Version                `json:"plans"`  // the newest, with their documents
	Requests   RequestTable             `json:"orders"` // what recognises a repeated order
	Stores     map[string]Store         `json:"stores"`
	NextWriter int                      `json:"next_writer"`
	Shards     []replication.Assignment `json:"slots"`
}

// New is an empty state.
func New() *State { return &State{Stores: map[string]Store{}, NextWriter: 1} }

// Map is the part of the state that every daemon is told.
type Map struct {
	Fleet  string                   `json:"fleet"`
	Seq    uint64                   `json:"seq"`
	Stores map[string]Store         `json:"stores"`
	Shards []replication.Assignment `json:"slots"`
}

// Map copies that part.
func (s *State) Map() Map {
	return Map{Fleet: s.Fleet, Seq: s.Seq, Stores: s.Stores, Shards: s.Shards}
}

// CoreUpdate says who is primary.
type CoreUpdate struct {
	Fleet      string   `json:"fleet"`
	Epoch      uint64   `json:"epoch"`
	Primary    string   `json:"primary"`
	Peer       string   `json:"peer"`
	Replicas   []string `json:"replicas"`
	VoterPeers []string `json:"cores"`
	VoterIDs   []string `json:"seats"` // the cores' ids
}

// What a daemon counts for when most of the fleet has to have heard of something
// (DESIGN §3): a store two, so that the stores alone are most of a fleet whose
// cores are lost; a core one.
const (
	storeWeight = 2
	coreWeight  = 1
)

// VoterWeights is who counts, by id, from the core's own updates: the stores that are neither
// retired nor struck off, and the cores that have seats. It is empty before a
// store was enrolled. No two halves of it weigh the same.
func VoterWeights(mapUpdate, coreUpdate []byte) map[string]int {
	var m Map
	var s CoreUpdate
	if json.Unmarshal(mapUpdate, &m) != nil || json.Unmarshal(coreUpdate, &s) != nil {
		return nil
	}
	weights, sum, first := map[string]int{}, 0, ""
	for id, store := range m.Stores {
		if store.Retired || store.Evicted {
			continue
		}
		weights[id] = storeWeight
		sum += storeWeight
		if first == "" || id < first {
			first = id
		}
	}
	for _, id := range s.VoterIDs {
		if weights[id] == 0 {
			weights[id] = coreWeight
			sum += coreWeight
		}
	}
	if first == "" {
		return nil
	}
	if sum%2 == 0 {
		weights[first]++
	}
	return weights
}

// Entry is one change of the state: a command on it.
type Entry interface {
	Apply(s *State)
	kind() string
}

// The changes there are. Their JSON is on the disks of the cores; the keys never change.
type (
	// Bootstrap begins a fleet with a fixed number of shards.
	Bootstrap struct {
		Fleet  string `json:"Fleet"`
		Shards int    `json:"Slots"`
	}
	// RegisterStore gives a store its writer id, or notes its new address
	// or name.
	RegisterStore struct {
		Store Store `json:"Store"`
	}
	// Retire marks a store as retiring, takes the mark back, or writes down that
	// nothing depends on it any more.
	Retire struct {
		ID     string `json:"ID"`
		Cancel bool   `json:"Back"`
		Done   bool   `json:"Done"`
	}
	// AssignShards writes down new pairings of shards.
	AssignShards struct {
		Shards map[int]replication.Assignment `json:"Slots"`
	}
)

// Apply founds.
func (e Bootstrap) Apply(s *State) {
	if s.Fleet == "" {
		s.Fleet, s.Shards = e.Fleet, make([]replication.Assignment, e.Shards)
	}
}

// Apply enrols, or notes a new address, name or life; a known store keeps its writer id.
func (e RegisterStore) Apply(s *State) {
	store := e.Store
	if known, ok := s.Stores[store.ID]; ok {
		store.Writer, store.Retiring, store.Retired = known.Writer, known.Retiring, known.Retired
	} else {
		store.Writer = s.NextWriter
		s.NextWriter++
		// An empty one at the address of another: that one's disk is gone for good.
		for _, id := range s.StoresAt(store.Peer) {
			departed := s.Stores[id]
			departed.Evicted = true
			s.setStore(departed)
		}
	}
	s.setStore(store)
	s.forgetDepartedStores()
}

// maxDepartedStores is how many stores that are struck or retired, and that no shard
// refers to, stay in the state: their names and lives answer for them for a while.
const maxDepartedStores = 16

// forgetDepartedStores drops the oldest of the stores that are gone. Their writer ids
// are not given again.
func (s *State) forgetDepartedStores() {
	var departed []Store
	for _, store := range s.Stores {
		if (store.Evicted || store.Retired) && !s.refersTo(store.ID) {
			departed = append(departed, store)
		}
	}
	if len(departed) <= maxDepartedStores {
		return
	}
	slices.SortFunc(departed, func(a, b Store) int { return a.Writer - b.Writer })
	kept := maps.Clone(s.Stores)
	for _, store := range departed[:len(departed)-maxDepartedStores] {
		delete(kept, store.ID)
	}
	s.Stores = kept
}

// refersTo tells whether a shard's assignment names a store.
func (s *State) refersTo(id string) bool {
	for _, assignment := range s.Shards {
		if assignment.MustKeep(id) || assignment.IsTrusted(id) {
			return true
		}
	}
	return false
}

// DependentShards counts the shards that still need a store.
func (s *State) DependentShards(id string) int {
	count := 0
	for _, assignment := range s.Shards {
		if assignment.MustKeep(id) {
			count++
		}
	}
	return count
}

// StoresAt lists the stores that count and were last heard at an address.
func (s *State) StoresAt(peer string) []string {
	var out []string
	for id, store := range s.Stores {
		if store.Peer == peer && !store.Evicted {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// StoreNamed finds the store that has the operator's name: one that is not struck, the
// newest where there are several.
func (s *State) StoreNamed(name string) (Store, bool) {
	var found Store
	for _, store := range s.Stores {
		if name != "" && store.Name == name && !store.Evicted && store.Writer > found.Writer {
			found = store
		}
	}
	return found, found.ID != ""
}

// setStore replaces the map, which may have been handed out.
func (s *State) setStore(store Store) {
	stores := make(map[string]Store, len(s.Stores)+1)
	for id, known := range s.Stores {
		stores[id] = known
	}
	stores[store.ID] = store
	s.Stores = stores
}

// Apply marks.
func (e Retire) Apply(s *State) {
	if store, ok := s.Stores[e.ID]; ok {
		store.Retiring, store.Retired = !e.Cancel, e.Done && !e.Cancel
		s.setStore(store)
		s.forgetDepartedStores()
	}
}

// Apply writes pairings down; an epoch never goes back.
func (e AssignShards) Apply(s *State) {
	shards := append([]replication.Assignment(nil), s.Shards...)
	for shard, assignment := range e.Shards {
		if shard >= 0 && shard < len(shards) && assignment.Epoch >= shards[shard].Epoch {
			shards[shard] = assignment
		}
	}
	s.Shards = shards
	s.forgetDepartedStores()
}

func (Bootstrap) kind() string     { return kindFound }
func (RegisterStore) kind() string { return kindEnrolStore }
func (AssignShards) kind() string  { return kindPair }
func (Retire) kind() string        { return kindRetire }

var entries = machine.EntryCodec[Entry]{
	kindFound:            machine.Decoder(func(e Bootstrap) Entry { return e }),
	kindPutConfiguration: machine.Decoder(func(e PutConfiguration) Entry { return e }),
	kindEnrolStore:       machine.Decoder(func(e RegisterStore) Entry { return e }),
	kindPair:             machine.Decoder(func(e AssignShards) Entry { return e }),
	kindRetire:           machine.Decoder(func(e Retire) Entry { return e }),
}

// Encode writes an entry for the pair.
func Encode(e Entry) []byte { return entries.Encode(e.kind(), e) }

// ApplyEntry applies an encoded entry.
func (s *State) ApplyEntry(data []byte) error {
	entry, err := entries.Decode(data)
	if err != nil {
		return err
	}
	entry.Apply(s)
	s.Seq++
	return nil
}
