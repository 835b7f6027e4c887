package execution

import "tuliprudder/internal/machine"

// ItemDeferred is the log event for an item that the queue did not accept and that is submitted
// again later.
type ItemDeferred struct {
	machine.Info
	Item   string `json:"item"`
	Reason string `json:"reason"`
}

// ItemOutputDropped is the log event for an opaque item whose events exceed the size limit for
// events kept between attempts; its next attempt starts from the beginning.
type ItemOutputDropped struct {
	machine.Warning
	Item   string `json:"item"`
	Bytes  int    `json:"bytes"`
	Remedy string `json:"remedy"`
}

// EventName returns the event's key in the log.
func (ItemDeferred) EventName() string { return "item_deferred" }

// EventName returns the event's key in the log.
func (ItemOutputDropped) EventName() string { return "item_output_dropped" }
