package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// This file computes, for the quotas, the weight of the pending items in the shards that this store
// serves (docs/DESIGN.md §11.3, §12.5). An item counts at its shard's primary from when its batch's
// entry is appended until its result, or the end of its batch, is durable. A successor may lack entries
// that were not confirmed, so it never finds a higher weight than this store has reported.

// releasedWeight is weight that still counts as pending until the entry that released it is durable.
type releasedWeight struct {
	account shard.AccountName
	weight  int
}

// ServingEpoch returns the epoch under which this store serves a shard. It returns false if the store
// does not serve the shard or has no valid lease, in which case another store may serve it.
func (s *Store) ServingEpoch(shardIndex int, now clock.Micros) (epoch uint64, ok bool) {
	served, err := s.requireServing(shardIndex, now)
	if err != nil {
		return 0, false
	}
	return served.group.Epoch, true
}

// PendingWeight returns the total weight of an account's items that wait or run in a shard.
func (s *Store) PendingWeight(shardIndex int, account shard.AccountName) int {
	unit := Unit(shardIndex)
	sum := s.shard(unit).state.PendingWeight(account, s.AccountOf)
	for _, r := range s.unconfirmedReleases[unit] {
		if r.account == account {
			sum += r.weight
		}
	}
	return sum
}

// PendingWeights returns, by account, the total weight of the items that wait or run in the shards
// that this store serves under a valid lease.
func (s *Store) PendingWeights(now clock.Micros) map[shard.AccountName]int {
	sum := map[shard.AccountName]int{}
	for _, group := range s.groups.All() {
		if group.Role != replication.Serving || now >= group.LeaseUntil() {
			continue
		}
		for account, weight := range s.pendingWeights(group.Unit) {
			sum[account] += weight
		}
	}
	return sum
}

func (s *Store) pendingWeights(unit string) map[shard.AccountName]int {
	sum := s.shard(unit).state.PendingWeights(s.AccountOf)
	for _, r := range s.unconfirmedReleases[unit] {
		sum[r.account] += r.weight
	}
	return sum
}

// weightReleasedBy returns the weight that an entry will release when it is applied to a shard.
func (s *Store) weightReleasedBy(entry shard.Entry, state *shard.State) releasedWeight {
	switch e := entry.(type) {
	case shard.ListResult:
		batch := state.Batches[e.Result.Batch]
		if batch != nil && batch.AwaitsResult(e.Result.Item) {
			return releasedWeight{s.AccountOf(batch), batch.Items[e.Result.Item].Request.Weight()}
		}
	case shard.EndBatch:
		if batch := state.Batches[e.Batch]; batch != nil {
			return releasedWeight{s.AccountOf(batch), batch.PendingWeight()}
		}
	}
	return releasedWeight{}
}
