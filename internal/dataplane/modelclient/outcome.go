package modelclient

// Outcome is what is certain about a request that was sent to a server.
type Outcome int

// The outcomes.
const (
	// NotStarted: it certainly did not run.
	NotStarted Outcome = iota
	// Complete: the response has its finish reason and its end marker.
	Complete
	// Interrupted: the response is missing or incomplete; it may have run, in part or completely.
	Interrupted
	// Rejected: the server read it and rejected it for what it asks; no server will run it.
	Rejected
)

// outcomeNames stand in the decision log, which operators read as JSON: they never change.
var outcomeNames = map[Outcome]string{
	NotStarted:  "not started",
	Complete:    "complete",
	Interrupted: "cut",
	Rejected:    "rejected",
}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }
