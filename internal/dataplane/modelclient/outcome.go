package modelclient

// Outcome is what is known for certain about a request that was sent to a server.
type Outcome int

// The outcomes.
const (
	// NotStarted: the request did not run.
	NotStarted Outcome = iota
	// Complete: the response has its finish reason and its end marker.
	Complete
	// Interrupted: the response is missing or incomplete; the request may have run, partially or completely.
	Interrupted
	// Rejected: the server rejected the request as invalid; no server will run it.
	Rejected
)

// outcomeNames appear in the decision log, which operators read as JSON: they never change.
var outcomeNames = map[Outcome]string{
	NotStarted:  "not started",
	Complete:    "complete",
	Interrupted: "cut",
	Rejected:    "rejected",
}

// String returns the name of the outcome in the decision log.
func (o Outcome) String() string { return outcomeNames[o] }
