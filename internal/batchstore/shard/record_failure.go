package shard

// RecordFailure counts a failed attempt of a forwarded item at its server. The count is part of the
// shard's state, so that a new owner of the shard continues it.
type RecordFailure struct {
	Batch string `json:"Bundle"`
	Item  int    `json:"Item"` // index in the batch
}

// Apply counts the failure if the item still awaits a result.
func (e RecordFailure) Apply(s *State) {
	batch := s.Batches[e.Batch]
	if batch == nil || !batch.AwaitsResult(e.Item) {
		return
	}
	if s.FailedAttempts == nil {
		s.FailedAttempts = map[string]map[int]int{}
	}
	if s.FailedAttempts[e.Batch] == nil {
		s.FailedAttempts[e.Batch] = map[int]int{}
	}
	s.FailedAttempts[e.Batch][e.Item]++
}
