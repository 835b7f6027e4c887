// Package registration defines the messages between stores and cores: a store reports its state
// in heartbeats, and the primary core registers or rejects it (docs/DESIGN.md §6.6). It contains
// only data types; the cores' side is in package stores, the stores' side in package batchstore.
//
// The messages are encoded with gob, so renaming a type or a field requires a new version of the
// transport protocol.
package registration

import "tuliprudder/internal/transport"

// Heartbeat is what a store reports to the cores.
type Heartbeat struct {
	ID, Zone, Peer string
	Name           string // the machine's name as set by the operator; "" if none
	Incarnation    uint64
	Ready          map[int]uint64 // epochs, by shard, in which all members have the state
	Fleet          string         // "" before the store is registered
	Draining       bool
	Stalled        bool                        // its disk accepts no writes, or is too slow
	Unreachable    map[int]UnreachableReplicas // by shard of which the store is the primary
	Busy           []int                       // shards with open batches, as primary: moving them runs items again
}

// UnreachableReplicas lists the replicas that do not answer the primary of an epoch.
type UnreachableReplicas struct {
	Epoch uint64
	Peers []string // addresses
}

// Rejected tells a store that its heartbeat was rejected: it belongs to another fleet, or its data
// folder is a copy of another store's or an outdated one.
type Rejected struct {
	ID          string
	Incarnation uint64
	Reason      string
}

// Registered tells a store its fleet and its writer id.
type Registered struct {
	Fleet  string
	Writer int
	Seq    uint64
}

func init() { transport.Register(Heartbeat{}, Registered{}, Rejected{}) }
