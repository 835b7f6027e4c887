package election

// GroupUnit is the unit of the replication group that holds the control state. The value is stored
// on disk and must never change.
const GroupUnit = "core"

// Unit and kind of the record that stores a core's vote. The values are stored on disk and must
// never change.
const (
	unitVote = "oath"
	kindVote = "oath"
)
