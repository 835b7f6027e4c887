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

// proxiedRequest is a request that is being forwarded. Only one goroutine uses it.
type proxiedRequest struct {
	forwarder *Forwarder
	w         http.ResponseWriter
	r         *http.Request
	requestID string // assigned by the edge, not by the caller
	body      []byte
	header    http.Header // end-to-end headers of the request

	responseStarted bool   // the head of a response has been sent to the caller
	lastEventID     string // of the last forwarded event; initially the one that the caller named
	lastEventAt     clock.Micros
	longestEventGap clock.Micros // between two forwarded events, over all attempts
}

// serve carries out the state machine's decisions on the request until one ends it.
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

// fail responds with an error of the edge itself. A response that has already started is aborted
// instead, so that it does not look complete.
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

// runAttempt sends the request to one server, forwards the response unless it must be withheld, and
// returns the result.
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

// impliesExecutionStarted reports whether the head of a response alone shows that the server started to
// run the request. For an event stream, the first event shows it (proxy.AttemptStarted).
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

// upstreamRequest returns the request to send in an attempt. A stream is resumed after the last event
// that the caller has.
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

// outcomeOf returns the outcome of an attempt that ended with an error instead of a response.
func outcomeOf(err error) proxy.Outcome {
	switch {
	case errs.Is(err, errs.BadInput):
		return proxy.Invalid
	case upstream.DeliveryOf(err) == upstream.NotWritten:
		return proxy.NotSent
	}
	return proxy.Interrupted
}

// withhold reports whether a response must not be forwarded to the caller, and if so, the outcome of
// the attempt and the reason. A server's error response is forwarded only if no other attempt can
// follow.
func (p *proxiedRequest) withhold(response *upstream.Response, attempt proxy.Attempt) (outcome proxy.Outcome, reason string, withheld bool) {
	idempotent := proxy.IsIdempotent(attempt.Route)
	unconfirmedRejection := impliesNotRun(response.Status) && !idempotent && !p.responseStarted
	retriableFailure := response.Status >= http.StatusInternalServerError && !attempt.IsLast && idempotent
	cannotContinue := p.responseStarted && response.Status != http.StatusOK
	switch {
	case response.NotRun:
		return proxy.NotRun, fmt.Sprintf("the server did not run the request: status %d", response.Status), true
	case unconfirmedRejection:
		return proxy.Failed, fmt.Sprintf("the server answered %d without stating that it did not run the request", response.Status), true
	case retriableFailure, cannotContinue:
		return proxy.Failed, fmt.Sprintf("the server failed: status %d", response.Status), true
	}
	return proxy.Complete, "", false
}

// impliesNotRun reports whether callers take a status as a guarantee that the request has not run and
// never will. A server's status alone is no such guarantee. Unless the server states that it did not
// run the request (upstream.Response.NotRun), the caller of a request that may run only once gets an
// error of the edge, which guarantees nothing.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// maxDrainBytes is how much of a withheld response is read so that its connection can be reused. The
// connection is closed if the rest of the response is longer.
const maxDrainBytes = 64 << 10

func drain(response *upstream.Response) {
	// Response.Close detects a read error from the state of the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDrainBytes))
}
