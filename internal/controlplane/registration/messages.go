// Package registration has the messages between stores and cores: a store reports itself in
// heartbeats, and the primary core registers or rejects it (docs/DESIGN.md §6.6). It has
// data only; the cores' side is package stores, the stores' side package batchstore.
//
// The messages are sent as gob: a change of a type's or field's name is a new version of
// the transport's protocol.
package registration

import "tuliprudder/internal/transport"

// Heartbeat is what a store reports to the cores.
type Heartbeat struct {
	ID, Zone, Peer string
	Name           string // the operator's name of the machine; "" where there is none
	Incarnation    uint64
	Ready          map[int]uint64 // shards whose members all have the state, by epoch
	Fleet          string         // "" before the store is registered
	Draining       bool
	Stalled        bool                        // its disk takes no writes, or takes them too slowly
	Unreachable    map[int]UnreachableReplicas // by shard of which it is the primary
	Busy           []int                       // owned shards with open batches: moving them runs items again
}

// UnreachableReplicas are the replicas that don't answer the primary of an epoch.
type UnreachableReplicas struct {
	Epoch uint64
	Peers []string // addresses
}

// Rejected tells a store that its data folder is a copy of another store's, or an old one.
type Rejected struct {
	ID          string
	Incarnation uint64
	Reason      string
}

// Registered tells a store its fleet and its writer ID.
type Registered struct {
	Fleet  string
	Writer int
	Seq    uint64
}

func init() { transport.Register(Heartbeat{}, Registered{}, Rejected{}) }
