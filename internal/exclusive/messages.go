package exclusive

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// Result is how a permit ended.
type Result int

// The results.
const (
	// NoAnswer: the outside system gave none in time; whether it took the act is unknown.
	NoAnswer Result = iota
	// Done: it took the act.
	Done
	// RetryLater: it can take the act later.
	RetryLater
	// Refused: it will never take the act.
	Refused
)

// resultNames are the resultNames' names for operators.
var resultNames = map[Result]string{NoAnswer: "no_answer", Done: "done", RetryLater: "retry_later", Refused: "refused"}

// String is the result's name for operators.
func (r Result) String() string { return resultNames[r] }

// Outcome is the result of a permit.
type Outcome struct {
	ID      PermitID
	Subject Subject
	Number  uint64
	Fence   uint64
	Result  Result
}

// Messages between nodes and the primary. The names of these types and of their fields are on the
// wire between daemons (gob).
type (
	// Request requests permits, and reports the outcomes of earlier ones. It may be sent again: an
	// outcome counts once.
	Request struct {
		Holder   Holder
		Outcomes []Outcome
		// ReportOnly: the node takes no permit any more, and leaves its subjects.
		ReportOnly bool
	}
	// Response has the permits that the node may perform now; none is usual.
	Response struct {
		Permits []Permit
		// Validity is for how long they may be performed, from the moment at which the request was sent.
		Validity clock.Micros
	}
)

func init() { transport.Register(Request{}, Response{}) }
