package usage

import "tuliprudder/internal/machine"

// WindowsGivenUp is the log event of windows that are too old to be reported any more.
type WindowsGivenUp struct {
	machine.Warning
	First uint64 `json:"first_window"`
	Last  uint64 `json:"last_window"`
}

// EventName is the event's key in the log.
func (WindowsGivenUp) EventName() string { return "usage_windows_given_up" }
