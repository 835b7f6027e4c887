// Package state is the control state that the cores replicate (DESIGN §5): the
// configurations, the stores with their permanent writer ids, and which stores hold
// which shard under which epoch. It is bounded: neither a snapshot nor what every
// daemon is sent grows with the number of changes.
//
// A State is changed only by entries (entries.go), in one order on every replica; the
// same entries give the same state. Entries and snapshots are on the disks of the
// cores and read by the neighbouring releases: their JSON keys never change. A State is
// not safe for concurrent use; its maps and slices are replaced, not changed, so that
// what Map returned stays as it is.
package state

import (
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/replication"
)

// Store is a store daemon; its writer id is never given to another.
type Store struct {
	ID          string `json:"id"`
	Writer      int    `json:"writer"`
	Zone        string `json:"zone"`
	Peer        string `json:"peer"`
	Name        string `json:"name,omitempty"` // the operator's name of the machine
	Incarnation uint64 `json:"life"`           // the newest one it was heard in
	Retiring    bool   `json:"retiring,omitempty"`
	Retired     bool   `json:"retired,omitempty"`
	// Evicted: it was not heard for long and no longer counts as a voter for updates (DESIGN §3.4).
	Evicted bool `json:"struck,omitempty"`
}

// State is the control state.
type State struct {
	Fleet      string                   `json:"fleet"`
	Seq        uint64                   `json:"seq"`
	Versions   []Version                `json:"plans"`  // the newest ones, with their documents
	Requests   RequestTable             `json:"orders"` // what recognises a repeated request
	Stores     map[string]Store         `json:"stores"`
	NextWriter int                      `json:"next_writer"`
	Shards     []replication.Assignment `json:"slots"`
	Acts       exclusive.Table          `json:"acts,omitzero"` // on outside systems
}

// New is an empty state.
func New() *State { return &State{Stores: map[string]Store{}, NextWriter: 1} }

// Map is the part of the state that every daemon is sent.
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
