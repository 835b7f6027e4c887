package batchstore

import (
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// applyRetention drops finished batches and claims whose retention has passed, in the shards
// that this store serves, and then the archive files that nothing refers to any more.
func (s *Store) applyRetention(now clock.Micros) {
	for _, group := range s.groups.All() {
		if group.Role != replication.Serving {
			continue
		}
		entry := finishedBefore(s.shard(group.Unit).state, now-s.settings.RetainFinished)
		if !entry.IsEmpty() {
			s.appendEntry(group.Unit, entry, now)
		}
	}
	s.deleteUnusedArchives()
}

// finishedBefore lists the finished batches that were submitted before a point in time, and the
// claims that began before it.
func finishedBefore(state *shard.State, before clock.Micros) shard.Purge {
	var entry shard.Purge
	for _, id := range sortedBatches(state) {
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
