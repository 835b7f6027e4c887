package shard

import "tuliprudder/internal/clock"

// EndBatch ends a batch before all of its items have results.
type EndBatch struct {
	Batch string       `json:"Bundle"`
	At    clock.Micros `json:"At"`
}

// Apply ends the batch if it is open. Listed results stay; no more are added.
func (e EndBatch) Apply(s *State) {
	batch := s.Batches[e.Batch]
	if batch == nil || batch.State != Open {
		return
	}
	batch.State = Ended
	batch.ChangedAt = e.At
	delete(s.FailedAttempts, batch.ID)
	for i := range batch.Items {
		batch.Items[i].releaseInput()
	}
}
