package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// exchange is one request on its way through an edge, as the edge's front end sees it: what
// live and forwarded requests have in common.
type exchange struct {
	workload        *Workload
	node            *Node
	generation      int // of the node when the request came
	request         *Request
	id              string
	callerLeft      bool // the caller has closed its connection
	finished        bool
	call            *serverCall // the attempt under way; nil: none
	onFinished      func()
	removeCrashHook func()
}

func (v *Workload) newExchange(n *Node, req *Request, idPrefix string, callback func()) *exchange {
	req.Edge = n.Name
	req.SentAt = v.world.Now
	req.Outcome = ""
	v.lastNumber++
	return &exchange{
		workload:   v,
		node:       n,
		generation: n.generation,
		request:    req,
		id:         fmt.Sprintf("%s-%d", idPrefix, v.lastNumber),
		onFinished: callback,
	}
}

// connect opens the caller's connection; false where the edge is down. The caller
// disconnects when its request's disconnect is called, or after callerTimeout.
func (e *exchange) connect(disconnect func()) bool {
	w := e.workload.world
	if !e.node.up {
		w.After(clock.Millisecond, func() { e.finish(outcomeRejected, "no connection") })
		return false
	}
	e.removeCrashHook = e.node.onCrash(func() { e.finish(outcomeUnknown, "the connection broke") })
	e.request.disconnect = disconnect
	w.After(callerTimeout, disconnect)
	return true
}

// isOpen says whether the caller still waits at the process that it called.
func (e *exchange) isOpen() bool {
	return !e.finished && e.node.generation == e.generation
}

// finish gives the caller its outcome, once, and has it checked.
func (e *exchange) finish(outcome string, reason errs.Kind) {
	if e.finished {
		return
	}
	e.finished = true
	if e.removeCrashHook != nil {
		e.removeCrashHook()
	}
	v, req := e.workload, e.request
	req.AnsweredAt = v.world.Now
	req.Outcome = outcome
	req.Reason = reason
	if req.Key != "" {
		v.world.Tracef("%s: request %s with its key, as %s, sent %d us ago, ends %s %s", e.node.Name, req.Input, e.id, v.world.Now-req.SentAt, outcome, reason)
	}
	v.checkAnswer(req)
	if req.Forwarded {
		v.checkAnswerTime(e)
	}
	e.onFinished()
}

// abortAt ends an attempt at its deadline where it is still under way.
func (e *exchange) abortAt(deadline clock.Micros, call *serverCall, abort func()) {
	w := e.workload.world
	w.After(max(0, deadline-w.Now), func() {
		if e.call == call && e.node.generation == e.generation {
			e.node.runOrDefer(abort)
		}
	})
}

// cancelCall ends the attempt under way from the edge's side; false where there is none.
func (e *exchange) cancelCall() bool {
	if e.call == nil || e.call.clientDone {
		return false
	}
	e.call.cancel()
	return true
}
