package gossip

import "tuliprudder/internal/machine"

// MemberStatusChanged is logged when the status or the incarnation of a member changes.
type MemberStatusChanged struct {
	machine.Info
	Member      string `json:"member"`
	Kind        string `json:"kind"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
}

// EventName returns the event's key in the log.
func (MemberStatusChanged) EventName() string { return "member_status_changed" }
