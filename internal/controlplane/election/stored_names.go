package election

// GroupUnit is the unit of the replication group that holds the control state. This
// spelling is on disk; it never changes.
const GroupUnit = "core"

// The unit and the kind of the record with a core's vote. These spellings are on disk; they
// never change.
const (
	unitVote = "oath"
	kindVote = "oath"
)
