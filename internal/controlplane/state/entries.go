package state

import (
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// Entry is one change of the state: a command on it.
type Entry interface {
	Apply(s *State)
	kind() string
}

// The changes there are. Their JSON is on the disks of the cores; the keys never change.
type (
	// Bootstrap gives a fleet its name and its fixed number of shards.
	Bootstrap struct {
		Fleet  string `json:"Fleet"`
		Shards int    `json:"Slots"`
	}
	// RegisterStore gives a store its writer id, or writes down its new address, name or
	// incarnation.
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
	// AssignShards writes down new assignments of shards.
	AssignShards struct {
		Shards map[int]replication.Assignment `json:"Slots"`
	}
	// UpdateActs writes down who may perform which acts on outside systems, and which are done.
	UpdateActs struct {
		Update exclusive.Update `json:"update"`
	}
)

// Apply does so once only: the number of shards is fixed from then on.
func (e Bootstrap) Apply(s *State) {
	if s.Fleet == "" {
		s.Fleet, s.Shards = e.Fleet, make([]replication.Assignment, e.Shards)
	}
}

// Apply changes the table of acts.
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

// Encode is an entry as the replicas get it.
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
