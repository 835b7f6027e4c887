package eventloop

import "tuliprudder/internal/machine"

// The log events of the event loop.
type (
	// DiskConditionChanged reports the disk's new condition. While the disk is slow, the daemon
	// keeps its duties; while it accepts no writes (full, stalled, failing), the daemon gives
	// them up and acknowledges nothing.
	DiskConditionChanged struct {
		Condition string `json:"condition"`
		Reason    string `json:"reason,omitempty"`
		isHealthy bool
	}
	// Halted reports that the daemon exits, since continuing would break a guarantee.
	Halted struct {
		machine.Error
		Reason string `json:"reason"`
	}
	// StartWaitsForDisk reports that startup waits until the disk accepts writes.
	StartWaitsForDisk struct {
		machine.Warning
		Reason string `json:"reason"`
		Remedy string `json:"remedy"`
	}
	// StartResumed reports that the disk accepts writes again, and startup continues.
	StartResumed struct{ machine.Info }
)

// EventName returns the event's key in the log.
func (DiskConditionChanged) EventName() string { return "disk_condition_changed" }

// Severity returns a warning unless the disk is healthy.
func (e DiskConditionChanged) Severity() machine.Severity {
	if e.isHealthy {
		return machine.SeverityInfo
	}
	return machine.SeverityWarning
}

// EventName returns the event's key in the log.
func (Halted) EventName() string { return "halted" }

// EventName returns the event's key in the log.
func (StartWaitsForDisk) EventName() string { return "start_waits_for_disk" }

// EventName returns the event's key in the log.
func (StartResumed) EventName() string { return "start_resumed" }
