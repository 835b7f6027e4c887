package usage

import "tuliprudder/internal/machine"

// WindowsSkipped is the log event of windows that are too old to be reported any more.
type WindowsSkipped struct {
	machine.Warning
	First uint64 `json:"first_window"`
	Last  uint64 `json:"last_window"`
}

// EventName is the event's key in the log.
func (WindowsSkipped) EventName() string { return "usage_windows_skipped" }
