package proxy

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
)

// Input is a message of the gateway that is answered with a Decision: first a Request, then the
// AttemptResult of each Attempt.
type Input interface{ input() }

func (Request) input()       {}
func (AttemptResult) input() {}

// Request is a request that a caller sent.
type Request struct {
	// ID identifies the request on this edge; it is unique among the requests in flight.
	ID string
	// Host and Path select the route. Host has no port, Path is escaped.
	Host, Path string
	// APIKey is the API key that the request carries; "" for none. It is never logged or listed.
	APIKey string
	// ReceivedAt is when the head of the request arrived; 0 means now.
	ReceivedAt clock.Micros
	// CallerTimeout is how long the caller waits for the response; 0 if the caller did not set it.
	CallerTimeout clock.Micros
	// AnswerBy is when the response must be complete because this daemon stops then; 0 for no such time.
	AnswerBy clock.Micros
	// PromptSegments are the segments of the prompt, in order.
	PromptSegments []PromptSegment
	// PromptTokens is the number of prompt tokens that the server has to prefill.
	PromptTokens int64
	// MaxOutputTokens is the maximum number of tokens that the server generates (decode). No
	// decision depends on it yet.
	MaxOutputTokens int64
	// WantedWeights is the version of the weights that the request requires; 0 for any.
	WantedWeights int64
	// ResumesStream says that the caller resumes an interrupted stream. No decision depends on
	// it yet.
	ResumesStream bool
}

// PromptSegment is a segment of a prompt that requests may share.
type PromptSegment struct {
	ID     string
	Tokens int64
}

// AttemptStarted reports that the server of the current attempt has sent the first part of its
// response, so that the prefill is complete. The reply is empty.
type AttemptStarted struct {
	RequestID string
	Load      *endpoints.ReportedLoad // reported by the server in the response's head; nil for none
	// WeightVersion is the version of the server's weights, as reported in the head; 0 for none.
	WeightVersion int64
}

// AttemptResult reports how an Attempt went.
type AttemptResult struct {
	RequestID string
	Outcome   Outcome
	// ResponseStarted says that a part of the response has reached the caller.
	ResponseStarted bool
	// ExecutionStarted says that the server started to run the request and no AttemptStarted reported it,
	// because the response is a success and not an event stream.
	ExecutionStarted bool
	// LongestEventGap is the longest time between two events of the response, over all attempts.
	LongestEventGap clock.Micros
	// ContextDone says that the caller disconnected or the deadline passed.
	ContextDone bool
	// LocalFailure says that the cause is in this daemon and does not concern the server.
	LocalFailure bool
	// Reason is the cause, for error messages.
	Reason string
	// Load is the load that the server reported with a response of which nothing was forwarded; nil
	// for none.
	Load *endpoints.ReportedLoad
	// WeightVersion is the version of the server's weights, as it last reported it; 0 for none.
	WeightVersion int64
	// WrongWeights says, with the outcome NotRun, that the request requires another version of the
	// weights than the server has.
	WrongWeights bool
}

// Outcome says how far an attempt is known to have got (docs/ANSWERS.md).
type Outcome int

// The outcomes.
const (
	// NotSent means that no byte of the request reached a server.
	NotSent Outcome = iota
	// NotRun means that the server stated that it did not run the request.
	NotRun
	// Complete means that the caller has the complete response.
	Complete
	// Failed means that the server's response is a failure, of which nothing was forwarded.
	Failed
	// Interrupted means that the response is missing or incomplete; the request may have run.
	Interrupted
	// Invalid means that the request cannot be sent to any server.
	Invalid
)

// countsAgainstServer reports whether a result that is neither a response nor a rejection by the
// server counts as a failure of the server.
func (result AttemptResult) countsAgainstServer() bool {
	switch result.Outcome {
	case Invalid:
		return false
	case NotSent:
		return !result.LocalFailure && !result.ContextDone
	}
	return !result.ContextDone
}

// Decision is the gateway's next step for a request: an Attempt, a BatchSubmission, or none
// (Done).
type Decision interface{ decision() }

func (Attempt) decision()         {}
func (BatchSubmission) decision() {}
func (Done) decision()            {}

// Attempt tells the gateway to send the request to a server and to report the AttemptResult.
type Attempt struct {
	Address, Server string // the server's IP and port, and its name
	Route           *config.Route
	Identity        Identity
	Deadline        clock.Micros
	// IsLast says that no attempt on another server can follow, so that the server's own failure
	// response is forwarded to the caller.
	IsLast bool
}

// Identity describes to a server who sent a request.
type Identity struct {
	// IsAuthenticated says that callers are identified by their API keys. The server receives the tenant's
	// name, and neither the key nor a tenant name set by the caller. Otherwise these headers are forwarded
	// unchanged.
	IsAuthenticated bool
	// Tenant is the name of the tenant whose key the request carries; "" for none.
	Tenant string
}

// BatchSubmission tells the gateway to submit the request's body as a batch to the stores; the
// request is not sent to a server.
type BatchSubmission struct {
	Route    *config.Route
	Deadline clock.Micros
}

// Done tells the gateway that the request is finished.
type Done struct{}
