package discovery

import "tuliprudder/internal/machine"

// EndpointListUnreadable is logged when a read of the platform's endpoint list failed. The known
// endpoints stay in use.
type EndpointListUnreadable struct {
	machine.Warning
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// EventName returns the event's key in the log.
func (EndpointListUnreadable) EventName() string { return "endpoint_list_unreadable" }
