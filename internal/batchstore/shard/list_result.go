package shard

// ListResult appends a result to its batch's list.
type ListResult struct {
	Result Result `json:"Row"`
}

// Apply lists the result unless its item already has one or the batch is no longer open, so
// that an item that ran twice is listed once (docs/DESIGN.md §6.3). The position is consumed
// in either case.
func (e ListResult) Apply(s *State) {
	result := e.Result
	s.LastPositions[result.Writer] = max(s.LastPositions[result.Writer], result.Position)
	s.recordOwnership(result.Writer, result.Position)
	batch := s.Batches[result.Batch]
	if batch == nil || batch.State != Open || batch.hasResult[result.Item] {
		return
	}
	batch.Results = append(batch.Results, result)
	batch.hasResult[result.Item] = true
	batch.Items[result.Item].releaseInput()
	if len(batch.Results) == len(batch.Items) {
		batch.State = Done
		delete(s.FailedAttempts, batch.ID)
	}
}
