package servingsim

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// tickInterval is the time between two ticks of a daemon's machine.
const tickInterval = 20 * clock.Millisecond

// edge is an edge daemon's state machine together with a simulated gateway.
type edge struct {
	world   *World
	id      string // also its address
	zone    string
	machine *machines.Edge

	lastCall uint64
	calls    map[uint64]func(body any, err error) // reply callbacks by call number
}

func newEdge(w *World, id, zone string) *edge {
	settings := machines.EdgeDefaults()
	settings.PollInterval = 0
	e := &edge{world: w, id: id, zone: zone, calls: map[uint64]func(any, error){}}
	e.machine = machines.NewEdge(id, settings, w.random.Int63())
	e.machine.ParseConfiguration = w.configuration
	e.machine.Scheduler.AdjustSettings(w.adjust)
	w.after(clock.Micros(w.random.Int63n(int64(tickInterval))), e.tick)
	return e
}

func (e *edge) tick() {
	e.execute(e.machine.Tick(e.world.now))
	e.world.after(tickInterval, e.tick)
}

func (e *edge) receive(from string, body any) {
	e.execute(e.machine.Message(from, body, e.world.now))
}

// execute performs the effects of a state machine step.
func (e *edge) execute(effects []machine.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case machine.Send:
			e.world.send(e.id, e.zone, effect.To, effect.Body)
		case machine.Reply:
			callback := e.calls[effect.Call]
			delete(e.calls, effect.Call)
			if callback != nil {
				callback(effect.Body, effect.Err)
			}
		}
	}
}

// call passes a message to the state machine; the callback receives the reply.
func (e *edge) call(body any, callback func(body any, err error)) {
	e.lastCall++
	e.calls[e.lastCall] = callback
	e.execute(e.machine.Call(e.lastCall, body, e.world.now))
}

// serve handles a live request that its caller has already retried so many times.
func (e *edge) serve(r *liveRequest, retries int) {
	id := fmt.Sprintf("%s/%d", r.id, retries)
	request := proxy.Request{
		ID: id, Host: r.class.Name, Path: "/", ReceivedAt: e.world.now, CallerTimeout: r.deadline - e.world.now,
		PromptTokens: int64(r.promptTokens), MaxOutputTokens: int64(r.outputTokens),
	}
	e.call(request, func(body any, err error) { e.handleDecision(r, retries, id, body, err) })
}

// handleDecision starts the attempt that the state machine chose, or handles the refusal.
func (e *edge) handleDecision(r *liveRequest, retries int, id string, body any, err error) {
	if err != nil {
		r.retryOrFail(retries, errs.Of(err).RetryAfterUS)
		return
	}
	attempt, ok := body.(proxy.Attempt)
	if !ok {
		return // no further attempt: the request is finished
	}
	w := e.world
	target := w.servers[attempt.Server]
	delay := w.oneWay(e.zone, target.zone)
	w.countServerBytes(e.zone, target.zone, bytesOf(r.promptTokens, r.outputTokens))
	j := &job{id: id, promptTokens: r.promptTokens, outputTokens: r.outputTokens, deadline: attempt.Deadline}
	j.onStart = func(load serverLoad) {
		w.after(delay, func() {
			r.recordEvent(w.now)
			e.call(proxy.AttemptStarted{RequestID: id, Load: w.loadReport(load)}, nil)
		})
	}
	j.onEvent = func() { w.after(delay, func() { r.recordEvent(w.now) }) }
	j.onEnd = func(outcome jobOutcome, load serverLoad) {
		w.after(delay, func() {
			result := proxy.AttemptResult{RequestID: id, Outcome: outcomes[outcome], Load: w.loadReport(load), LongestEventGap: r.longestGap}
			if outcome == jobDone {
				result.Load = nil
			}
			if outcome == jobDone {
				r.complete(w.now)
			}
			e.call(result, func(body any, err error) { e.handleDecision(r, retries, id, body, err) })
		})
	}
	w.after(delay, func() { target.submit(j) })
	w.after(attempt.Deadline-w.now, func() { e.expireAttempt(r, target, id) })
}

// expireAttempt ends an attempt whose deadline has passed.
func (e *edge) expireAttempt(r *liveRequest, target *server, id string) {
	if r.isOver {
		return
	}
	target.cancel(id)
	r.fail()
	e.call(proxy.AttemptResult{RequestID: id, Outcome: proxy.Interrupted, ContextDone: true}, func(any, error) {})
}

// outcomes maps job outcomes to the attempt outcomes that the gateway reports.
var outcomes = map[jobOutcome]proxy.Outcome{jobDone: proxy.Complete, jobRejected: proxy.NotRun, jobFailed: proxy.Failed}
