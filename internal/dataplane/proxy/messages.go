package proxy

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
)

// Input is what the gateway reports of a request and waits for the Decision on: a Request,
// then the AttemptResult of each Attempt.
type Input interface{ input() }

func (Request) input()       {}
func (AttemptResult) input() {}

// Request is a request that a caller sent.
type Request struct {
	// ID is the edge's own name for the request, unique among those in flight.
	ID string
	// Host and Path select the route. Host comes without a port, Path escaped.
	Host, Path string
	// APIKey is the tenant's API key that it carries; "" for none. It is never logged or listed.
	APIKey string
	// ReceivedAt is when its head arrived; 0 means now.
	ReceivedAt clock.Micros
	// CallerTimeout is how long the caller waits for the response; 0 if it did not say.
	CallerTimeout clock.Micros
	// PromptSegments are the segments of its prompt, in order.
	PromptSegments []PromptSegment
	// PromptTokens is how many tokens the server reads (prefill).
	PromptTokens int64
	// MaxOutputTokens is how many tokens the server generates at most (decode). No decision
	// depends on it yet.
	MaxOutputTokens int64
	// WantedWeights is the version of the weights that it has to be run with; 0 for any.
	WantedWeights int64
	// ResumesStream: the caller resumes a stream that was interrupted. No decision depends
	// on it yet.
	ResumesStream bool
}

// PromptSegment is a segment of a prompt that requests may share.
type PromptSegment struct {
	ID     string
	Tokens int64
}

// AttemptStarted reports that the server of the current attempt has sent the first part of
// its response: its prefill is done. The reply is empty.
type AttemptStarted struct {
	RequestID string
	Load      *endpoints.ReportedLoad // that the server told with the response's head; nil for none
	// WeightVersion is the version of the server's weights, as the head told it; 0 for none.
	WeightVersion int64
}

// AttemptResult reports how an Attempt went.
type AttemptResult struct {
	RequestID string
	Outcome   Outcome
	// ResponseStarted: a part of the response has reached the caller.
	ResponseStarted bool
	// ExecutionStarted: the server began to run it, of which no AttemptStarted told: its response is a success
	// and no event stream.
	ExecutionStarted bool
	// LongestEventGap is the longest time between two events of the response, over all attempts.
	LongestEventGap clock.Micros
	// ContextDone: the caller disconnected, or the deadline passed.
	ContextDone bool
	// LocalFailure: the cause is in this daemon and says nothing about the server.
	LocalFailure bool
	// Reason is the cause, for people.
	Reason string
	// Load is that of the server, as it told it with a response of which nothing was forwarded; nil
	// for none.
	Load *endpoints.ReportedLoad
	// WeightVersion is the version of the server's weights, as it told it last; 0 for none.
	WeightVersion int64
	// WrongWeights: with the outcome NotRun, the request wants other weights than the server has.
	WrongWeights bool
}

// Outcome is what is certain about an attempt (docs/ANSWERS.md).
type Outcome int

// The outcomes.
const (
	// NotSent: no byte of the request reached a server.
	NotSent Outcome = iota
	// NotRun: the server stated that it did not run the request.
	NotRun
	// Complete: the caller has the complete response.
	Complete
	// Failed: the server's response is a failure, of which nothing was forwarded.
	Failed
	// Interrupted: the response is missing or incomplete; the request may have run.
	Interrupted
	// Invalid: the request can't be sent to any server.
	Invalid
)

// countsAgainstServer tells whether a result that is neither a response nor a rejection by the
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

// Decision is what the gateway has to do next about a request: an Attempt, a BatchSubmission
// or nothing more (Done).
type Decision interface{ decision() }

func (Attempt) decision()         {}
func (BatchSubmission) decision() {}
func (Done) decision()            {}

// Attempt decides that the request is sent to a server; the gateway reports the AttemptResult.
type Attempt struct {
	Address, Server string // of the server: IP and port, and its name
	Route           *config.Route
	Identity        Identity
	Deadline        clock.Micros
	// IsLast: no attempt on another server can follow, so that the server's own failure is
	// forwarded to the caller.
	IsLast bool
}

// Identity is what a server is told of who sent a request.
type Identity struct {
	// IsAuthenticated: callers are known by their API keys. The server gets the name of the tenant, and
	// neither the key nor what the caller itself says of its tenant. Otherwise it gets these headers as they came.
	IsAuthenticated bool
	// Tenant is the name of the tenant whose key the request carries; "" for none.
	Tenant string
}

// BatchSubmission decides that the request's body is a batch to submit to the stores; the
// request goes to no server.
type BatchSubmission struct {
	Route    *config.Route
	Deadline clock.Micros
}

// Done decides that the request is finished.
type Done struct{}
