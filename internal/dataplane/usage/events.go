package usage

import "tuliprudder/internal/machine"

// WindowDropped is the log event of a window whose counts were dropped before they were decided:
// no primary took them for long.
type WindowDropped struct {
	machine.Warning
	Window   uint64 `json:"window"`
	Requests int64  `json:"requests"`
}

// EventName is the event's key in the log.
func (WindowDropped) EventName() string { return "usage_window_dropped" }
