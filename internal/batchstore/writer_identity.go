package batchstore

import (
	"encoding/json"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// writerIdentity is what the primary core gave this store when it registered: the fleet it
// belongs to, and the ID under which it writes results. Both are durable and never change.
type writerIdentity struct {
	Fleet  string `json:"fleet"`
	Writer int    `json:"writer"` // 0 before the store is registered
}

// record is the durable form of the identity.
func (w writerIdentity) record() machine.Record {
	body, _ := json.Marshal(w)
	return machine.Record{Unit: unitSelf, Kind: kindWriter, Body: body}
}

// replay takes the identity from a record; one that can't be read leaves it as it is,
// and the store registers again.
func (w *writerIdentity) replay(record machine.Record) {
	var stored writerIdentity
	if json.Unmarshal(record.Body, &stored) == nil {
		*w = stored
	}
}

// Writer is the store's writer ID; 0 before it is registered.
func (s *Store) Writer() int { return s.identity.Writer }

// Fleet is the fleet that the store belongs to; "" before it is registered.
func (s *Store) Fleet() string { return s.identity.Fleet }

// handleRegistered takes the writer ID. A core of another fleet is ignored: the store would
// mix the data of two fleets.
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

// handleRegistrationRejected ends the daemon, whose data folder must not be used.
func (s *Store) handleRegistrationRejected(rejected registration.Rejected) {
	if rejected.ID != s.self.ID || rejected.Incarnation != s.self.Incarnation {
		return
	}
	s.Emit(machine.Halt{Err: errs.New(errs.WrongFolder,
		"start with an empty data folder, which the other members of the shards' groups fill, or correct -seeds",
		"this data folder does not belong here: %s", rejected.Reason)})
}

// CorePeers tells the store the cores' addresses.
type CorePeers struct{ Peers []string }

// Apply sends the heartbeats there from now on.
func (c CorePeers) Apply(s *Store, _ clock.Micros) { s.cores = c.Peers }
