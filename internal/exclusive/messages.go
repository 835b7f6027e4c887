package exclusive

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// Result is the result of performing the act of a permit.
type Result int

// Results of a permit.
const (
	// NoAnswer: the external system did not answer in time; whether it accepted the act is unknown.
	NoAnswer Result = iota
	// Done: the external system accepted the act.
	Done
	// RetryLater: the act can be retried later.
	RetryLater
	// Refused: the external system rejected the act permanently.
	Refused
)

// resultNames are the names of the results as shown to operators.
var resultNames = map[Result]string{NoAnswer: "no_answer", Done: "done", RetryLater: "retry_later", Refused: "refused"}

// String returns the result's name as shown to operators.
func (r Result) String() string { return resultNames[r] }

// Outcome is the result of a permit.
type Outcome struct {
	ID      PermitID
	Subject Subject
	Number  uint64
	Fence   uint64
	Result  Result
}

// Messages between nodes and the primary. gob puts the names of these types and of their fields on
// the wire, so they must not change.
type (
	// Request requests permits, and reports the outcomes of earlier ones. It may be resent: repeated
	// outcomes are ignored.
	Request struct {
		Holder   Holder
		Outcomes []Outcome
		// ReportOnly: the node accepts no more permits and gives up its subjects.
		ReportOnly bool
	}
	// Response holds the permits that the node may use now; usually there are none.
	Response struct {
		Permits []Permit
		// Validity is how long the permits are valid, from the time at which the request was sent.
		Validity clock.Micros
	}
)

func init() { transport.Register(Request{}, Response{}) }
