package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// These are the log events of a store.
type (
	// ShardOwned reports that this store became the primary of a shard.
	ShardOwned struct {
		machine.Info
		Shard      int      `json:"shard"`
		Epoch      uint64   `json:"epoch"`
		Replicas   []string `json:"replicas"`
		FormerRole string   `json:"former_role"`
	}
	// ShardServing reports that every member of a shard's group has the state and that this
	// store serves the shard.
	ShardServing struct {
		machine.Info
		Shard         int    `json:"shard"`
		Epoch         uint64 `json:"epoch"`
		FirstPosition int64  `json:"first_position"`
	}
	// ShardTransferred reports that this store lost its role as the primary of a shard under an epoch.
	// Usually another store owns the shard now.
	ShardTransferred struct {
		machine.Info
		Shard               int `json:"shard"`
		UnfinishedPositions int `json:"unfinished_positions"`
	}
	// ForeignCoreIgnored reports that a core of another fleet tried to register this store.
	ForeignCoreIgnored struct {
		machine.Warning
		Peer   string `json:"peer"`
		Fleet  string `json:"fleet"`
		Remedy string `json:"remedy"`
	}
	// DiskWritable reports that the disk is writable again. The store is assigned shards again
	// after the probation.
	DiskWritable struct {
		machine.Info
		ResumesAfterUS clock.Micros `json:"resumes_after_us"`
	}
	// DiskUnwritable reports that the disk is not writable. The store's shards move to other
	// stores.
	DiskUnwritable struct {
		machine.Warning
		Reason      string `json:"reason"`
		OwnedShards int    `json:"owned_shards"`
	}
)

// EventName is the event's key in the log.
func (ShardOwned) EventName() string { return "shard_owned" }

// EventName is the event's key in the log.
func (ShardServing) EventName() string { return "shard_serving" }

// EventName is the event's key in the log.
func (ShardTransferred) EventName() string { return "shard_handed_over" }

// EventName is the event's key in the log.
func (ForeignCoreIgnored) EventName() string { return "foreign_core_ignored" }

// EventName is the event's key in the log.
func (DiskWritable) EventName() string { return "disk_writable" }

// EventName is the event's key in the log.
func (DiskUnwritable) EventName() string { return "disk_unwritable" }
