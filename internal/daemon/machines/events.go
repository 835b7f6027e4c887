package machines

import "tuliprudder/internal/machine"

// ConfigurationApplied is the log event of a configuration that is in force at this
// daemon.
type ConfigurationApplied struct {
	machine.Info
	Version uint64 `json:"version"`
}

// ConfigurationUnreadable is the log event of a confirmed configuration that this daemon
// can't read; the one before stays in force.
type ConfigurationUnreadable struct {
	machine.Warning
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// EventName is the event's key in the log.
func (ConfigurationApplied) EventName() string { return "configuration_applied" }

// EventName is the event's key in the log.
func (ConfigurationUnreadable) EventName() string { return "configuration_unreadable" }
