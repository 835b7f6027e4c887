// Package proxy makes the decisions of the edge's reverse proxy for opaque requests (DESIGN §12.1,
// §12.2): which route a request matches, which server it is sent to, how often it is attempted, and
// what guarantee its caller gets when no attempt succeeds.
//
// A request passes through these types:
//
//	gateway.proxiedRequest -> Request -> Decision: Attempt | BatchSubmission | Done
//	Attempt -> upstream.Request -> upstream.Response | upstream.Error -> AttemptResult -> Decision
//
// Inputs are Request and AttemptResult, each answered by one Decision or by an error that is
// the final answer to the caller; and AttemptStarted, which is only acknowledged. The package is a
// part of the edge's state machine: it opens no socket and reads no clock. The gateway package
// carries out the decisions.
//
// Two invariants hold for every request:
//   - A request that is not idempotent is not retried after an attempt that may have run.
//   - The caller gets errs.NotReady or errs.DeadlineExceeded, which guarantee that nothing ran,
//     only if no attempt may have run; otherwise it gets errs.ServerFault.
//
// Nothing in this package is safe for concurrent use: only the daemon's event loop calls it.
package proxy

import (
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Settings limit how long requests wait; Defaults returns the default values.
type Settings struct {
	// QueueTimeDivisor limits the wait for a server to the route's latency target divided by this
	// number. Default 5.
	QueueTimeDivisor int64
	// MaxQueueTime limits the wait for a server, whatever the latency target. Default 200 ms.
	MaxQueueTime clock.Micros
	// MinRetryAfter is the shortest time after which a rejected caller may retry. Default 30 ms.
	MinRetryAfter clock.Micros
}

// Defaults returns the settings that apply where nothing is set.
func Defaults() Settings {
	return Settings{QueueTimeDivisor: 5, MaxQueueTime: 200 * clock.Millisecond, MinRetryAfter: 30 * clock.Millisecond}
}

// InjectedFaults are set by tests only, to show that their checks detect such faults.
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

	// Counters of requests since the daemon's start, exported as metrics.
	Forwarded       int64 // a server's response reached the caller
	Rejected        int64 // failed, and certainly not run
	Unauthorised    int64 // without an API key that the route requires, or with a key of no tenant
	UnknownOutcomes int64 // failed, and possibly run
	Retries         int64 // attempts after a request's first attempt

	// OnExecutionStarted, if set, is called once for each request that starts to run on a server; tenant is
	// "" for a request without one.
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
	responseStartedAt clock.Micros // when its response started; 0 if it has not
	deadline          clock.Micros
	call              uint64 // the call that the next decision answers
	schedulerRequest  *scheduler.Request
	assignment        *scheduler.Assignment // the server of the current attempt; nil between attempts
	avoidedServers    map[string]int
	attempts          int64 // attempts that reached a server
	unsentAttempts    int   // attempts whose server accepted no connection
	localFailures     int   // attempts for which this daemon had no free connection to the server
	mayHaveRun        bool  // an attempt may have run, at least in part
	executionStarted  bool  // a server has started to run it
}

// New returns the proxy of an edge's state machine; the seed makes its random choices reproducible.
func New(settings Settings, calls *machine.Calls, sched *scheduler.Scheduler, seed int64) *Proxy {
	return &Proxy{
		settings:  settings,
		calls:     calls,
		scheduler: sched,
		random:    rand.New(rand.NewSource(seed)),
		inFlight:  map[string]*activeRequest{},
	}
}

// InFlight returns the number of requests in flight.
func (p *Proxy) InFlight() int { return len(p.inFlight) }

// Call handles a message of the gateway and returns false if the message is not for this package.
// The reply to the call is a Decision or an error; that to AttemptStarted is empty.
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

// decide replies with the gateway's next step.
func (p *Proxy) decide(call uint64, decision Decision) {
	p.calls.Emit(machine.Reply{Call: call, Body: decision})
}

// acknowledge sends an empty reply to a report that needs no decision.
func (p *Proxy) acknowledge(call uint64) {
	p.calls.Emit(machine.Reply{Call: call})
}

// fail replies with an error, which is the final answer to the caller.
func (p *Proxy) fail(call uint64, err error) {
	p.calls.Emit(machine.Reply{Call: call, Err: err})
}

// failRequest fails a request that no server completed. The request is rejected with a retry delay
// only if no attempt may have run.
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
