package state

import (
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Entry is one replicated command that changes the state.
type Entry interface {
	// Apply changes s. It must be deterministic, because every replica applies the same entries.
	Apply(s *State)
	kind() string
}

// The entry types. Their JSON is stored on the cores' disks, so the keys must not change.
type (
	// Bootstrap sets a fleet's name and its fixed number of shards.
	Bootstrap struct {
		Fleet  string `json:"Fleet"`
		Shards int    `json:"Slots"`
	}
	// RegisterStore assigns a new store its writer id, or records the changed address, zone, name,
	// incarnation or eviction of a known one.
	RegisterStore struct {
		Store Store `json:"Store"`
	}
	// Retire marks a store as retiring, removes the mark (Cancel), or records that no shard
	// depends on the store any more (Done).
	Retire struct {
		ID     string `json:"ID"`
		Cancel bool   `json:"Back"`
		Done   bool   `json:"Done"`
	}
	// AssignShards records new assignments of shards.
	AssignShards struct {
		Shards map[int]replication.Assignment `json:"Slots"`
	}
	// UpdateActs records who may perform which acts on external systems, and which are done.
	UpdateActs struct {
		Update exclusive.Update `json:"update"`
	}
)

// Apply sets the name and the number of shards. It has an effect only once, because the number of
// shards is fixed from then on.
func (e Bootstrap) Apply(s *State) {
	if s.Fleet == "" {
		s.Fleet, s.Shards = e.Fleet, make([]replication.Assignment, e.Shards)
	}
}

// Apply updates the table of acts.
func (e UpdateActs) Apply(s *State) { s.Acts.Apply(e.Update) }

func (Bootstrap) kind() string     { return kindBootstrap }
func (RegisterStore) kind() string { return kindRegisterStore }
func (AssignShards) kind() string  { return kindAssignShards }
func (Retire) kind() string        { return kindRetire }
func (UpdateActs) kind() string    { return kindUpdateActs }

var entries = machine.EntryCodec[Entry]{
	kindBootstrap:        machine.Decoder(func(e Bootstrap) Entry { return e }),
	kindPutConfiguration: machine.Decoder(func(e PutConfiguration) Entry { return e }),
	kindRegisterStore:    machine.Decoder(func(e RegisterStore) Entry { return e }),
	kindAssignShards:     machine.Decoder(func(e AssignShards) Entry { return e }),
	kindRetire:           machine.Decoder(func(e Retire) Entry { return e }),
	kindUpdateActs:       machine.Decoder(func(e UpdateActs) Entry { return e }),
}

// Encode returns an entry in the form that is replicated.
func Encode(e Entry) []byte { return entries.Encode(e.kind(), e) }

// ApplyEntry decodes and applies an entry.
func (s *State) ApplyEntry(data []byte) error {
	entry, err := entries.Decode(data)
	if err != nil {
		return err
	}
	entry.Apply(s)
	s.Seq++
	return nil
}
