package batchstore

import (
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// applyRetention purges the finished batches and the claims whose retention has expired from the shards
// that this store serves. It then deletes the archive files that no batch refers to any more.
func (s *Store) applyRetention(now clock.Micros) {
	for _, group := range s.groups.All() {
		if group.Role != replication.Serving {
			continue
		}
		entry := purgeBefore(s.shard(group.Unit).state, now-s.settings.RetainFinished)
		if !entry.IsEmpty() {
			s.appendEntry(group.Unit, entry, now)
		}
	}
	s.deleteUnusedArchives()
}

// purgeBefore returns the entry that purges the finished batches that were submitted, and the claims that
// were made, before a point in time.
func purgeBefore(state *shard.State, before clock.Micros) shard.Purge {
	var entry shard.Purge
	for _, id := range sortedBatchIDs(state) {
		batch := state.Batches[id]
		if batch.State != shard.Open && batch.SubmittedAt < before {
			entry.Batches = append(entry.Batches, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(state.Claims)) {
		if state.Claims[id].At < before {
			entry.Claims = append(entry.Claims, id)
		}
	}
	return entry
}
