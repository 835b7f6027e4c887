package machine

// LogEvent has the event loop log one decision. It has no answer.
type LogEvent struct{ Event Event }

// Event is one kind of log line. Its fields become the fields of the line, under the
// names of their json tags (logging.Write).
type Event interface {
	// EventName is the value of the line's key "event". It is stable: operators search
	// and alert by it (docs/RUNBOOK.md).
	EventName() string
	// Severity tells how urgent the line is.
	Severity() Severity
}

// Severity is how urgent a log line is.
type Severity int

// The severities.
const (
	// SeverityInfo is a decision of ordinary operation.
	SeverityInfo Severity = iota
	// SeverityWarning is a condition that an operator should look at.
	SeverityWarning
	// SeverityError is a fault that ends the daemon or a part of it.
	SeverityError
)

// Info is embedded by events of ordinary operation.
type Info struct{}

// Severity is SeverityInfo.
func (Info) Severity() Severity { return SeverityInfo }

// Warning is embedded by events that an operator should look at.
type Warning struct{}

// Severity is SeverityWarning.
func (Warning) Severity() Severity { return SeverityWarning }

// Error is embedded by events of faults that end the daemon or a part of it.
type Error struct{}

// Severity is SeverityError.
func (Error) Severity() Severity { return SeverityError }
