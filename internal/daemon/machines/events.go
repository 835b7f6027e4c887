package machines

import "tuliprudder/internal/machine"

// ConfigurationApplied is logged when a configuration has come into force at this daemon.
type ConfigurationApplied struct {
	machine.Info
	Version uint64 `json:"version"`
}

// ConfigurationUnreadable is logged when this daemon can't read a confirmed configuration;
// the previous one stays in force.
type ConfigurationUnreadable struct {
	machine.Warning
	Version uint64 `json:"version"`
	Reason  string `json:"reason"`
}

// EventName returns the event's key in the log.
func (ConfigurationApplied) EventName() string { return "configuration_applied" }

// EventName returns the event's key in the log.
func (ConfigurationUnreadable) EventName() string { return "configuration_unreadable" }
