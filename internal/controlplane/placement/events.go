package placement

import "tuliprudder/internal/machine"

// The log events of the placement.
type (
	// ShardAssigned tells that a shard has a new replication group.
	ShardAssigned struct {
		machine.Info
		Shard  int      `json:"shard"`
		Epoch  uint64   `json:"epoch"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
		// ReplicasMissing is how many copies fewer than configured the group has, for want of
		// stores.
		ReplicasMissing int `json:"copies_missing,omitempty"`
	}
	// ShardMoved tells that a shard moves to another store for even shares or zones.
	ShardMoved struct {
		machine.Info
		Shard  int      `json:"shard"`
		Epoch  uint64   `json:"epoch"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
	}
)

// EventName is the event's key in the log.
func (ShardAssigned) EventName() string { return "shard_assigned" }

// EventName is the event's key in the log.
func (ShardMoved) EventName() string { return "shard_moved" }
