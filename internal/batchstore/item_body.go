package batchstore

import "tuliprudder/internal/clock"

// replyItemBody replies with the body of a forwarded item that may still run. An item that has its
// result, or whose batch has ended, does not run again and is reported as not found.
func (s *Store) replyItemBody(call uint64, request ItemBodyRequest, now clock.Micros) {
	served, err := s.requireServing(request.Shard, now)
	if err != nil {
		s.replyError(call, err)
		return
	}
	if batch, err := served.findBatch(request.Batch, request.By); err == nil {
		if item, ok := batch.PendingItem(request.Item); ok && item.Request != nil {
			s.reply(call, ItemBodyResponse{Body: item.Request.Body})
			return
		}
	}
	s.replyError(call, errNoPendingItem(request.Batch, request.Item))
}
