package replication

// The kinds of a group's records. They are stored on disk and must not change.
const (
	KindSnapshot = "copy"
	KindEntry    = "entry"
	KindDrop     = "drop"
	// KindAdopt carries the state on disk over into a higher epoch.
	KindAdopt = "adopt"
)

// roleNames are the names of the roles in the JSON shown to operators and in heartbeats between
// cores. They must not change.
var roleNames = map[Role]string{
	Idle:              "cold",
	SendingSnapshot:   "copying",
	AwaitingCommit:    "copied",
	Serving:           "serving",
	ReceivingSnapshot: "filling",
	Replicating:       "backing",
}
