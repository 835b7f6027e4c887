package batchstore

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// writerIdentity is the identity that the primary core assigned to this store at its registration: the
// fleet that it belongs to and the ID under which it writes results. Both are durable and never change.
type writerIdentity struct {
	Fleet  string `json:"fleet"`
	Writer int    `json:"writer"` // 0 before the store is registered
}

// record returns the record that makes the identity durable.
func (w writerIdentity) record() machine.Record {
	body, _ := json.Marshal(w)
	return machine.Record{Unit: unitSelf, Kind: kindWriter, Body: body}
}

// replay restores the identity from a record. If the record can't be decoded, the identity is left
// unchanged and the store registers again.
func (w *writerIdentity) replay(record machine.Record) {
	var stored writerIdentity
	if json.Unmarshal(record.Body, &stored) == nil {
		*w = stored
	}
}

// Writer returns the store's writer ID, or 0 before the store is registered.
func (s *Store) Writer() int { return s.identity.Writer }

// Fleet returns the fleet that the store belongs to, or "" before the store is registered.
func (s *Store) Fleet() string { return s.identity.Fleet }

// handleRegistered stores the identity assigned by the first registration. A core of another fleet is
// ignored, because the store would otherwise mix the data of two fleets.
func (s *Store) handleRegistered(from string, registered registration.Registered) {
	if registered.Writer <= 0 {
		return
	}
	if s.identity.Fleet != "" && s.identity.Fleet != registered.Fleet {
		s.Emit(machine.LogEvent{Event: ForeignCoreIgnored{
			Peer:   from,
			Fleet:  registered.Fleet,
			Remedy: "check -seeds",
		}})
		return
	}
	if s.identity.Writer != 0 {
		return
	}
	s.identity = writerIdentity{Fleet: registered.Fleet, Writer: registered.Writer}
	s.groups.Persist([]machine.Record{s.identity.record()}, nil)
	s.reservePositions()
	s.announcer.requestShardAnnouncement()
}

// handleRegistrationRejected halts the daemon, because its data folder must not be used.
func (s *Store) handleRegistrationRejected(rejected registration.Rejected) {
	if rejected.ID != s.self.ID || rejected.Incarnation != s.self.Incarnation {
		return
	}
	s.Emit(machine.Halt{Err: errs.New(errs.WrongFolder,
		"start with an empty data folder, which the other members of the replication groups fill, or correct -seeds",
		"the core rejected this data folder: %s", rejected.Reason)})
}

// CorePeers sets the addresses of the cores.
type CorePeers struct{ Peers []string }

// Apply sends all further heartbeats to these addresses.
func (c CorePeers) Apply(s *Store, _ clock.Micros) { s.cores = c.Peers }
