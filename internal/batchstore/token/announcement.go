package token

import (
	"fmt"

	"tuliprudder/internal/batchstore/shard"
)

// OwnedShard describes a shard in its owner's announcement.
type OwnedShard struct {
	Shard         int           `json:"slot"`
	Epoch         uint64        `json:"epoch"`
	LastPositions map[int]int64 `json:"last"` // highest position of each former writer in the shard
	// Ownerships are the most recent ownership spans, in the order of their positions.
	Ownerships []shard.Ownership `json:"tenures,omitempty"`
}

// Announcement is what a writer publishes about itself: its persisted-up-to position and the
// shards it owns. Each announcement is complete, so the next one makes up for a lost one
// (docs/DESIGN.md §6.5).
type Announcement struct {
	Writer        int          `json:"writer"`
	Store         string       `json:"store"`
	Peer          string       `json:"peer"` // the store's address for other daemons
	PersistedUpTo int64        `json:"up_to"`
	Shards        []OwnedShard `json:"slots"`
}

// Owner is the owner of a shard under the highest epoch announced.
type Owner struct {
	Writer int
	Peer   string
	OwnedShard
}

// Key returns the key of a writer's announcement among the gossiped updates.
func Key(writer int) string { return fmt.Sprintf(KeyPrefix+"%d", writer) }
