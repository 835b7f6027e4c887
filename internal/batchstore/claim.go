package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// beginClaim claims an idempotency key for a one-shot request, or replies with the existing claim of
// an earlier request. The request of a voided claim never ran, so its key may be claimed again.
func (s *Store) beginClaim(call uint64, request ClaimRequest, now clock.Micros) {
	served, err := s.requireServing(request.Shard, now)
	if err != nil {
		s.replyError(call, err)
		return
	}
	id := shard.ClaimID(request.Claim.Tenant, request.Claim.Key)
	if existing := served.state.Claims[id]; existing != nil && existing.State != shard.Voided {
		if existing.Hash != request.Claim.Hash {
			s.replyError(call, errClaimKeyReused())
			return
		}
		ownedByRequester := existing.RequestID == request.Claim.RequestID
		s.replyOnceDurable(served, pendingCall{number: call, deadline: now + request.Timeout, response: ClaimResponse{Yours: ownedByRequester, Claim: *existing}})
		return
	}
	claim := request.Claim
	claim.State = shard.Claimed
	claim.At = now
	s.appendEntry(served.group.Unit, shard.BeginClaim{Claim: claim}, now)
	s.replyOnceDurable(served, pendingCall{number: call, deadline: now + request.Timeout, response: ClaimResponse{Yours: true, Claim: claim}})
}

// completeClaim records the outcome of a claimed request.
func (s *Store) completeClaim(call uint64, request CompleteClaimRequest, now clock.Micros) {
	served, err := s.requireServing(request.Shard, now)
	if err != nil {
		s.replyError(call, err)
		return
	}
	entry := shard.CompleteClaim{ID: request.ID, State: request.State, Response: request.Response}
	s.appendEntry(served.group.Unit, entry, now)
	s.replyOnceDurable(served, pendingCall{number: call, deadline: now + request.Timeout, response: CompleteClaimResponse{}})
}
