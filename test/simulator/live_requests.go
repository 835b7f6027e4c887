package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
)

// liveExchange is one live request on its way through an edge.
type liveExchange struct {
	*exchange
	output string // of all attempts so far, joined
}

// SendLive sends one live request to an edge, as the edge's front end does: it runs where
// the machine decides. The callback runs once, after the request has its outcome.
func (v *Workload) SendLive(n *Node, req *Request, callback func()) {
	e := &liveExchange{exchange: v.newExchange(n, req, "o", callback)}
	v.unansweredRequests = append(v.unansweredRequests, req)
	if !e.connect(e.disconnect) {
		return
	}
	n.CallLocal(requests.LiveRequest{ID: e.id, APIKey: "key-" + req.Tenant, Route: req.Route, IdempotencyKey: req.Key, Input: req.Input}, e.handleReply)
}

// disconnect is the caller closing its connection before its answer is complete.
func (e *liveExchange) disconnect() {
	if !e.isOpen() {
		return
	}
	e.callerLeft = true
	e.node.CallLocal(requests.CallerDisconnected{RequestID: e.id}, func(any, error) {})
	e.node.runOrDefer(func() {
		if e.call != nil {
			e.abort(e.call)
		}
	})
	e.finish(outcomeUnknown, "the caller left")
}

// handleReply does what the edge's machine decided: an attempt, or the answer.
func (e *liveExchange) handleReply(reply any, err error) {
	if e.node.generation != e.generation {
		return
	}
	switch r := reply.(type) {
	case requests.Attempt:
		e.attempt(r)
	case requests.Response:
		if e.request.Kind == config.OneShot {
			e.request.Output = r.Output
		}
		e.request.Complete = true
		e.finish(outcomeOK, "")
	default:
		kind := errs.Of(err).Kind
		if kind == errs.OutcomeUnknown || e.request.Output != "" {
			e.finish(outcomeUnknown, kind)
		} else {
			e.finish(outcomeRejected, kind)
		}
	}
}

// attempt sends the request to one server and joins what comes to the output.
func (e *liveExchange) attempt(attempt requests.Attempt) {
	w := e.workload.world
	report := func(outcome modelclient.Outcome, reason string) {
		e.call = nil
		result := requests.AttemptResult{
			RequestID:   e.id,
			Outcome:     outcome,
			Reason:      reason,
			Output:      e.output,
			ContextDone: e.callerLeft || w.Now >= attempt.Deadline,
		}
		e.node.CallLocal(result, e.handleReply)
	}
	if e.callerLeft {
		report(modelclient.NotStarted, "the caller left")
		return
	}
	started := false
	call := w.callServer(e.node, attempt.Request, func(chunk string) {
		if !started {
			started = true
			e.node.CallLocal(requests.AttemptStarted{RequestID: e.id}, func(any, error) {})
		}
		e.output += chunk
		if attempt.RouteKind != config.OneShot {
			e.request.Output = e.output
		}
	}, report)
	e.call = call
	e.abortAt(attempt.Deadline, call, func() { e.abort(call) })
}

// abort ends an attempt from the edge's side: it may have run.
func (e *liveExchange) abort(call *serverCall) {
	if call.clientDone {
		return
	}
	call.cancel()
	call.onDone(modelclient.Interrupted, "the request's deadline passed, or its caller left")
}

// resend sends a request with the same key to another edge: it never runs twice,
// and an answer is the first one's.
func (v *Workload) resend(req *Request, attempts int) {
	n := v.randomEdge()
	if n == nil || attempts == 0 {
		return
	}
	// A new attempt with the key may run, though the one before was rejected.
	before := req.Outcome
	if req.Outcome == outcomeRejected {
		req.Outcome = ""
	}
	again := &Request{Input: req.Input, Kind: req.Kind, Tenant: req.Tenant, Route: req.Route, Key: req.Key}
	v.SendLive(n, again, func() {
		switch {
		case again.Outcome == outcomeRejected && before == outcomeRejected:
			req.Outcome = outcomeRejected
		case again.Outcome == outcomeOK && req.Outcome == outcomeOK && again.Output != req.Output:
			v.reportViolation(runsAtMostOnce, "key %s: answered %q and %q", req.Key, req.Output, again.Output)
		case again.Outcome == outcomeOK:
			req.Outcome, req.Output, req.Complete = outcomeOK, again.Output, true
			v.checkAnswer(again)
		case again.Outcome == outcomeUnknown || req.Outcome == outcomeUnknown:
			// Whether the key's request ran is not known, whatever the other's outcome is.
			req.Outcome = outcomeUnknown
			v.world.After(v.world.randomBetween(100, 900)*clock.Millisecond, func() { v.resend(req, attempts-1) })
		}
	})
}

// SendBurst lets many callers send at once, each one request.
func (v *Workload) SendBurst(count int, tenant string) {
	w := v.world
	v.lastNumber++
	burst := v.lastNumber
	for i := range count {
		req := &Request{Tenant: tenant, Route: "once", Kind: config.OneShot, Input: fmt.Sprintf("crowd-%d/%d", burst, i)}
		v.addRequest(req)
		w.After(w.randomBetween(0, 100*clock.Millisecond), func() {
			if n := v.randomEdge(); n != nil {
				v.SendLive(n, req, func() {})
			} else {
				req.AnsweredAt, req.Outcome = w.Now, outcomeRejected
			}
		})
	}
}
