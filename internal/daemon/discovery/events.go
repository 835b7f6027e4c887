package discovery

import "tuliprudder/internal/machine"

// EndpointListUnreadable is the log event of a reading of the platform's list that failed;
// the endpoints that are known stay in use.
type EndpointListUnreadable struct {
	machine.Warning
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// EventName is the event's key in the log.
func (EndpointListUnreadable) EventName() string { return "endpoint_list_unreadable" }
