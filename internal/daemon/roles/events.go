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
