package roles

import "tuliprudder/internal/machine"

// ArchivedBatchUnreadable is the log event of an archived batch that is damaged; the store
// ends, so that its shards' other replicas serve.
type ArchivedBatchUnreadable struct {
	machine.Error
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// EventName is the event's key in the log.
func (ArchivedBatchUnreadable) EventName() string { return "archived_batch_unreadable" }

// ConnectionClosedUnanswered is the log event of a caller's connection that this daemon closed
// after it had read something of a request and before it wrote anything of the response.
type ConnectionClosedUnanswered struct {
	machine.Warning
	Caller       string `json:"caller"`
	RequestBytes int64  `json:"request_bytes"`
	AgeUS        int64  `json:"age_us"` // since the request's first byte was read
}

// EventName is the event's key in the log.
func (ConnectionClosedUnanswered) EventName() string { return "connection_closed_unanswered" }
