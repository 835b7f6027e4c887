package replication

// The kinds of a group's records. These spellings are on disk; they never change.
const (
	KindSnapshot = "copy"
	KindEntry    = "entry"
	KindDrop     = "drop"
	// KindAdopt carries the state that is on disk over into a higher epoch.
	KindAdopt = "adopt"
)

// roleNames are the spellings of the roles in the operators' JSON and in heartbeats between
// cores; they never change.
var roleNames = map[Role]string{
	Idle:              "cold",
	SendingSnapshot:   "copying",
	AwaitingCommit:    "copied",
	Serving:           "serving",
	ReceivingSnapshot: "filling",
	Replicating:       "backing",
}
