// Package state is the control state that the cores replicate (DESIGN §5): the
// configurations, the stores with their permanent writer ids, and the assignment of each
// shard to stores, with its epoch. Its size is bounded: neither a snapshot nor the part
// that is sent to every daemon grows with the number of changes.
//
// A State is changed only by entries (entries.go), which are applied in the same order on
// every replica and are deterministic. Entries and snapshots are stored on the cores'
// disks and are read by the previous and the next release, so their JSON keys must not
// change. A State is not safe for concurrent use. Its maps and slices are replaced, never
// modified, so that a value returned by Map stays valid.
package state

import (
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/replication"
)

// Store is a registered store daemon. Its writer id is never reused.
type Store struct {
	ID          string `json:"id"`
	Writer      int    `json:"writer"`
	Zone        string `json:"zone"`
	Peer        string `json:"peer"`
	Name        string `json:"name,omitempty"` // the machine's name as set by the operator
	Incarnation uint64 `json:"life"`           // the newest one that was registered
	Retiring    bool   `json:"retiring,omitempty"`
	Retired     bool   `json:"retired,omitempty"`
	// Evicted reports that the store was lost for long, or that another one replaced it at its
	// address; it no longer counts as a voter for updates (DESIGN §3.4).
	Evicted bool `json:"struck,omitempty"`
}

// State is the control state.
type State struct {
	Fleet      string                   `json:"fleet"`
	Seq        uint64                   `json:"seq"`
	Versions   []Version                `json:"plans"`  // the newest configurations, with their documents
	Requests   RequestTable             `json:"orders"` // for recognising repeated requests
	Stores     map[string]Store         `json:"stores"`
	NextWriter int                      `json:"next_writer"`
	Shards     []replication.Assignment `json:"slots"`
	Acts       exclusive.Table          `json:"acts,omitzero"` // acts on external systems
}

// New returns an empty state.
func New() *State { return &State{Stores: map[string]Store{}, NextWriter: 1} }

// Map is the part of the state that is sent to every daemon.
type Map struct {
	Fleet  string                   `json:"fleet"`
	Seq    uint64                   `json:"seq"`
	Stores map[string]Store         `json:"stores"`
	Shards []replication.Assignment `json:"slots"`
}

// Map returns the part of the state that is sent to every daemon.
func (s *State) Map() Map {
	return Map{Fleet: s.Fleet, Seq: s.Seq, Stores: s.Stores, Shards: s.Shards}
}

// CoreUpdate is the update that names the primary core and the cores with a vote.
type CoreUpdate struct {
	Fleet      string   `json:"fleet"`
	Epoch      uint64   `json:"epoch"`
	Primary    string   `json:"primary"`
	Peer       string   `json:"peer"`
	Replicas   []string `json:"replicas"`
	VoterPeers []string `json:"cores"`
	VoterIDs   []string `json:"seats"` // ids of the cores with a vote
}
