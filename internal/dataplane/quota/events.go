package quota

import "tuliprudder/internal/machine"

// Log events of an account's owner.
type (
	// AccountOpened is logged when this daemon opens an account. The account grants once there is a
	// report on each of the queues.
	AccountOpened struct {
		machine.Info
		Tenant string `json:"tenant,omitempty"`
		Route  string `json:"route,omitempty"`
		Epoch  uint64 `json:"epoch"`
		Queues int    `json:"queues"`
	}
	// QuotaExceeded is logged when daemons report more work of an account than its quota. This is
	// expected after the quota was lowered; otherwise it is a bug.
	QuotaExceeded struct {
		machine.Warning
		Tenant   string         `json:"tenant,omitempty"`
		Route    string         `json:"route,omitempty"`
		Epoch    uint64         `json:"epoch"`
		Quota    int64          `json:"quota"`
		InUse    int            `json:"in_use"`
		Reported map[string]int `json:"reported"` // by daemon
		Remedy   string         `json:"remedy"`
	}
)

// EventName returns the event's key in the log.
func (AccountOpened) EventName() string { return "quota_account_opened" }

// EventName returns the event's key in the log.
func (QuotaExceeded) EventName() string { return "quota_exceeded" }
