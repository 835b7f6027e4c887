package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/errs"
)

// This file is the callers' side of requests that are forwarded unchanged (DESIGN
// §12.1, §12.2), and the edge's front end for them.

// forwardedKinds are the routes of such requests by name; host and path are made of it.
var forwardedKinds = map[string]string{"safe": config.Repeatable, "unsafe": config.OneShot, "events": config.Stream, "resumable": config.Resumable}

// forwardedRoutes are their names in a fixed order, the batches' route left out.
var forwardedRoutes = []string{"safe", "unsafe", "events", "resumable"}

const (
	batchRoute      = "bulk"
	forwardTimeout  = 4 * clock.Second
	forwardAttempts = 3
	forwardedPrefix = "/v1/" // of all their paths
)

func hostOf(route string) string { return route + ".sim" }

// routeIDOf is the ID of a forwarded route, which stays while its name changes.
func routeIDOf(route string) config.RouteID {
	return config.ForwardedRouteID(hostOf(route), forwardedPrefix)
}

// newForwardedRequest is a request of a route, known to the checks.
func (v *Workload) newForwardedRequest(route, input string) *Request {
	req := &Request{Tenant: defaultTenant, Route: route, Kind: forwardedKinds[route], Input: input, Forwarded: true}
	v.addRequest(req)
	v.ForwardedRequests++
	return req
}

// forwardedExchange is one forwarded request on its way through an edge.
type forwardedExchange struct {
	*exchange
	lastEvent       int  // the last event that the caller has received
	responseStarted bool // some of an answer has reached the caller
}

// SendForwarded sends one request to an edge and follows it to its end. The callback runs
// once, after the request has its outcome.
func (v *Workload) SendForwarded(n *Node, req *Request, callback func()) {
	e := &forwardedExchange{exchange: v.newExchange(n, req, "p", callback)}
	if !e.connect(e.disconnect) {
		return
	}
	n.CallLocal(proxy.Request{
		ID:              e.id,
		Host:            hostOf(req.Route),
		Path:            "/v1/x",
		PromptSegments:  []proxy.PromptSegment{{ID: req.Route, Tokens: 20}},
		PromptTokens:    20,
		MaxOutputTokens: 20,
	}, e.handleReply)
}

// disconnect is the caller closing its connection before its answer is complete.
func (e *forwardedExchange) disconnect() {
	if !e.isOpen() {
		return
	}
	e.callerLeft = true
	e.node.runOrDefer(func() { e.abort("the caller left") })
	e.finish(outcomeUnknown, "the caller left")
}

// abort ends the attempt under way from the edge's side.
func (e *forwardedExchange) abort(reason string) {
	if e.cancelCall() {
		e.reportAttempt(proxy.AttemptResult{Outcome: proxy.Interrupted, Reason: reason, ContextDone: true})
	}
}

// reportAttempt reports an attempt's result to the edge's machine, and goes on with its
// reply.
func (e *forwardedExchange) reportAttempt(result proxy.AttemptResult) {
	e.call = nil
	result.RequestID = e.id
	result.ResponseStarted = e.responseStarted
	e.node.CallLocal(result, e.handleReply)
}

// handleReply does what the edge's machine decided: another attempt, or the end.
func (e *forwardedExchange) handleReply(reply any, err error) {
	if e.node.generation != e.generation {
		return
	}
	switch r := reply.(type) {
	case proxy.Attempt:
		e.attempt(r)
	case proxy.Done:
		e.request.Complete = true
		e.finish(outcomeOK, "")
	default:
		kind := errs.Of(err).Kind
		mayHaveRun := kind == errs.ServerFault || kind == errs.OutcomeUnknown || e.responseStarted
		if mayHaveRun {
			e.finish(outcomeUnknown, kind)
			return
		}
		e.finish(outcomeRejected, kind)
	}
}

// attempt sends the request to one server and forwards what comes to the caller: events as
// they come, any other answer at its end.
func (e *forwardedExchange) attempt(attempt proxy.Attempt) {
	if e.callerLeft {
		e.reportAttempt(proxy.AttemptResult{Outcome: proxy.NotSent, ContextDone: true, Reason: "the caller left"})
		return
	}
	e.workload.checkRouteOfAttempt(e.request, attempt)
	body := ""
	onChunk := func(_ int, text string) { body += text }
	if attempt.Route.Kind == config.Stream || attempt.Route.Kind == config.Resumable {
		onChunk = e.eventReceiver()
	}
	request := modelclient.Request{Address: attempt.Address, RequestID: e.id, Input: e.request.Input, IdleTimeout: callerTimeout}
	call := e.workload.world.forward(e.node, request, e.lastEvent, onChunk, func(outcome modelclient.Outcome, reason string) {
		e.attemptEnded(attempt, outcome, reason, body)
	})
	e.call = call
	e.abortAt(attempt.Deadline, call, func() { e.abort("the request's deadline passed") })
}

// checkRouteOfAttempt checks that a request goes to a server of its own route, whatever that is called by now.
func (v *Workload) checkRouteOfAttempt(req *Request, attempt proxy.Attempt) {
	if req.Kind != config.Resumable {
		return // all servers are theirs
	}
	v.countCheck(routeKept)
	if half := v.world.serverByAddress[attempt.Address].halfLabel(); half != resumingHalf {
		v.reportViolation(routeKept, "%s on the route %s goes to %s, which is not one of its servers", req.Input, req.Route, attempt.Server)
	}
}

// eventReceiver takes the events of one attempt. A stream that is resumed has to go on with
// the event after the last one that the caller received.
func (e *forwardedExchange) eventReceiver() func(id int, text string) {
	resuming, started := e.responseStarted, false
	return func(id int, text string) {
		if resuming && id != e.lastEvent+1 {
			e.call.cancel()
			e.reportAttempt(proxy.AttemptResult{Outcome: proxy.Interrupted, Reason: "the server goes on at the wrong event"})
			return
		}
		if !started {
			started = true
			e.node.CallLocal(proxy.AttemptStarted{RequestID: e.id}, func(any, error) {})
		}
		resuming = false
		e.responseStarted = true
		e.lastEvent = id
		e.request.Output += text
	}
}

// attemptEnded reports how an attempt on a server ended.
func (e *forwardedExchange) attemptEnded(attempt proxy.Attempt, outcome modelclient.Outcome, reason, body string) {
	result := proxy.AttemptResult{Outcome: proxy.Interrupted, Reason: reason, ContextDone: e.workload.world.Now >= attempt.Deadline}
	mayRetry := e.responseStarted || !attempt.IsLast && proxy.IsIdempotent(attempt.Route)
	switch {
	case outcome == modelclient.NotStarted && reason == reasonNotRun:
		result.Outcome = proxy.NotRun
	case outcome == modelclient.NotStarted:
		result.Outcome = proxy.NotSent
	case outcome == modelclient.Complete:
		result.Outcome = proxy.Complete
		e.request.Output += body
		e.responseStarted = true
	case outcome == modelclient.Rejected && mayRetry:
		result.Outcome = proxy.Failed
	case outcome == modelclient.Rejected:
		// The server's own failure is forwarded as it is.
		e.responseStarted = true
		e.finish(outcomeFailed, "")
		result.Outcome = proxy.Complete
	}
	e.reportAttempt(result)
}
