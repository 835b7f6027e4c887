package shard

// SubmitBatch adds a batch. The code that appends it has checked that the shard has no batch with
// this ID.
type SubmitBatch struct {
	Batch Batch `json:"Bundle"`
}

// Apply adds the batch.
func (e SubmitBatch) Apply(s *State) {
	batch := e.Batch
	batch.hasResult = map[int]bool{}
	s.Batches[batch.ID] = &batch
}
