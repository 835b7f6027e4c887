package placement

import "tuliprudder/internal/machine"

// Log events of the placement.
type (
	// ShardAssigned is logged when a shard gets a new replication group.
	ShardAssigned struct {
		machine.Info
		Shard  int      `json:"shard"`
		Epoch  uint64   `json:"epoch"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
		// ReplicasMissing is the number of configured copies that the group lacks because there are
		// too few suitable stores.
		ReplicasMissing int `json:"copies_missing,omitempty"`
	}
	// ShardMoved is logged when a shard moves to another store to balance load or to spread copies
	// over zones.
	ShardMoved struct {
		machine.Info
		Shard  int      `json:"shard"`
		Epoch  uint64   `json:"epoch"`
		Reason string   `json:"reason"`
		Group  []string `json:"group"`
	}
)

// EventName returns the event's key in the log.
func (ShardAssigned) EventName() string { return "shard_assigned" }

// EventName returns the event's key in the log.
func (ShardMoved) EventName() string { return "shard_moved" }
