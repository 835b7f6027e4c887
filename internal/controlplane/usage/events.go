package usage

import "tuliprudder/internal/machine"

// WindowsSkipped is logged when windows are skipped because they are too old to be reported.
type WindowsSkipped struct {
	machine.Warning
	First uint64 `json:"first_window"`
	Last  uint64 `json:"last_window"`
}

// EventName returns the event's key in the log.
func (WindowsSkipped) EventName() string { return "usage_windows_skipped" }
