package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// endBatch ends a batch and cancels its unfinished items. It replies once the end of the batch is
// durable. A batch that is not open is left unchanged.
func (s *Store) endBatch(call uint64, request EndRequest, now clock.Micros) {
	served, err := s.requireServing(request.Shard, now)
	if err != nil {
		s.replyError(call, err)
		return
	}
	batch, err := served.findBatch(request.Batch, request.By)
	if err != nil {
		s.replyError(call, err)
		return
	}
	if batch.State == shard.Open {
		s.appendEntry(served.group.Unit, shard.EndBatch{Batch: request.Batch, At: now}, now)
		s.Emit(machine.Execute{Task: CancelItems{Batch: request.Batch, Shard: -1}})
	}
	s.replyOnceDurable(served, pendingCall{number: call, deadline: now + request.Timeout, response: s.batchStatus(served, batch)})
}
