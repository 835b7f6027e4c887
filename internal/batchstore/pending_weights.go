package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// The weights of forwarded requests that are queued or run are counted from the shards'
// state itself (docs/DESIGN.md §11.3, §12.5): what was accepted counts at its shard's owner
// from its entry on, through restarts and moves, until it has its result or is ended.

// formerShardGrace is how long a shard that moved still counts at its former owner: by then
// the new one has reported its weights.
const formerShardGrace = clock.Second

// restartGrace is how long a store that restarted counts all that it has read back, from the first
// map on: which of its shards it was the primary of is not on its disk, and those that have passed
// on meanwhile count nowhere else until their new owners have reported. Until that map the store
// reports nothing, and its report from before the restart stays in force.
const restartGrace = 1500 * clock.Millisecond

// weights are the weights of pending requests by tenant, see shard.Request.Weight.
type weights map[string]int

func (w weights) add(other weights) {
	for tenant, weight := range other {
		w[tenant] += weight
	}
}

// formerShards are the weights of shards that moved to another store not long ago.
type formerShards []formerShard

type formerShard struct {
	countsUntil clock.Micros
	pending     weights
}

// add makes the weights of a shard that moved now count for formerShardGrace.
func (f *formerShards) add(pending weights, now clock.Micros) {
	remaining := (*f)[:0]
	for _, former := range *f {
		if now < former.countsUntil {
			remaining = append(remaining, former)
		}
	}
	*f = append(remaining, formerShard{countsUntil: now + formerShardGrace, pending: pending})
}

// addTo adds the weights that still count.
func (f formerShards) addTo(sum weights, now clock.Micros) {
	for _, former := range f {
		if now < former.countsUntil {
			sum.add(former.pending)
		}
	}
}

// PendingWeights are the weights of the forwarded requests that are queued or run here, by
// tenant.
func (s *Store) PendingWeights(now clock.Micros) map[string]int {
	sum := weights{}
	for _, group := range s.groups.All() {
		if now < s.countsAllUntil || s.countsWeightsOf(group) {
			sum.add(pendingWeights(s.shard(group.Unit).state))
		}
	}
	s.formerShards.addTo(sum, now)
	return sum
}

// KnowsPendingWeights tells whether PendingWeights is all that may be pending here. It is not before
// the first map, nor at a store that lost its disk while the map still has it as the primary of
// a shard: the replicas have that shard's requests, but don't count them yet.
func (s *Store) KnowsPendingWeights() bool {
	for shardIndex, assignment := range s.clusterMap.Shards {
		ofEarlierIncarnation := assignment.Primary.ID == s.self.ID && assignment.Primary != s.member()
		if ofEarlierIncarnation && s.groups.Group(Unit(shardIndex)).Seq == 0 {
			return false
		}
	}
	return s.HasClusterMap()
}

// countsWeightsOf tells whether a shard's requests count here: at its primary, and at a
// store that restarted, for as long as the map still has it as the primary.
func (s *Store) countsWeightsOf(group *replication.Group) bool {
	if group.IsPrimary() {
		return true
	}
	if group.Role != replication.Idle {
		return false
	}
	shardIndex := shardOfUnit(group.Unit)
	assignments := s.clusterMap.Shards
	return shardIndex < len(assignments) && assignments[shardIndex].Primary.ID == s.self.ID
}

// restartedShardWeights are the weights of the shards that count here though this store, which
// restarted, has no role in them, by unit.
func (s *Store) restartedShardWeights() map[string]weights {
	out := map[string]weights{}
	for _, group := range s.groups.All() {
		if !group.IsPrimary() && s.countsWeightsOf(group) {
			out[group.Unit] = pendingWeights(s.shard(group.Unit).state)
		}
	}
	return out
}

// keepCounting has shards that counted here and no longer do count for formerShardGrace.
func (s *Store) keepCounting(counted map[string]weights, now clock.Micros) {
	for unit, pending := range counted {
		if !s.countsWeightsOf(s.groups.Group(unit)) {
			s.formerShards.add(pending, now)
		}
	}
}

// pendingWeights are the weights of a shard's forwarded requests that have no result.
func pendingWeights(state *shard.State) weights {
	sum := weights{}
	for _, batch := range state.Batches {
		if batch.State != shard.Open {
			continue
		}
		for i, item := range batch.Items {
			if item.Request != nil && !batch.HasResult(i) {
				sum[batch.Tenant] += item.Request.Weight()
			}
		}
	}
	return sum
}
