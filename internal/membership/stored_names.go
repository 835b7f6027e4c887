package membership

// Kinds of daemon. The values date from the first release and must never change: they are gossiped
// (Member.Kind) and stored in the identity file of a data folder, where daemons of the previous or
// next release read them. IDs that earlier releases generated also begin with them, but nothing
// parses these IDs.
const (
	Edge  = "trailhead"
	Store = "refuge"
	Core  = "cairn"
)

// KeyPrefix is the prefix of the update key of a daemon; KeyKind is the same without the slash. The
// values are gossiped and must never change.
const (
	KeyKind   = "daemon"
	KeyPrefix = KeyKind + "/"
)

// statusNames are the names of the statuses in the operators' JSON API and in the log. They must never
// change.
var statusNames = map[Status]string{Alive: "sound", Suspect: "suspect", Dead: "dead", Left: "left"}
