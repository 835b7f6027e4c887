package usage

import "tuliprudder/internal/machine"

// WindowDropped is logged when the counts of a window are dropped before they are decided, because no
// primary has decided them for a long time.
type WindowDropped struct {
	machine.Warning
	Window   uint64 `json:"window"`
	Requests int64  `json:"requests"`
}

// EventName returns the event's key in the log.
func (WindowDropped) EventName() string { return "usage_window_dropped" }
