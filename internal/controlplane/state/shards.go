package state

import "tuliprudder/internal/replication"

// Apply records the assignments. An assignment with an older epoch than the current one is ignored.
func (e AssignShards) Apply(s *State) {
	shards := append([]replication.Assignment(nil), s.Shards...)
	for shard, assignment := range e.Shards {
		if shard >= 0 && shard < len(shards) && assignment.Epoch >= shards[shard].Epoch {
			shards[shard] = assignment
		}
	}
	s.Shards = shards
	s.pruneDepartedStores()
}

// refersTo reports whether a shard's assignment refers to a store.
func (s *State) refersTo(id string) bool {
	for _, assignment := range s.Shards {
		if assignment.MustKeep(id) || assignment.IsTrusted(id) {
			return true
		}
	}
	return false
}

// DependentShards returns the number of shards that still depend on a store.
func (s *State) DependentShards(id string) int {
	count := 0
	for _, assignment := range s.Shards {
		if assignment.MustKeep(id) {
			count++
		}
	}
	return count
}
