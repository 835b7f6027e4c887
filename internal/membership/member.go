// Package membership describes a daemon to the others: its kind, addresses, zone, incarnation and
// health status, as gossip spreads them (docs/DESIGN.md, section 3). It is data only and may be
// used from any goroutine.
package membership

import "encoding/json"

// ProtocolVersion is the version of the protocol that a daemon announces (Member.Version). From 2 on it
// knows the messages between voters (docs/DESIGN.md, section 3.4).
const ProtocolVersion = 2

// roles are the names of the kinds as operators read them.
var roles = map[string]string{Edge: "edge", Store: "store", Core: "core"}

// Role is the name of a kind of daemon as operators read it; a kind that is not known is its own
// name.
func Role(kind string) string {
	if role, known := roles[kind]; known {
		return role
	}
	return kind
}

// Status is a daemon's health as the directory knows it. Of one incarnation and statement a
// higher status replaces a lower one. The numbers are gossiped; they never change.
type Status uint64

const (
	// Alive daemons take part.
	Alive Status = iota
	// Suspect daemons did not reply to probes. They take part until they are declared dead.
	Suspect
	// Dead daemons did not refute the suspicion in time.
	Dead
	// Left daemons stopped on purpose.
	Left
	statusCount
)

// String gives the status as operators read it.
func (s Status) String() string { return statusNames[s] }

// Member is one daemon as the directory knows it. It is gossiped as JSON; the keys are those of
// the first release and never change.
type Member struct {
	ID   string `json:"ID"`
	Kind string `json:"Kind"`
	Zone string `json:"Zone"`
	Peer string `json:"Peer"` // address for other daemons
	HTTP string `json:"HTTP"` // address for callers and operators
	// Incarnation is a higher number at every start of the daemon.
	Incarnation uint64 `json:"Incarnation"`
	// Statement counts the daemon's announcements about itself in this incarnation: a higher one
	// refutes what others say of it. It is SWIM's incarnation number.
	Statement uint64 `json:"Word"`
	Status    Status `json:"Standing"`
	// Draining daemons are about to stop and take no new work.
	Draining bool `json:"Draining"`
	// Version is the Release that the daemon runs; 0 before there were versions.
	Version int `json:"Version"`
	// Name is the operators' name of the machine; "" where it has none.
	Name string `json:"Name,omitempty"`
}

// Seq orders the updates about one incarnation: by the statement, then by the status.
func (m Member) Seq() uint64 { return m.Statement*uint64(statusCount) + uint64(m.Status) }

// Key is the update key of a daemon.
func Key(id string) string { return KeyPrefix + id }

// Encode encodes a member as the value of an update. Its fields can always be encoded.
func (m Member) Encode() []byte {
	data, _ := json.Marshal(m)
	return data
}

// Decode decodes a member from the value of an update; false where it is none.
func Decode(data []byte) (Member, bool) {
	var m Member
	return m, json.Unmarshal(data, &m) == nil && m.ID != ""
}
