package token

import (
	"fmt"

	"tuliprudder/internal/batchstore/shard"
)

// OwnedShard is a shard that a writer owns, as it announces it.
type OwnedShard struct {
	Shard         int           `json:"slot"`
	Epoch         uint64        `json:"epoch"`
	LastPositions map[int]int64 `json:"last"` // highest position of each former writer in the shard
	// Ownerships are the newest spans of positions, writer by writer.
	Ownerships []shard.Ownership `json:"tenures,omitempty"`
}

// Announcement is what a writer publishes of itself: its persisted-up-to position and the
// shards it owns. It is complete each time, so the next one makes good for a lost one
// (docs/DESIGN.md §6.5).
type Announcement struct {
	Writer        int          `json:"writer"`
	Store         string       `json:"store"`
	Peer          string       `json:"peer"` // the store's address among the daemons
	PersistedUpTo int64        `json:"up_to"`
	Shards        []OwnedShard `json:"slots"`
}

// Owner is the owner of a shard under the highest epoch that was announced.
type Owner struct {
	Writer int
	Peer   string
	OwnedShard
}

// Key is the key of a writer's announcement among the gossiped updates.
func Key(writer int) string { return fmt.Sprintf(KeyPrefix+"%d", writer) }
