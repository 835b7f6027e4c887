package eventloop

import "tuliprudder/internal/machine"

// The log events of the event loop.
type (
	// DiskConditionChanged tells how the disk is now. While it is slow, the daemon keeps its
	// duties; while it takes no writes (full, stalled, failing), it gives them up, and
	// acknowledges nothing.
	DiskConditionChanged struct {
		Condition string `json:"condition"`
		Reason    string `json:"reason,omitempty"`
		isHealthy bool
	}
	// Halted tells that the daemon ends, since to go on would break a guarantee.
	Halted struct {
		machine.Error
		Reason string `json:"reason"`
	}
	// StartWaitsForDisk tells that the start waits until the disk takes writes.
	StartWaitsForDisk struct {
		machine.Warning
		Reason string `json:"reason"`
		Remedy string `json:"remedy"`
	}
	// StartResumed tells that the disk takes writes, and the start goes on.
	StartResumed struct{ machine.Info }
)

// EventName is the event's key in the log.
func (DiskConditionChanged) EventName() string { return "disk_condition_changed" }

// Severity is a warning unless the disk is healthy.
func (e DiskConditionChanged) Severity() machine.Severity {
	if e.isHealthy {
		return machine.SeverityInfo
	}
	return machine.SeverityWarning
}

// EventName is the event's key in the log.
func (Halted) EventName() string { return "halted" }

// EventName is the event's key in the log.
func (StartWaitsForDisk) EventName() string { return "start_waits_for_disk" }

// EventName is the event's key in the log.
func (StartResumed) EventName() string { return "start_resumed" }
