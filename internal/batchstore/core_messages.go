package batchstore

import "tuliprudder/internal/clock"

// The messages between a store and the cores. They are sent as gob: the names of types and
// fields never change.
type (
	// Heartbeat is what a store reports to the cores.
	Heartbeat struct {
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
	UnreachableReplicas struct {
		Epoch uint64
		Peers []string // addresses
	}
	// RegistrationRejected tells a store that its data folder is a copy of another store's,
	// or an old one.
	RegistrationRejected struct {
		ID          string
		Incarnation uint64
		Reason      string
	}
	// Registered tells a store its fleet and its writer ID.
	Registered struct {
		Fleet  string
		Writer int
		Seq    uint64
	}
)

// Message is a message of a core, or of another member of a replication group.
type Message struct {
	From string // address
	Body any
}

// Apply passes the message to the replication groups, or handles a core's.
func (m Message) Apply(s *Store, now clock.Micros) {
	if s.ignoresWhileUnwritable(m.Body) || s.groups.HandleMessage(m.From, m.Body, now) {
		return
	}
	switch body := m.Body.(type) {
	case Registered:
		s.handleRegistered(m.From, body)
	case RegistrationRejected:
		s.handleRegistrationRejected(body)
	}
}
