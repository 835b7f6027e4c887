package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// This file counts, for the quotas, what waits in the shards that this store serves
// (docs/DESIGN.md §11.3, §12.5). An item counts at its shard's primary from its batch's entry on
// until its result, or the batch's end, is durable: so a successor, which may lack entries that
// were not confirmed, never finds more than this store has counted.

// releasedWeight is weight that counts until the entry that releasedWeight it is durable.
type releasedWeight struct {
	account shard.AccountName
	weight  int
}

// ServingEpoch is the epoch under which this store serves a shard now; false where it doesn't, or
// has no lease: then another store may serve it.
func (s *Store) ServingEpoch(shardIndex int, now clock.Micros) (epoch uint64, ok bool) {
	served, err := s.requireServing(shardIndex, now)
	if err != nil {
		return 0, false
	}
	return served.group.Epoch, true
}

// PendingWeight is the weight of an account's items that wait or run in a shard.
func (s *Store) PendingWeight(shardIndex int, account shard.AccountName) int {
	unit := Unit(shardIndex)
	sum := s.shard(unit).state.PendingWeight(account)
	for _, r := range s.unconfirmedReleases[unit] {
		if r.account == account {
			sum += r.weight
		}
	}
	return sum
}

// PendingWeights are the weights of the items that wait or run in the shards that this store
// serves, by account.
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
	sum := s.shard(unit).state.PendingWeights()
	for _, r := range s.unconfirmedReleases[unit] {
		sum[r.account] += r.weight
	}
	return sum
}

// weightReleasedBy is the weight that an entry is about to release in a shard.
func weightReleasedBy(entry shard.Entry, state *shard.State) releasedWeight {
	switch e := entry.(type) {
	case shard.ListResult:
		batch := state.Batches[e.Result.Batch]
		if batch != nil && batch.AwaitsResult(e.Result.Item) {
			return releasedWeight{batch.Account(), batch.Items[e.Result.Item].Request.Weight()}
		}
	case shard.EndBatch:
		if batch := state.Batches[e.Batch]; batch != nil {
			return releasedWeight{batch.Account(), batch.PendingWeight()}
		}
	}
	return releasedWeight{}
}
