// Package proxy decides what becomes of each opaque request that an edge forwards (a reverse
// proxy; DESIGN §12.1, §12.2): which route it matches, which server gets it, how often it is
// attempted, and what its caller may be assured of when no attempt succeeds.
//
// The way of a request, by its types:
//
//	gateway.proxiedRequest -> Request -> Decision: Attempt | BatchSubmission | Done
//	Attempt -> upstream.Request -> upstream.Response | upstream.Error -> AttemptResult -> Decision
//
// Inputs are Request and AttemptResult, each answered by one Decision or by an error that is
// the caller's final answer; and AttemptStarted, which is only acknowledged. The package is a
// part of the edge's state machine: it opens no socket and reads no clock. The gateway package
// carries the decisions out.
//
// Two invariants hold for every request:
//   - Of a request that is not idempotent, no attempt follows one that may have run.
//   - The caller is answered errs.NotReady or errs.DeadlineExceeded, which assure it that
//     nothing ran, only if no attempt may have run; otherwise errs.ServerFault.
//
// Nothing here is safe for concurrent use: the daemon's event loop is the one caller.
package proxy

import (
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Settings bound how long requests wait; Defaults has the usual values.
type Settings struct {
	// QueueTimeDivisor: a request waits for a server for at most its route's latency target
	// divided by this number. Default 5.
	QueueTimeDivisor int64
	// MaxQueueTime is the longest wait for a server, whatever the latency target. Default 200 ms.
	MaxQueueTime clock.Micros
	// MinRetryAfter is the shortest time after which a rejected caller may retry. Default 30 ms.
	MinRetryAfter clock.Micros
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{QueueTimeDivisor: 5, MaxQueueTime: 200 * clock.Millisecond, MinRetryAfter: 30 * clock.Millisecond}
}

// InjectedFaults are set by tests only, to show that their checks find such a fault.
type InjectedFaults struct {
	// RetryUnsafely retries a request that may have run, whatever its route's kind.
	RetryUnsafely bool
}

// Proxy holds the requests in flight.
type Proxy struct {
	settings  Settings
	calls     *machine.Calls
	scheduler *scheduler.Scheduler
	random    *rand.Rand
	inFlight  map[string]*activeRequest // by request ID

	// Counters of requests for the operators, since the start.
	Forwarded       int64 // a server's response reached the caller
	Rejected        int64 // failed, and certainly not run
	Unauthorised    int64 // without an API key that its route asks for, or with one that no tenant has
	UnknownOutcomes int64 // failed, and possibly run
	Retries         int64 // attempts after a request's first

	// OnExecutionStarted, where set, is told once of each request that begins to run at a server; tenant is ""
	// where it has none.
	OnExecutionStarted func(tenant string, now clock.Micros)

	InjectedFaults InjectedFaults
}

// activeRequest is a request in flight.
type activeRequest struct {
	Request
	route             *config.Route
	identity          Identity
	priority          int64
	receivedAt        clock.Micros
	responseStartedAt clock.Micros // when its response began; 0: it hasn't
	deadline          clock.Micros
	call              uint64 // the call that the next decision answers
	schedulerRequest  *scheduler.Request
	assignment        *scheduler.Assignment // the server of the current attempt; nil between attempts
	avoidedServers    map[string]int
	attempts          int64 // attempts that reached a server
	unsentAttempts    int   // attempts whose server accepted no connection
	localFailures     int   // attempts for which no connection to the server was free here
	mayHaveRun        bool  // an attempt may have run, at least in part
	executionStarted  bool  // a server has begun to run it
}

// New makes the proxy of an edge's machine; the seed makes its random choices repeatable.
func New(settings Settings, calls *machine.Calls, sched *scheduler.Scheduler, seed int64) *Proxy {
	return &Proxy{
		settings:  settings,
		calls:     calls,
		scheduler: sched,
		random:    rand.New(rand.NewSource(seed)),
		inFlight:  map[string]*activeRequest{},
	}
}

// InFlight is how many requests are in flight.
func (p *Proxy) InFlight() int { return len(p.inFlight) }

// Call handles a message of the gateway's; false if the message is not for this package. The
// reply to the call is a Decision, or an error.
func (p *Proxy) Call(call uint64, body any, now clock.Micros) bool {
	switch message := body.(type) {
	case Request:
		p.handleRequest(call, message, now)
	case AttemptResult:
		p.handleAttemptResult(call, message, now)
	case AttemptStarted:
		p.handleAttemptStarted(call, message, now)
	default:
		return false
	}
	return true
}

// decide replies with what the gateway has to do next.
func (p *Proxy) decide(call uint64, decision Decision) {
	p.calls.Emit(machine.Reply{Call: call, Body: decision})
}

// acknowledge replies to a report that nothing follows from.
func (p *Proxy) acknowledge(call uint64) {
	p.calls.Emit(machine.Reply{Call: call})
}

// fail replies with an error, the caller's final answer.
func (p *Proxy) fail(call uint64, err error) {
	p.calls.Emit(machine.Reply{Call: call, Err: err})
}

// failRequest fails a request that no server answered. It is rejected, with the time after
// which to retry, only if no attempt of it may have run.
func (p *Proxy) failRequest(r *activeRequest, cause error, now clock.Micros) {
	delete(p.inFlight, r.ID)
	if r.mayHaveRun {
		p.UnknownOutcomes++
		p.fail(r.call, errs.New(errs.ServerFault, "retry only if the request may run twice", "an attempt of the request may have run: %v", cause))
		return
	}
	p.Rejected++
	if typedErr := errs.Of(cause); typedErr.Kind != errs.UnknownRoute {
		retryAfter := max(p.settings.MinRetryAfter, min(typedErr.RetryAfterUS, r.deadline-now))
		cause = errs.NewWithRetry(errs.NotReady, retryAfter, typedErr.Remedy, "%s", typedErr.Message)
	}
	p.fail(r.call, cause)
}
