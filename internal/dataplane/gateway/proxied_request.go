package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/upstream"
	"tuliprudder/internal/errs"
)

// proxiedRequest is one request that is being forwarded; one goroutine has it.
type proxiedRequest struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	requestID string // the edge's own, not the caller's
	body      []byte
	header    http.Header // end to end

	responseStarted bool   // the head of a response has gone to the caller
	lastEventID     string // of the last event that was forwarded, or that the caller has
	lastEventAt     clock.Micros
	longestEventGap clock.Micros // between two events that were forwarded
}

// serve carries out the machine's decisions on the request until one ends it.
func (p *proxiedRequest) serve(request proxy.Request) {
	var input proxy.Input = request
	for {
		decision, err := p.forwarder.decide(p.r.Context(), input)
		if err != nil {
			p.fail(err)
			return
		}
		switch decision := decision.(type) {
		case proxy.Attempt:
			input = p.runAttempt(decision)
		case proxy.BatchSubmission:
			p.forwarder.SubmitBatch(p.w, p.r, p.body, decision)
			return
		case proxy.Done:
			return
		default:
			p.fail(unexpectedReplyError(decision))
			return
		}
	}
}

// fail gives the edge's own final response. A response that has started is broken off
// instead, so that it can't look complete.
func (p *proxiedRequest) fail(err error) {
	if p.responseStarted {
		panic(http.ErrAbortHandler)
	}
	if errs.Is(err, errs.UnknownRoute) && p.forwarder.ServeWithoutRoute != nil {
		p.forwarder.ServeWithoutRoute(p.w, p.r, p.body, err)
		return
	}
	p.forwarder.WriteError(p.w, err)
}

// runAttempt sends the request to one server, forwards its response if the caller may have
// it, and reports how that went.
func (p *proxiedRequest) runAttempt(attempt proxy.Attempt) proxy.AttemptResult {
	remaining := clock.Duration(attempt.Deadline - p.forwarder.Now())
	ctx, cancel := context.WithTimeout(p.r.Context(), remaining)
	defer cancel()
	response, err := p.forwarder.Client.Do(ctx, p.upstreamRequest(attempt, remaining))
	if err != nil {
		result := p.result(outcomeOf(err), err.Error())
		result.ContextDone = ctx.Err() != nil
		result.LocalFailure = result.Outcome == proxy.NotSent && errs.Is(err, errs.Busy)
		return result
	}
	defer response.Close()
	if outcome, reason, withheld := p.withhold(response, attempt); withheld {
		drain(response)
		result := p.result(outcome, reason)
		result.Load = response.Load
		result.WeightVersion = response.WeightVersion
		result.WrongWeights = response.WrongWeights
		return result
	}
	if err := p.forwardResponse(response); err != nil {
		result := p.result(proxy.Interrupted, err.Error())
		result.ExecutionStarted = impliesExecutionStarted(response)
		result.ContextDone = ctx.Err() != nil
		return result
	}
	result := p.result(proxy.Complete, "")
	result.ExecutionStarted = impliesExecutionStarted(response)
	result.WeightVersion = response.WeightVersion
	return result
}

// impliesExecutionStarted tells whether a response shows by itself that the server began to run the request. Of an event
// stream its first event does (proxy.AttemptStarted).
func impliesExecutionStarted(response *upstream.Response) bool {
	isSuccess := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	return isSuccess && !isEventStream(response)
}

func (p *proxiedRequest) result(outcome proxy.Outcome, reason string) proxy.AttemptResult {
	return proxy.AttemptResult{
		RequestID:       p.requestID,
		Outcome:         outcome,
		ResponseStarted: p.responseStarted,
		LongestEventGap: p.longestEventGap,
		Reason:          reason,
	}
}

// upstreamRequest is the request as this attempt sends it: a stream is resumed after the last
// event that the caller has.
func (p *proxiedRequest) upstreamRequest(attempt proxy.Attempt, remaining time.Duration) upstream.Request {
	return upstream.Request{
		Address:         attempt.Address,
		Instance:        attempt.Server,
		Method:          p.r.Method,
		Target:          p.r.RequestURI,
		Host:            p.r.Host,
		ID:              p.r.Header.Get(p.forwarder.HeaderNames.RequestID),
		Header:          p.header,
		Body:            p.body,
		Deadline:        time.Now().Add(remaining),
		LastEventID:     p.lastEventID,
		IsAuthenticated: attempt.Identity.IsAuthenticated,
		Tenant:          attempt.Identity.Tenant,
	}
}

// outcomeOf is the outcome of an attempt that brought no response.
func outcomeOf(err error) proxy.Outcome {
	switch {
	case errs.Is(err, errs.BadInput):
		return proxy.Invalid
	case upstream.DeliveryOf(err) == upstream.NotWritten:
		return proxy.NotSent
	}
	return proxy.Interrupted
}

// withhold tells whether a response is kept from the caller, and the outcome of the attempt
// then. A server's own failure is forwarded only if no other attempt can follow.
func (p *proxiedRequest) withhold(response *upstream.Response, attempt proxy.Attempt) (outcome proxy.Outcome, reason string, withheld bool) {
	idempotent := proxy.IsIdempotent(attempt.Route)
	unconfirmedRejection := impliesNotRun(response.Status) && !idempotent && !p.responseStarted
	retriableFailure := response.Status >= http.StatusInternalServerError && !attempt.IsLast && idempotent
	cannotContinue := p.responseStarted && response.Status != http.StatusOK
	switch {
	case response.NotRun:
		return proxy.NotRun, fmt.Sprintf("the server did not run it: status %d", response.Status), true
	case unconfirmedRejection:
		return proxy.Failed, fmt.Sprintf("the server answered %d without stating that it did not run the request", response.Status), true
	case retriableFailure, cannotContinue:
		return proxy.Failed, fmt.Sprintf("the server failed: status %d", response.Status), true
	}
	return proxy.Complete, "", false
}

// impliesNotRun tells whether callers take a status as a guarantee that the request has not
// run and never will. A server's status alone is none: without its statement that it did not
// run the request (upstream.Response.NotRun), the caller of a request that may run only once
// gets a response of the edge's own, which guarantees nothing.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// maxDrainBytes is how much of a withheld response is read so that its connection can be used
// again; the connection of a longer one is closed.
const maxDrainBytes = 64 << 10

func drain(response *upstream.Response) {
	// An error shows in the state of the connection, which Response.Close looks at.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
}
