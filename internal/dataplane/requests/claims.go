package requests

import (
	"encoding/json"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// claimIdempotencyKey claims the key of a one-shot request before its first attempt, so that
// requests repeating the key get the first request's response.
func (m *Machine) claimIdempotencyKey(r *activeRequest, now clock.Micros) {
	claim := shard.Claim{
		Tenant:    r.tenant.Name,
		Key:       r.IdempotencyKey,
		RequestID: r.ID,
		Hash:      shard.Hash(r.route.Name, r.Input),
	}
	newRequest := func(shardIndex int) any {
		return batchstore.ClaimRequest{Shard: shardIndex, Claim: claim, Timeout: m.settings.CommitTimeout}
	}
	callback := func(body any, err error, now clock.Micros) {
		response, ok := body.(batchstore.ClaimResponse)
		switch {
		case err != nil:
			m.finishWithError(r, err, now)
		case !ok:
			m.finishWithError(r, unexpectedReplyError(body), now)
		case response.Yours:
			r.keyClaimed = true
			m.scheduleAttempt(r, nil, now)
		default:
			m.replayResponse(r, response.Claim, now)
		}
	}
	m.callStore(shard.ClaimID(claim.Tenant, claim.Key), newRequest, m.commitCallTimeout(), now, callback)
}

// replayResponse finishes a request whose key was claimed by an earlier request. It replies with
// that request's response if there is one.
func (m *Machine) replayResponse(r *activeRequest, first shard.Claim, now clock.Micros) {
	if first.State != shard.Answered {
		m.finishWithError(r, errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "retry with the same key to get the first request's response", "the key's first request (%s) is in flight, or was interrupted", first.RequestID), now)
		return
	}
	var response Response
	if err := json.Unmarshal(first.Response, &response); err != nil {
		m.finishWithError(r, errs.New(errs.ServerFault, "run the same release on all daemons", "the stored response of the key's first request (%s) can't be decoded: %v", first.RequestID, err), now)
		return
	}
	response.Replayed = true
	m.finishWithResponse(r, response, now)
}

// completeClaim stores the outcome of a request with a claimed key, for requests that repeat the
// key. response is nil if the request did not run.
func (m *Machine) completeClaim(r *activeRequest, state string, response *Response, now clock.Micros, callback func(error, clock.Micros)) {
	id := shard.ClaimID(r.tenant.Name, r.IdempotencyKey)
	data, _ := json.Marshal(response) // can't fail for a struct of strings
	newRequest := func(shardIndex int) any {
		return batchstore.CompleteClaimRequest{Shard: shardIndex, ID: id, State: state, Response: data, Timeout: m.settings.CommitTimeout}
	}
	m.callStore(id, newRequest, m.commitCallTimeout(), now, func(_ any, err error, now clock.Micros) { callback(err, now) })
}
