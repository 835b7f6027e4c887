package machine

// LogEvent asks the event loop to log one decision. It has no answer.
type LogEvent struct{ Event Event }

// Event is one kind of log line. Its fields become the fields of the line, under the
// names of their json tags (logging.Write).
type Event interface {
	// EventName is the value of the line's key "event". It is stable: operators search
	// and alert by it (docs/RUNBOOK.md).
	EventName() string
	// Severity returns how urgent the line is.
	Severity() Severity
}

// Severity is how urgent a log line is.
type Severity int

// The severities.
const (
	// SeverityInfo is for decisions of normal operation.
	SeverityInfo Severity = iota
	// SeverityWarning is for conditions that an operator should look at.
	SeverityWarning
	// SeverityError is for faults that stop the daemon or a part of it.
	SeverityError
)

// Info is embedded by events of normal operation.
type Info struct{}

// Severity returns SeverityInfo.
func (Info) Severity() Severity { return SeverityInfo }

// Warning is embedded by events that an operator should look at.
type Warning struct{}

// Severity returns SeverityWarning.
func (Warning) Severity() Severity { return SeverityWarning }

// Error is embedded by events of faults that stop the daemon or a part of it.
type Error struct{}

// Severity returns SeverityError.
func (Error) Severity() Severity { return SeverityError }
