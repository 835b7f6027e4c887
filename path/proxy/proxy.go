// Package proxy is the way of opaque requests through an edge (reverse proxying;
// DESIGN §12.1, §12.2): which route a request matches, which server it is passed on to, how
// often it may be sent, and what its caller may be told for certain. It is a part
// of the edge's machine: the sockets are the shell's.
package proxy

import (
	"math/rand"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/path/scheduler"
)

// Settings of the passage; the defaults are ours.
type Settings struct {
	HoldShare int64        // a request waits for a server for at most one part in so many of its aim
	MostHold  clock.Micros // and never longer than this
	Back      clock.Micros // when one that was refused may come back, at the least
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{HoldShare: 5, MostHold: 200 * clock.Millisecond, Back: 30 * clock.Millisecond}
}

// What the shell hands in; each is a call, whose answer is the next word.
type (
	// Arrive is a request as it came.
	Arrive struct {
		Order      string // the name this edge gave it
		Host, Path string
		Came       clock.Micros // when its head came; 0: now
		Wait       clock.Micros // how long the caller will wait; 0: it did not say
		Parts      []Part       // of its prompt, in order
		Prompt     int64        // tokens to be read
		Output     int64        // tokens put out at the most
		Resumes    bool         // the caller goes on with a stream that was cut
	}
	// Ran tells how a try on a server went.
	Ran struct {
		Order   string
		Outcome Outcome
		Began   bool // some of the answer has reached the caller
		Over    bool // the caller has left, or its expiry passed
		Here    bool // what went wrong says nothing of the server
		Why     string
	}
	// Began tells that a server has begun the request.
	Began struct{ Order string }
	// Part is a part of a prompt that requests may share.
	Part struct {
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
	Unsent Outcome = iota
	NotRun
	Whole
	Failed
	Cut
	Invalid
)

// What the shell is told.
type (
	// Run says: send the request to this server, then tell how it went.
	Run struct {
		Address, Server string
		Route           *config.Route
		Expiry          clock.Micros
		Last            bool // a failure of this server's own is passed on: no further try follows
	}
	// Bulk says: the request hands in a bundle; it is no order for a server.
	Bulk struct{ Route *config.Route }
	// Over says: nothing more is to be done.
	Over struct{}
)

// Proxy holds the requests under way.
type Proxy struct {
	set      Settings
	wire     *machine.Wire
	dispatch *scheduler.Scheduler
	chance   *rand.Rand
	open     map[string]*request
	// Counters for the operators.
	Passed, Refused, Unknown, Again int64
	// SecondRun is a fault planted by tests: a request that may have run is sent on
	// once more whatever its kind.
	SecondRun bool
}

type request struct {
	Arrive
	route  *config.Route
	rank   int64
	expiry clock.Micros
	call   uint64
	wanted *scheduler.Order
	grip   *scheduler.Assignment
	avoid  map[string]int
	sent   int64
	unsent int // servers that took no connection
	here   int // servers to which no connection was free here
	ran    bool
}

// New makes the part of an edge's machine that passes requests on.
func New(set Settings, wire *machine.Wire, d *scheduler.Scheduler, seed int64) *Proxy {
	return &Proxy{set: set, wire: wire, dispatch: d, chance: rand.New(rand.NewSource(seed)), open: map[string]*request{}}
}

// Open is how many requests are under way.
func (f *Proxy) Open() int { return len(f.open) }

// Call takes what the shell hands in; false for anything else.
func (f *Proxy) Call(number uint64, body any, now clock.Micros) bool {
	switch ask := body.(type) {
	case Arrive:
		f.arrive(number, ask, now)
	case Ran:
		f.went(number, ask, now)
	case Began:
		if r := f.open[ask.Order]; r != nil && r.grip != nil {
			r.grip.Began(now)
		}
		f.answer(number, nil, nil)
	default:
		return false
	}
	return true
}

func (f *Proxy) answer(call uint64, body any, err error) {
	f.wire.Emit(machine.Answer{Call: call, Body: body, Err: err})
}

// Repeatable tells whether requests of a route may run more than once.
func Repeatable(route *config.Route) bool {
	return route.Kind == config.Repeatable || route.Kind == config.Resumable
}

// arrive finds the request's route; a daemon without a plan denies nothing.
func (f *Proxy) arrive(call uint64, ask Arrive, now clock.Micros) {
	plan := f.dispatch.Plan()
	if plan == nil {
		f.answer(call, nil, errs.Later(errs.NotReady, f.set.Back, "ask another daemon; this one has just started", "no plan has arrived yet"))
		return
	}
	route := plan.Match(ask.Host, ask.Path)
	switch {
	case route == nil:
		f.answer(call, nil, errs.New(errs.UnknownRoute, "correct host and path, or have the operators add a route", "no route for this host and path"))
		return
	case route.Kind == config.Bundle:
		f.answer(call, Bulk{Route: route}, nil)
		return
	}
	r := &request{Arrive: ask, route: route, call: call, avoid: map[string]int{}}
	if class := plan.ClassOf(route.Name); class != nil {
		r.rank = class.Rank
	}
	came := now
	if ask.Came > 0 {
		came = min(ask.Came, now)
	}
	r.expiry = came + route.Expiry
	if ask.Wait > 0 {
		r.expiry = min(r.expiry, came+ask.Wait)
	}
	f.open[ask.Order] = r
	f.seek(r, nil, now)
}

// hold is up to when a request may wait for a server: one that has waited longer
// is worth more to its caller as a refusal that says when to come back.
func (f *Proxy) hold(r *request, now clock.Micros) clock.Micros {
	until := now + f.set.MostHold
	if aim := r.route.Forward.Aim; aim > 0 {
		until = min(until, now+aim/f.set.HoldShare)
	}
	return min(until, r.expiry)
}

// seek looks for a server; last is why one is needed once more.
func (f *Proxy) seek(r *request, last error, now clock.Micros) {
	if now >= r.expiry {
		f.giveUp(r, errs.Later(errs.Expired, f.set.Back, "ask again with a later expiry", "the request's time is over"), now)
		return
	}
	r.wanted = &scheduler.Order{ID: r.Order, Customer: r.route.Name, Route: r.route, Rank: r.rank, Prefix: prefix(r.Parts), Prompt: r.Prompt, Pools: f.pools(r.route), Expiry: f.hold(r, now), Avoid: r.avoid}
	r.wanted.Drop = func(err error, now clock.Micros) {
		if last != nil {
			err = last
		}
		f.giveUp(r, err, now)
	}
	r.wanted.Start = func(grip *scheduler.Assignment, _ clock.Micros) {
		r.grip = grip
		r.sent++
		f.answer(r.call, Run{Address: grip.Server.Address, Server: grip.Server.Name, Route: r.route, Expiry: r.expiry, Last: !f.more(r)}, nil)
	}
	if err := f.dispatch.Submit(r.wanted, now); err != nil {
		f.giveUp(r, err, now)
	}
}

// pools picks the part of a split route that this request goes to.
func (f *Proxy) pools(route *config.Route) config.Selector {
	sum := int64(0)
	for _, part := range route.Forward.Split {
		sum += part.Share
	}
	if sum == 0 {
		return nil
	}
	at := f.chance.Int63n(sum)
	for _, part := range route.Forward.Split {
		if at -= part.Share; at < 0 {
			return part.Pools
		}
	}
	return nil
}

// prefix names the part that most other requests share: the first.
func prefix(parts []Part) string {
	if len(parts) == 0 {
		return ""
	}
	return parts[0].ID
}

// more tells whether the request may be sent to a further server.
func (f *Proxy) more(r *request) bool { return r.sent < max(1, r.route.Forward.Tries) }

// mostUnsent is how many servers that take no connection are passed over: each may
// cost the time of one. mostHere is the same for servers to which no connection is
// free here, which cost no time.
const (
	mostUnsent = 3
	mostHere   = 32
)

// went decides by how a try went.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (f *Proxy) went(call uint64, ran Ran, now clock.Micros) {
	r := f.open[ran.Order]
	if r == nil || r.grip == nil {
		f.answer(call, nil, errs.New(errs.OutcomeUnknown, "ask anew", "no request %q is under way here", ran.Order))
		return
	}
	grip := r.grip
	r.call, r.grip, r.wanted = call, nil, nil
	switch ran.Outcome {
	case Whole:
		grip.Release(now-grip.Started, true, now)
		f.Passed++
		f.end(r, Over{}, nil)
		return
	case Invalid:
		grip.Abandon(now)
		f.end(r, nil, errs.New(errs.BadInput, "correct the request", "%s", ran.Why))
		return
	case Unsent:
		if ran.Here || ran.Over {
			grip.Abandon(now)
		} else {
			grip.Release(0, false, now)
		}
		r.sent--
		if ran.Here {
			r.here++
		} else {
			r.unsent++
		}
	case NotRun:
		grip.Rejected(now)
	case Failed:
		grip.Release(0, true, now)
		r.ran = true
	case Cut:
		if ran.Over {
			grip.Abandon(now)
		} else {
			grip.Release(0, false, now)
		}
		r.ran = true
	}
	r.avoid[grip.Server.Name] = 3
	why := errs.Later(errs.NotReady, f.set.Back, "ask again", "no server took the request: %s", ran.Why)
	switch {
	case ran.Over:
		f.giveUp(r, why, now)
	case r.ran && !Repeatable(r.route) && !f.SecondRun,
		ran.Began && r.route.Kind != config.Resumable:
		f.giveUp(r, why, now)
	case !f.more(r), r.unsent > mostUnsent, r.here > mostHere:
		f.giveUp(r, why, now)
	default:
		f.Again++
		f.seek(r, why, now)
	}
}

// giveUp ends a request that no server answered: it is refused, with when to come
// back, only if no try of it can have run.
func (f *Proxy) giveUp(r *request, why error, now clock.Micros) {
	if r.ran {
		f.Unknown++
		f.end(r, nil, errs.New(errs.ServerFault, "ask again where the request may run twice", "a try of the request may have run: %v", why))
		return
	}
	f.Refused++
	if m := errs.Of(why); m.Kind != errs.UnknownRoute {
		why = errs.Later(errs.NotReady, max(f.set.Back, min(m.RetryAfter, r.expiry-now)), m.Remedy, "%s", m.Message)
	}
	f.end(r, nil, why)
}

func (f *Proxy) end(r *request, body any, err error) {
	delete(f.open, r.Order)
	f.answer(r.call, body, err)
}
