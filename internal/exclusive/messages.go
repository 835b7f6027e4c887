package exclusive

import "tuliprudder/internal/transport"

// Result is how a permit ended.
type Result int

// The results.
const (
	// NoAnswer: the outside system gave none in time; whether it took the act is unknown.
	NoAnswer Result = iota
	// Done: it took the act.
	Done
	// RetryLater: it answered that it takes the act later.
	RetryLater
	// Refused: it will never take the act.
	Refused
)

// Outcome is the result of a permit.
type Outcome struct {
	Subject Subject
	Number  uint64
	Holder  string
	Fence   uint64
	Result  Result
}

// Messages between nodes and the primary. The names of these types and of their fields are on the
// wire between daemons (gob).
type (
	// Request asks the primary for permits, and reports the outcomes of earlier ones. It may be sent
	// again: an outcome counts once.
	Request struct {
		Holder   string // the node's name
		Outcomes []Outcome
	}
	// Response has the permits that the node may perform now; none is usual.
	Response struct{ Permits []Permit }
)

func init() { transport.Register(Request{}, Response{}) }
