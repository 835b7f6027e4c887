package autoscale

import "tuliprudder/internal/machine"

// TargetChanged is logged when the target number of servers of a zone of a service changes.
type TargetChanged struct {
	machine.Info
	Service     string  `json:"service"`
	Zone        string  `json:"zone"`
	From        int64   `json:"from"`
	To          int64   `json:"to"`
	Serving     int64   `json:"serving"`
	Utilization float64 `json:"utilization"` // fraction of the slots in all zones in use, over the last samples
	Misses      float64 `json:"misses"`      // fraction of live requests that missed their targets, in the same samples
	Reason      string  `json:"reason"`
}

// EventName returns the event's key in the log.
func (TargetChanged) EventName() string { return "servers_target_changed" }
