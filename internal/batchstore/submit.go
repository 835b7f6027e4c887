package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// submit accepts a batch. Once its entry is confirmed, the batch is durable, its items start and the
// caller receives the reply (Store.Confirmed). A batch that the shard already has is acknowledged
// again.
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
		// Another tenant's batch is not changed, and the error reveals only that its ID is in use.
		if !request.By.allows(existing) || !existing.IsRepeatedBy(&request.Batch) {
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

// appendBatch appends the entry of a new batch and registers the batch to be started once the entry is
// durable.
func (s *Store) appendBatch(served servedShard, batch shard.Batch, now clock.Micros) {
	batch.State = shard.Open
	batch.SubmittedAt = now
	batch.Results = nil
	seq := s.appendEntry(served.group.Unit, shard.SubmitBatch{Batch: batch}, now)
	s.submitted.put(served.group.Unit, seq, batch.ID)
	s.BatchesSubmitted++
}

// checkAdmission returns an error if a new batch with the given number of items has to be rejected.
func (s *Store) checkAdmission(items int) error {
	if s.draining {
		return errDraining(s.self.ID)
	}
	if s.unfinishedItems()+items > s.settings.MaxItems {
		return errQueueFull(s.self.ID)
	}
	return nil
}

// unfinishedItems returns the number of items without a result in the open batches of the shards of
// which this store is the primary.
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

// HasBatch reports whether this store's state of a shard contains a batch, durable or not.
func (s *Store) HasBatch(shardIndex int, batchID string) bool {
	local := s.shards[Unit(shardIndex)]
	return local != nil && local.state.Batches[batchID] != nil
}
