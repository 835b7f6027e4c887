// Package identity says who a daemon is (DESIGN §3).
package identity

import "encoding/json"

// Release is the version daemons tell each other. From 2 on they know the roll's
// messages (DESIGN §3.4).
const Release = 2

// Kinds of daemon. The spellings are those of the first release: they are on the
// wire (Person.Kind), in daemons' identifiers and in the identity file of a data
// folder, where daemons and folders of a neighbouring release read them.
const (
	Edge  = "trailhead"
	Store = "refuge"
	Core  = "cairn"
)

var roles = map[string]string{Edge: "edge", Store: "store", Core: "core"}

// Role is the name of a kind of daemon as operators read it; a kind that is not
// known is its own name.
func Role(kind string) string {
	if role, known := roles[kind]; known {
		return role
	}
	return kind
}

// Standing is how sound a daemon is held to be; a higher one replaces a lower
// one of the same incarnation and word.
type Standing uint64

// The standings in the order in which they replace each other.
const (
	Sound Standing = iota
	Suspect
	Dead
	Left
	standings
)

var standingNames = map[Standing]string{Sound: "sound", Suspect: "suspect", Dead: "dead", Left: "left"}

// String names the standing.
func (s Standing) String() string { return standingNames[s] }

// Person is one daemon as the directory knows it.
type Person struct {
	ID, Kind, Zone string
	Peer, HTTP     string
	Incarnation    uint64
	Word           uint64 // how often it spoke for itself in this incarnation
	Standing       Standing
	Draining       bool
	Version        int
	Name           string `json:",omitempty"` // the operator's name of the machine; "": none
}

// Seq orders what is said of one incarnation.
func (p Person) Seq() uint64 { return p.Word*uint64(standings) + uint64(p.Standing) }

// Key is the news key of a daemon.
func Key(id string) string { return "daemon/" + id }

// Encode and Decode carry a person as news.
func (p Person) Encode() []byte {
	data, _ := json.Marshal(p)
	return data
}

// Decode reads a person from news.
func Decode(data []byte) (Person, bool) {
	var p Person
	return p, json.Unmarshal(data, &p) == nil && p.ID != ""
}
