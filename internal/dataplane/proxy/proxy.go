// Package proxy is the way of opaque requests through an edge (reverse proxying;
// DESIGN §12.1, §12.2): which route a request matches, which server it is passed on to, how
// often it may be sent, and what its caller may be told for certain. It is a part
// of the edge's machine: the sockets are the shell's.
package proxy

import (
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Settings of the passage; the defaults are ours.
type Settings struct {
	QueueTimeDivisor int64        // a request waits for a server for at most one part in so many of its aim
	MaxQueueTime     clock.Micros // and never longer than this
	MinRetryAfter    clock.Micros // when one that was refused may come back, at the least
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{QueueTimeDivisor: 5, MaxQueueTime: 200 * clock.Millisecond, MinRetryAfter: 30 * clock.Millisecond}
}

// What the shell hands in; each is a call, whose answer is the next word.
type (
	// Request is a request as it came.
	Request struct {
		ID              string // the name this edge gave it
		Host, Path      string
		ReceivedAt      clock.Micros    // when its head came; 0: now
		CallerTimeout   clock.Micros    // how long the caller will wait; 0: it did not say
		PromptSegments  []PromptSegment // of its prompt, in order
		PromptTokens    int64           // tokens to be read
		MaxOutputTokens int64           // tokens put out at the most
		ResumesStream   bool            // the caller goes on with a stream that was cut
	}
	// AttemptResult tells how a try on a server went.
	AttemptResult struct {
		RequestID       string
		Outcome         Outcome
		ResponseStarted bool // some of the answer has reached the caller
		ContextDone     bool // the caller has left, or its deadline passed
		LocalFailure    bool // what went wrong says nothing of the server
		Reason          string
	}
	// AttemptStarted tells that a server has begun the request.
	AttemptStarted struct{ RequestID string }
	// PromptSegment is a part of a prompt that requests may share.
	PromptSegment struct {
		ID     string
		Tokens int64
	}
)

// Outcome is what is certain about a try.
type Outcome int

// The outcomes. Unsent: no byte of it reached a server. NotRun: the server's own
// word that it did not run it. Whole: the answer was passed on whole. Failed: the
// server answered with a failure of its own that has not been passed on. Cut: it
// may have run, in part or whole. Invalid: no server could be sent it.
const (
	NotSent Outcome = iota
	NotRun
	Complete
	Failed
	Interrupted
	Invalid
)

// What the shell is told.
type (
	// Attempt says: send the request to this server, then tell how it went.
	Attempt struct {
		Address, Server string
		Route           *config.Route
		Deadline        clock.Micros
		IsLast          bool // a failure of this server's own is passed on: no further try follows
	}
	// BatchSubmission says: the request hands in a batch; it is no order for a server.
	BatchSubmission struct{ Route *config.Route }
	// Done says: nothing more is to be done.
	Done struct{}
)

// Proxy holds the requests under way.
type Proxy struct {
	settings  Settings
	calls     *machine.Calls
	scheduler *scheduler.Scheduler
	random    *rand.Rand
	inFlight  map[string]*activeRequest
	// Counters for the operators.
	Forwarded, Rejected, UnknownOutcomes, Retries int64
	// RetryUnsafely is a fault planted by tests: a request that may have run is sent on
	// once more whatever its kind.
	RetryUnsafely bool
}

type activeRequest struct {
	Request
	route            *config.Route
	priority         int64
	deadline         clock.Micros
	call             uint64
	schedulerRequest *scheduler.Request
	assignment       *scheduler.Assignment
	avoidedServers   map[string]int
	attempts         int64
	unsentAttempts   int // servers that took no connection
	localFailures    int // servers to which no connection was free here
	mayHaveRun       bool
}

// New makes the part of an edge's machine that passes requests on.
func New(settings Settings, calls *machine.Calls, sched *scheduler.Scheduler, seed int64) *Proxy {
	return &Proxy{settings: settings, calls: calls, scheduler: sched, random: rand.New(rand.NewSource(seed)), inFlight: map[string]*activeRequest{}}
}

// InFlight is how many requests are under way.
func (p *Proxy) InFlight() int { return len(p.inFlight) }

// Call takes what the shell hands in; false for anything else.
func (p *Proxy) Call(call uint64, body any, now clock.Micros) bool {
	switch request := body.(type) {
	case Request:
		p.handleRequest(call, request, now)
	case AttemptResult:
		p.handleAttemptResult(call, request, now)
	case AttemptStarted:
		if r := p.inFlight[request.RequestID]; r != nil && r.assignment != nil {
			r.assignment.PrefillDone(now)
		}
		p.reply(call, nil, nil)
	default:
		return false
	}
	return true
}

func (p *Proxy) reply(call uint64, body any, err error) {
	p.calls.Emit(machine.Reply{Call: call, Body: body, Err: err})
}

// IsIdempotent tells whether requests of a route may run more than once.
func IsIdempotent(route *config.Route) bool {
	return route.Kind == config.Repeatable || route.Kind == config.Resumable
}

// handleRequest finds the request's route; a daemon without a configuration denies nothing.
func (p *Proxy) handleRequest(call uint64, request Request, now clock.Micros) {
	configuration := p.scheduler.Configuration()
	if configuration == nil {
		p.reply(call, nil, errs.NewWithRetry(errs.NotReady, p.settings.MinRetryAfter, "ask another daemon; this one has just started", "no plan has arrived yet"))
		return
	}
	route := configuration.MatchRoute(request.Host, request.Path)
	switch {
	case route == nil:
		p.reply(call, nil, errs.New(errs.UnknownRoute, "correct host and path, or have the operators add a route", "no route for this host and path"))
		return
	case route.Kind == config.Batch:
		p.reply(call, BatchSubmission{Route: route}, nil)
		return
	}
	r := &activeRequest{Request: request, route: route, call: call, avoidedServers: map[string]int{}}
	if class := configuration.ClassOfTenant(route.Name); class != nil {
		r.priority = class.Priority
	}
	received := now
	if request.ReceivedAt > 0 {
		received = min(request.ReceivedAt, now)
	}
	r.deadline = received + route.Timeout
	if request.CallerTimeout > 0 {
		r.deadline = min(r.deadline, received+request.CallerTimeout)
	}
	p.inFlight[request.ID] = r
	p.scheduleAttempt(r, nil, now)
}

// queueDeadline is up to when a request may wait for a server: one that has waited longer
// is worth more to its caller as a refusal that says when to come back.
func (p *Proxy) queueDeadline(r *activeRequest, now clock.Micros) clock.Micros {
	deadline := now + p.settings.MaxQueueTime
	if latencyTarget := r.route.Forward.LatencyTarget; latencyTarget > 0 {
		deadline = min(deadline, now+latencyTarget/p.settings.QueueTimeDivisor)
	}
	return min(deadline, r.deadline)
}

// scheduleAttempt looks for a server; last is why one is needed once more.
func (p *Proxy) scheduleAttempt(r *activeRequest, last error, now clock.Micros) {
	if now >= r.deadline {
		p.failRequest(r, errs.NewWithRetry(errs.DeadlineExceeded, p.settings.MinRetryAfter, "ask again with a later expiry", "the request's time is over"), now)
		return
	}
	r.schedulerRequest = &scheduler.Request{ID: r.ID, Tenant: r.route.Name, Route: r.route, Priority: r.priority, Prefix: sharedPrefix(r.PromptSegments), PromptTokens: r.PromptTokens, Pools: p.choosePools(r.route), Deadline: p.queueDeadline(r, now), AvoidedServers: r.avoidedServers}
	r.schedulerRequest.Drop = func(err error, now clock.Micros) {
		if last != nil {
			err = last
		}
		p.failRequest(r, err, now)
	}
	r.schedulerRequest.Start = func(assignment *scheduler.Assignment, _ clock.Micros) {
		r.assignment = assignment
		r.attempts++
		p.reply(r.call, Attempt{Address: assignment.Server.Address, Server: assignment.Server.Name, Route: r.route, Deadline: r.deadline, IsLast: !p.hasAttemptsLeft(r)}, nil)
	}
	if err := p.scheduler.Submit(r.schedulerRequest, now); err != nil {
		p.failRequest(r, err, now)
	}
}

// choosePools picks the part of a split route that this request goes to.
func (p *Proxy) choosePools(route *config.Route) config.Selector {
	total := int64(0)
	for _, weighted := range route.Forward.Split {
		total += weighted.Weight
	}
	if total == 0 {
		return nil
	}
	draw := p.random.Int63n(total)
	for _, weighted := range route.Forward.Split {
		if draw -= weighted.Weight; draw < 0 {
			return weighted.Pools
		}
	}
	return nil
}

// sharedPrefix names the part that most other requests share: the first.
func sharedPrefix(parts []PromptSegment) string {
	if len(parts) == 0 {
		return ""
	}
	return parts[0].ID
}

// hasAttemptsLeft tells whether the request may be sent to a further server.
func (p *Proxy) hasAttemptsLeft(r *activeRequest) bool {
	return r.attempts < max(1, r.route.Forward.MaxAttempts)
}

// maxUnsentAttempts is how many servers that take no connection are passed over: each may
// cost the time of one. maxLocalFailures is the same for servers to which no connection is
// free here, which cost no time.
const (
	maxUnsentAttempts = 3
	maxLocalFailures  = 32
)

// handleAttemptResult decides by how a try went.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (p *Proxy) handleAttemptResult(call uint64, result AttemptResult, now clock.Micros) {
	r := p.inFlight[result.RequestID]
	if r == nil || r.assignment == nil {
		p.reply(call, nil, errs.New(errs.OutcomeUnknown, "ask anew", "no request %q is under way here", result.RequestID))
		return
	}
	assignment := r.assignment
	r.call, r.assignment, r.schedulerRequest = call, nil, nil
	switch result.Outcome {
	case Complete:
		assignment.Release(now-assignment.AssignedAt, true, now)
		p.Forwarded++
		p.finish(r, Done{}, nil)
		return
	case Invalid:
		assignment.Abandon(now)
		p.finish(r, nil, errs.New(errs.BadInput, "correct the request", "%s", result.Reason))
		return
	case NotSent:
		if result.LocalFailure || result.ContextDone {
			assignment.Abandon(now)
		} else {
			assignment.Release(0, false, now)
		}
		r.attempts--
		if result.LocalFailure {
			r.localFailures++
		} else {
			r.unsentAttempts++
		}
	case NotRun:
		assignment.Rejected(now)
	case Failed:
		assignment.Release(0, true, now)
		r.mayHaveRun = true
	case Interrupted:
		if result.ContextDone {
			assignment.Abandon(now)
		} else {
			assignment.Release(0, false, now)
		}
		r.mayHaveRun = true
	}
	r.avoidedServers[assignment.Server.Name] = 3
	cause := errs.NewWithRetry(errs.NotReady, p.settings.MinRetryAfter, "ask again", "no server took the request: %s", result.Reason)
	switch {
	case result.ContextDone:
		p.failRequest(r, cause, now)
	case r.mayHaveRun && !IsIdempotent(r.route) && !p.RetryUnsafely,
		result.ResponseStarted && r.route.Kind != config.Resumable:
		p.failRequest(r, cause, now)
	case !p.hasAttemptsLeft(r), r.unsentAttempts > maxUnsentAttempts, r.localFailures > maxLocalFailures:
		p.failRequest(r, cause, now)
	default:
		p.Retries++
		p.scheduleAttempt(r, cause, now)
	}
}

// failRequest ends a request that no server answered: it is refused, with when to come
// back, only if no try of it can have run.
func (p *Proxy) failRequest(r *activeRequest, cause error, now clock.Micros) {
	if r.mayHaveRun {
		p.UnknownOutcomes++
		p.finish(r, nil, errs.New(errs.ServerFault, "ask again where the request may run twice", "a try of the request may have run: %v", cause))
		return
	}
	p.Rejected++
	if typedErr := errs.Of(cause); typedErr.Kind != errs.UnknownRoute {
		cause = errs.NewWithRetry(errs.NotReady, max(p.settings.MinRetryAfter, min(typedErr.RetryAfterUS, r.deadline-now)), typedErr.Remedy, "%s", typedErr.Message)
	}
	p.finish(r, nil, cause)
}

func (p *Proxy) finish(r *activeRequest, body any, err error) {
	delete(p.inFlight, r.ID)
	p.reply(r.call, body, err)
}
