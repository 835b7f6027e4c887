// Package membership defines the description of a daemon that is gossiped to the others: its kind,
// addresses, zone, incarnation and health status (docs/DESIGN.md, section 3). It has data types only,
// which may be used from any goroutine.
package membership

import "encoding/json"

// ProtocolVersion is the protocol version that this daemon announces (Member.Version). Version 2 adds
// the messages between voters (docs/DESIGN.md, section 3.4).
const ProtocolVersion = 2

// roles maps each kind of daemon to the role name that operators see.
var roles = map[string]string{Edge: "edge", Store: "store", Core: "core"}

// Role returns the role name of a kind of daemon that operators see. An unknown kind is returned
// unchanged.
func Role(kind string) string {
	if role, known := roles[kind]; known {
		return role
	}
	return kind
}

// Status is the health of a daemon in the directory. Within the same incarnation and statement a
// higher status replaces a lower one. The numbers are gossiped and must never change.
type Status uint64

const (
	// Alive daemons take part in the fleet.
	Alive Status = iota
	// Suspect daemons did not reply to probes. They take part until they are declared dead.
	Suspect
	// Dead daemons did not refute the suspicion in time.
	Dead
	// Left daemons have stopped intentionally.
	Left
	statusCount
)

// String returns the name of the status that operators see.
func (s Status) String() string { return statusNames[s] }

// Member describes a daemon in the directory. It is gossiped as JSON; the keys are those of the first
// release and must never change.
type Member struct {
	ID   string `json:"ID"`
	Kind string `json:"Kind"`
	Zone string `json:"Zone"`
	Peer string `json:"Peer"` // address for other daemons
	HTTP string `json:"HTTP"` // address for callers and operators
	// Incarnation is a number that increases at every start of the daemon.
	Incarnation uint64 `json:"Incarnation"`
	// Statement is increased with the daemon's announcements about itself in this incarnation: a
	// higher number refutes what other daemons say of it. It is SWIM's incarnation number.
	Statement uint64 `json:"Word"`
	Status    Status `json:"Standing"`
	// Draining daemons are about to stop and take no new work.
	Draining bool `json:"Draining"`
	// Version is the ProtocolVersion of the daemon; 0 in releases before versions were introduced.
	Version int `json:"Version"`
	// Name is the name that the operators gave the machine; "" if it has none.
	Name string `json:"Name,omitempty"`
}

// Seq returns the sequence number that orders the updates about one incarnation: by statement, then
// by status.
func (m Member) Seq() uint64 { return m.Statement*uint64(statusCount) + uint64(m.Status) }

// Key returns the update key of a daemon.
func Key(id string) string { return KeyPrefix + id }

// Encode encodes a member as the value of an update. Encoding these fields can't fail.
func (m Member) Encode() []byte {
	data, _ := json.Marshal(m)
	return data
}

// Decode decodes a member from the value of an update. It returns false if the value is not a member.
func Decode(data []byte) (Member, bool) {
	var m Member
	return m, json.Unmarshal(data, &m) == nil && m.ID != ""
}
