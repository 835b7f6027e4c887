package membership

// Kinds of daemon. The spellings are those of the first release: they are gossiped
// (Member.Kind) and in the identity file of a data folder, where daemons of a neighbouring
// release read them. They never change. Identifiers that earlier releases made begin with
// them too; nothing parses that.
const (
	Edge  = "trailhead"
	Store = "refuge"
	Core  = "cairn"
)

// KeyPrefix begins the update key of a daemon; KeyKind is that without the slash. These spellings
// are gossiped; they never change.
const (
	KeyKind   = "daemon"
	KeyPrefix = KeyKind + "/"
)

// statusNames are the spellings of the statuses in operators' JSON and in the log; they never
// change.
var statusNames = map[Status]string{Alive: "sound", Suspect: "suspect", Dead: "dead", Left: "left"}
