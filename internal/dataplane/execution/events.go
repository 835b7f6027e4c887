package execution

import "tuliprudder/internal/machine"

// ItemDeferred is the log event of an item that the queue did not accept; it is submitted again
// later.
type ItemDeferred struct {
	machine.Info
	Item   string `json:"item"`
	Reason string `json:"reason"`
}

// ItemOutputDropped is the log event of an opaque item whose events are more than is kept between
// attempts; its next attempt starts from the beginning.
type ItemOutputDropped struct {
	machine.Warning
	Item   string `json:"item"`
	Bytes  int    `json:"bytes"`
	Remedy string `json:"remedy"`
}

// EventName is the event's key in the log.
func (ItemDeferred) EventName() string { return "item_deferred" }

// EventName is the event's key in the log.
func (ItemOutputDropped) EventName() string { return "item_output_dropped" }
