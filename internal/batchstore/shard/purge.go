package shard

// Purge deletes batches and claims whose retention period has passed, by their IDs.
type Purge struct {
	Batches []string `json:"Bundles"`
	Claims  []string `json:"Claims"`
}

// IsEmpty reports whether the entry lists nothing to delete.
func (e Purge) IsEmpty() bool { return len(e.Batches)+len(e.Claims) == 0 }

// Apply deletes the listed batches and claims.
func (e Purge) Apply(s *State) {
	for _, id := range e.Batches {
		delete(s.Batches, id)
	}
	for _, id := range e.Claims {
		delete(s.Claims, id)
	}
}
