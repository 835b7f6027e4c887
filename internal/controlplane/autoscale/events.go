package autoscale

import "tuliprudder/internal/machine"

// TargetChanged is the log event of another number of servers for a zone of a service.
type TargetChanged struct {
	machine.Info
	Service     string  `json:"service"`
	Zone        string  `json:"zone"`
	From        int64   `json:"from"`
	To          int64   `json:"to"`
	Serving     int64   `json:"serving"`
	Utilization float64 `json:"utilization"` // of all zones' slots, in the last samples
	Misses      float64 `json:"misses"`      // part of the live requests, in the same
	Reason      string  `json:"reason"`
}

// EventName is the event's key in the log.
func (TargetChanged) EventName() string { return "servers_target_changed" }
