package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// replyBatchStatus replies with the status of a batch. Operators may see batches of any tenant, and
// receive the results without their outputs.
func (s *Store) replyBatchStatus(call uint64, request BatchStatusRequest, now clock.Micros) {
	served, err := s.requireServing(request.Shard, now)
	if err != nil {
		s.replyError(call, err)
		return
	}
	batch, err := served.findBatch(request.Batch, request.By)
	if existing := served.state.Batches[request.Batch]; request.Operator && existing != nil {
		batch, err = existing, nil
	}
	if err != nil {
		s.replyError(call, err)
		return
	}
	status := s.batchStatus(served, batch)
	if request.Operator {
		status.Results = s.resultsWithoutOutputs(batch)
	}
	s.reply(call, status)
}

func (s *Store) batchStatus(served servedShard, batch *shard.Batch) BatchStatus {
	items, results := batch.Counts()
	return BatchStatus{
		Batch:       batch.ID,
		Route:       batch.Route,
		RouteID:     batch.RouteID,
		State:       string(batch.State),
		Items:       items,
		Finished:    results,
		Store:       s.self.ID,
		Writer:      s.identity.Writer,
		Shard:       served.index,
		Epoch:       served.group.Epoch,
		Replicas:    served.group.Peers(),
		SubmittedAt: batch.SubmittedAt,
		Tenant:      batch.Tenant,
	}
}

func (s *Store) resultsWithoutOutputs(batch *shard.Batch) []shard.Result {
	var out []shard.Result
	for _, result := range s.resultsAfter(batch, nil) {
		result.Output = ""
		out = append(out, result)
	}
	return out
}

// status returns the store's status, for operators.
func (s *Store) status() StatusResponse {
	response := StatusResponse{
		Store:         s.self.ID,
		Zone:          s.self.Zone,
		Writer:        s.identity.Writer,
		Incarnation:   s.self.Incarnation,
		PersistedUpTo: s.positions.PersistedUpTo(),
		Next:          s.positions.Next(),
		Unfinished:    s.positions.Unfinished(),
	}
	for _, group := range s.groups.All() {
		local := s.shard(group.Unit)
		response.Shards = append(response.Shards, ShardStatus{
			Shard:   local.index,
			Role:    group.Role.String(),
			Epoch:   group.Epoch,
			Seq:     group.Seq,
			Open:    group.Unconfirmed(),
			Batches: len(local.state.Batches),
			Peer:    group.Peer(),
		})
	}
	return response
}
