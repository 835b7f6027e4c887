package roles

import "tuliprudder/internal/machine"

// ArchivedBatchUnreadable is logged when an archived batch is damaged. The store then exits, so
// that the other replicas of its shards take over.
type ArchivedBatchUnreadable struct {
	machine.Error
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// EventName returns the event's key in the log.
func (ArchivedBatchUnreadable) EventName() string { return "archived_batch_unreadable" }

// ConnectionClosedUnanswered is logged when this daemon closed a caller's connection after it had
// read part of a request and before it wrote any part of the response.
type ConnectionClosedUnanswered struct {
	machine.Warning
	Caller       string `json:"caller"`
	RequestBytes int64  `json:"request_bytes"`
	AgeUS        int64  `json:"age_us"` // since the request's first byte was read
}

// EventName returns the event's key in the log.
func (ConnectionClosedUnanswered) EventName() string { return "connection_closed_unanswered" }
