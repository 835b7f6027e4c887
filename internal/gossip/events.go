package gossip

import "tuliprudder/internal/machine"

// MemberStatusChanged is the log event of a member whose status or incarnation is
// another one than before.
type MemberStatusChanged struct {
	machine.Info
	Member      string `json:"member"`
	Kind        string `json:"kind"`
	Status      string `json:"status"`
	Incarnation uint64 `json:"incarnation"`
}

// EventName is the event's key in the log.
func (MemberStatusChanged) EventName() string { return "member_status_changed" }
