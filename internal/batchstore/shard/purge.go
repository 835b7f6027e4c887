package shard

// Purge drops batches and claims whose retention has passed, by their IDs.
type Purge struct {
	Batches []string `json:"Bundles"`
	Claims  []string `json:"Claims"`
}

// IsEmpty tells whether the entry would drop nothing.
func (e Purge) IsEmpty() bool { return len(e.Batches)+len(e.Claims) == 0 }

// Apply drops what is listed.
func (e Purge) Apply(s *State) {
	for _, id := range e.Batches {
		delete(s.Batches, id)
	}
	for _, id := range e.Claims {
		delete(s.Claims, id)
	}
}
