package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// What waits of the requests that are passed on is counted from the ledger itself
// (DESIGN §11.3, §12.5): what was accepted counts at its shard's owner from the
// moment it is written, through restarts and passages, until it is listed or ended.

// formerShardGrace is how long a shard that passed on still counts here: its new owner has
// told by then.
const formerShardGrace = clock.Second

type formerShard struct {
	until   clock.Micros
	pending map[string]int
}

// PendingWeights is what the requests that wait or run here count for, by tenant.
func (k *Store) PendingWeights(now clock.Micros) map[string]int {
	out := map[string]int{}
	for _, group := range k.groups.All() {
		if k.countsShard(group) {
			addWeights(out, pendingWeights(k.shard(group.Unit).state))
		}
	}
	for _, former := range k.formerShards {
		if now < former.until {
			addWeights(out, former.pending)
		}
	}
	return out
}

// countsShard tells whether a shard's work counts here: at its owner, and at one that
// was its owner in an earlier life until another is.
func (k *Store) countsShard(group *replication.Group) bool {
	if group.IsPrimary() {
		return true
	}
	shard := shardOfUnit(group.Unit)
	return group.Role == replication.Idle && shard < len(k.clusterMap.Shards) && k.clusterMap.Shards[shard].Primary.ID == k.self.ID
}

// rememberFormerShard keeps what a shard counted for in mind for a while.
func (k *Store) rememberFormerShard(unit string, now clock.Micros) {
	kept := k.formerShards[:0]
	for _, former := range k.formerShards {
		if now < former.until {
			kept = append(kept, former)
		}
	}
	k.formerShards = append(kept, formerShard{until: now + formerShardGrace, pending: pendingWeights(k.shard(unit).state)})
}

func addWeights(to, from map[string]int) {
	for tenant, count := range from {
		to[tenant] += count
	}
}

// pendingWeights counts a shard's requests that are not listed.
func pendingWeights(state *shard.State) map[string]int {
	out := map[string]int{}
	for _, batch := range state.Batches {
		if batch.State != shard.Open {
			continue
		}
		for i, item := range batch.Items {
			if item.Request != nil && !batch.HasResult(i) {
				out[batch.Tenant] += item.Request.Weight()
			}
		}
	}
	return out
}

// HasClusterMap tells whether the store knows which shards are its own.
func (k *Store) HasClusterMap() bool { return k.clusterMap.Seq > 0 }
