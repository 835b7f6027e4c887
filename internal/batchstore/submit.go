package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// submit accepts a batch. The batch is durable, its items run and its caller is answered
// once the entry is confirmed (Store.Confirmed). A batch that the shard has already is
// acknowledged again.
func (s *Store) submit(call uint64, request SubmitRequest, now clock.Micros) {
	served, err := s.requireServing(request.Shard, now)
	if err != nil {
		s.replyError(call, err)
		return
	}
	response := SubmitResponse{
		Batch: request.Batch.ID,
		Items: len(request.Batch.Items),
		Store: s.self.ID,
	}
	if existing := served.state.Batches[request.Batch.ID]; existing != nil {
		// Another tenant's batch is neither changed nor told of, but that its ID is taken.
		if !request.By.allows(existing) || existing.Hash != request.Batch.Hash {
			s.replyError(call, errBatchKeyReused(existing.ID))
			return
		}
		response.Repeated = true
		// The first submission's entry may not be durable yet.
		s.replyOnceDurable(served, pendingCall{number: call, deadline: now + request.Timeout, response: response})
		return
	}
	if err := s.checkAdmission(len(request.Batch.Items)); err != nil {
		s.replyError(call, err)
		return
	}
	s.appendBatch(served, request.Batch, now)
	if s.InjectedFaults.RejectAfterWrite && len(request.Batch.Items)%2 == 0 {
		s.replyError(call, errInjectedRejection())
		return
	}
	s.replyOnceDurable(served, pendingCall{number: call, deadline: now + request.Timeout, response: response})
}

// appendBatch appends the entry of a new batch.
func (s *Store) appendBatch(served servedShard, batch shard.Batch, now clock.Micros) {
	batch.State = shard.Open
	batch.SubmittedAt = now
	batch.Results = nil
	seq := s.appendEntry(served.group.Unit, shard.SubmitBatch{Batch: batch}, now)
	s.submitted.put(served.group.Unit, seq, batch.ID)
	s.BatchesSubmitted++
}

// checkAdmission tells why a new batch with a number of items is rejected; nil if it isn't.
func (s *Store) checkAdmission(items int) error {
	if s.draining {
		return errDraining(s.self.ID)
	}
	if s.unfinishedItems()+items > s.settings.MaxItems {
		return errQueueFull(s.self.ID)
	}
	return nil
}

// unfinishedItems is the number of items without a result in the shards of which this store
// is the primary.
func (s *Store) unfinishedItems() int {
	count := 0
	for _, group := range s.groups.All() {
		if !group.IsPrimary() {
			continue
		}
		for _, batch := range s.shard(group.Unit).state.Batches {
			if batch.State == shard.Open {
				count += len(batch.Items) - len(batch.Results)
			}
		}
	}
	return count
}

// HasBatch tells whether a batch is in this store's state of a shard, durable or not.
func (s *Store) HasBatch(shardIndex int, batchID string) bool {
	local := s.shards[Unit(shardIndex)]
	return local != nil && local.state.Batches[batchID] != nil
}
