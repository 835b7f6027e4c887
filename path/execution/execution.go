// Package execution runs a store's items on servers (DESIGN §6.3, §7, §12.5): each waits
// in the queue by its customer's rank, and is started only under a fresh
// lease. It is a part of the store's machine: the sockets are the event loop's.
package execution

import (
	"strconv"
	"strings"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/scheduler"
)

// Settings of a runner; Defaults has the usual values.
type Settings struct {
	MostTries int
	Silence   clock.Micros
	MostBytes int
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MostTries: 8, Silence: 4 * clock.Second, MostBytes: 1 << 20}
}

// What the event loop is told, as work.
type (
	// Run says: run this item on its server, then tell how it went.
	Run struct {
		Token     uint64
		Request   modelclient.Request
		MostBytes int
		// Forward is what is passed on unchanged; then only the address, the order's
		// name, the priority and the silence of Request count. nil for chat items.
		Forward *Forwarded
	}
	// Forwarded is an opaque item on its way to a server (DESIGN §12.5).
	Forwarded struct {
		Request  *shard.Request
		Bundle   string
		ID       string // the item's id
		Instance string // name of the server
		Resume   int    // id of the last event that came, over all tries; 0 for none
	}
	// Stop says: give this run up; nobody waits for it any more.
	Stop struct{ Token uint64 }
)

// Began is the event loop's word that a server has begun a run: until then the item
// waits, in the server's own queue as well.
type Began struct{ Token uint64 }

// Ran is the event loop's word on how a run went. Of an opaque item Complete is whole,
// NotStarted certainly did not run (the server said so, or took no connection),
// Cut may be gone on with, and Rejected can never be done.
type Ran struct {
	Token   uint64
	Outcome modelclient.Outcome
	Output  string
	Why     string
	// Of an opaque item: the data of the events that came in this try, in order and
	// without those up to Resume; the id of the last of them, 0 for none.
	Events    []string
	LastEvent int
	Failed    bool // the server failed it: an attempt of those the route allows
}

// Runner is the store daemon's part of the path.
type Runner struct {
	set          Settings
	wire         *machine.Wire
	scheduler    *scheduler.Scheduler
	allowed      func(slot int, bundle string, item int, now clock.Micros) bool
	ran          func(store.Ran, clock.Micros)
	Decisions    *decisionlog.Log
	open         map[string]*job
	runs         map[uint64]*job
	queued       map[string]int  // weights by customer: assigned, not begun (an opaque item: not finished)
	parked       map[string]*job // those that could not wait or start here just now
	parkedWeight map[string]int  // the same, counted by customer
	next         clock.Micros    // next look at what is too old
	tried        clock.Micros    // last look at what could not start
	// SkipPermit is a fault planted by tests: work starts without a lease.
	SkipPermit bool
	// IgnoreRevoke is a fault planted by tests: work goes on after it was called back.
	IgnoreRevoke bool
}

type job struct {
	name       string
	item       store.ItemOrder
	weight     int
	order      *scheduler.Order
	assignment *scheduler.Assignment
	token      uint64
	avoid      map[string]int
	tries      int // of an opaque item: attempts that failed
	begun      bool
	events     []string // of an opaque item: what came over all tries
	size       int      // of the events
	last       int      // id of the last of them
}

// New makes a runner; ran is told each item's result.
func New(set Settings, wire *machine.Wire, d *scheduler.Scheduler, allowed func(int, string, int, clock.Micros) bool, ran func(store.Ran, clock.Micros)) *Runner {
	return &Runner{set: set, wire: wire, scheduler: d, allowed: allowed, ran: ran, Decisions: decisionlog.New(8192), open: map[string]*job{}, runs: map[uint64]*job{}, queued: map[string]int{}, parked: map[string]*job{}, parkedWeight: map[string]int{}}
}

// Take puts one of the store's items into the queue; one that waits or runs
// already is passed over.
func (r *Runner) Take(item store.ItemOrder, now clock.Micros) {
	name := item.Bundle + "/" + strconv.Itoa(item.Item)
	if r.open[name] != nil {
		return
	}
	was := r.unpark(name)
	j := &job{name: name, item: item, weight: item.Request.Weight(), avoid: map[string]int{}}
	if was != nil && item.Request != nil {
		// It goes on where it was: its attempts and events stay.
		j.avoid, j.tries, j.events, j.size, j.last = was.avoid, was.tries, was.events, was.size, was.last
	}
	r.open[name] = j
	r.submit(j, now)
}

const (
	gone = "the route is not in the plan any more"
	late = "no server finished it within the time its route keeps items"
)

// fits tells whether the route still takes such items.
func fits(j *job, route *config.Route) bool {
	return route != nil && (route.Forward != nil) == (j.item.Request != nil)
}

// old tells whether an opaque item has waited for longer than its route keeps it.
func old(j *job, route *config.Route, now clock.Micros) bool {
	return j.item.Request != nil && route.Forward.Keep > 0 && now > j.item.Enrolled+route.Forward.Keep
}

// submit puts an item into the queue. A route that is gone from the plan fails
// the item rather than leave the bundle open for ever.
func (r *Runner) submit(j *job, now clock.Micros) {
	plan := r.scheduler.Plan()
	if plan == nil || plan.Version < j.item.Plan {
		r.park(j) // this daemon's plan is behind
		return
	}
	route, _ := plan.Route(j.item.Route)
	rank := int64(1)
	if class := plan.ClassOf(j.item.Customer); class != nil && j.item.Request == nil {
		rank = class.Rank
	}
	if !fits(j, route) {
		r.finish(j, store.Ran{Status: shard.StatusFailed, Output: gone}, now)
		return
	}
	if old(j, route, now) {
		r.finish(j, store.Ran{Status: shard.StatusFailed, Output: late}, now)
		return
	}
	j.order = &scheduler.Order{ID: j.name, Customer: j.item.Customer, Route: route, Rank: rank, Bundle: true, Weight: j.weight, Prefix: route.Prefix, Prompt: int64(j.weight), Avoid: j.avoid}
	j.order.Permit = func(now clock.Micros) bool {
		return r.SkipPermit || r.allowed(j.item.Slot, j.item.Bundle, j.item.Item, now)
	}
	j.order.Start = func(assignment *scheduler.Assignment, now clock.Micros) { r.start(j, assignment, now) }
	j.order.Drop = func(err error, now clock.Micros) {
		if errs.Is(err, errs.UnknownRoute) {
			r.finish(j, store.Ran{Status: shard.StatusFailed, Output: gone}, now)
			return
		}
		r.park(j)
	}
	if err := r.scheduler.Submit(j.order, now); errs.Is(err, errs.UnknownRoute) {
		j.order.Drop(err, now)
	} else if err != nil {
		r.wire.Emit(machine.Explain{What: "an item found no room in the backlog; the store hands it over again", Fields: map[string]any{"order": j.name, "why": err.Error()}})
		r.park(j)
	}
}

// park keeps an item in mind that can't wait or start here just now: the store
// hands it over again, and until then it counts as waiting.
func (r *Runner) park(j *job) {
	r.forget(j)
	if r.parked[j.name] == nil {
		r.parked[j.name] = j
		r.parkedWeight[j.item.Customer] += j.weight
	}
}

func (r *Runner) unpark(name string) *job {
	j := r.parked[name]
	if j == nil {
		return nil
	}
	delete(r.parked, name)
	if r.parkedWeight[j.item.Customer] -= j.weight; r.parkedWeight[j.item.Customer] <= 0 {
		delete(r.parkedWeight, j.item.Customer)
	}
	return j
}

func (r *Runner) forget(j *job) {
	if r.open[j.name] == j {
		delete(r.open, j.name)
	}
}

func (r *Runner) finish(j *job, ran store.Ran, now clock.Micros) {
	r.forget(j)
	ran.Slot, ran.Bundle, ran.Item = j.item.Slot, j.item.Bundle, j.item.Item
	r.ran(ran, now)
}

// start goes by the order's route, which is that of the plan in force.
func (r *Runner) start(j *job, assignment *scheduler.Assignment, now clock.Micros) {
	route := j.order.Route
	if !fits(j, route) {
		assignment.Release(0, true, now)
		r.finish(j, store.Ran{Status: shard.StatusFailed, Output: gone}, now)
		return
	}
	j.assignment, j.token, j.begun = assignment, r.wire.Token(), false
	r.runs[j.token] = j
	r.queued[j.item.Customer] += j.weight
	var forward *Forwarded
	if j.item.Request != nil {
		forward = &Forwarded{Request: j.item.Request, Bundle: j.item.Bundle, ID: j.item.ItemID, Instance: assignment.Server.Name, Resume: j.last}
	}
	r.wire.Emit(machine.Work{Order: Run{Token: j.token, MostBytes: r.set.MostBytes, Forward: forward, Request: modelclient.Request{Address: assignment.Server.Address, Order: j.name, Model: route.Model,
		Prefix: route.Prefix, Input: j.item.Input, MaxTokens: route.MaxTokens, Priority: r.scheduler.Priority(j.order), Silence: r.set.Silence}}})
}

// Begin notes that a run has begun. What an opaque item counts for is work that
// its route has not had done: it counts until a server has finished it.
func (r *Runner) Begin(word Began, now clock.Micros) {
	j := r.runs[word.Token]
	if j == nil {
		return
	}
	j.assignment.Began(now)
	if j.item.Request == nil {
		r.begin(j)
	}
}

func (r *Runner) begin(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	if r.queued[j.item.Customer] -= j.weight; r.queued[j.item.Customer] <= 0 {
		delete(r.queued, j.item.Customer)
	}
}

// Waiting is what a customer's items that wait count for, here or in a server's
// queue; opaque ones that run count as well.
func (r *Runner) Waiting(customer string) int {
	return r.scheduler.Waiting(customer) + r.queued[customer] + r.parkedWeight[customer]
}

// Finished takes the event loop's word. An item may run again elsewhere: only one result
// is listed.
func (r *Runner) Finished(ran Ran, now clock.Micros) {
	j := r.runs[ran.Token]
	if j == nil {
		return // called back
	}
	delete(r.runs, ran.Token)
	r.begin(j)
	assignment := j.assignment
	j.assignment, j.token = nil, 0
	r.Decisions.Begin(decisionlog.Entry{Order: j.name, Customer: j.item.Customer, Route: j.item.Route, Rank: j.order.Rank, Arrived: j.item.Enrolled})
	r.Decisions.Tried(j.name, decisionlog.Try{Server: assignment.Server.Name, Scores: assignment.Scores, At: assignment.Started, Took: now - assignment.Started, Outcome: ran.Outcome.String(), Error: ran.Why})
	if j.item.Request != nil {
		r.opaqueFinished(j, assignment, ran, now)
		return
	}
	if ran.Outcome == modelclient.Complete {
		assignment.Release(now-assignment.Started, true, now)
		r.finish(j, store.Ran{Status: shard.StatusOK, Output: ran.Output, Server: assignment.Server.Name}, now)
		return
	}
	if ran.Outcome == modelclient.NotStarted {
		assignment.Rejected(now)
	} else {
		assignment.Release(0, ran.Outcome == modelclient.Rejected, now)
		j.tries++ // one that did not start is no try
	}
	if ran.Outcome == modelclient.Rejected || j.tries >= r.set.MostTries {
		r.finish(j, store.Ran{Status: shard.StatusFailed, Output: "no server finished it: " + ran.Why, Server: assignment.Server.Name}, now)
		return
	}
	if j.avoid[assignment.Server.Name]++; len(j.avoid) >= 3 {
		clear(j.avoid)
	}
	r.submit(j, now)
}

// opaqueFinished decides by how a try of an opaque item went. It is listed as failed only
// when a server rejects it, when its route's attempts have failed, when it is too
// old, or when its route is gone; whatever else goes wrong, it waits again.
func (r *Runner) opaqueFinished(j *job, assignment *scheduler.Assignment, ran Ran, now clock.Micros) {
	server := assignment.Server.Name
	switch {
	case ran.Failed:
		assignment.Release(0, false, now)
		r.gather(j, ran)
		j.tries++
		j.avoid[server] = 3 // elsewhere first
		route, _ := r.scheduler.Plan().Route(j.item.Route)
		if fits(j, route) && route.Forward.Tries > 0 && int64(j.tries) >= route.Forward.Tries {
			r.finish(j, store.Ran{Status: shard.StatusFailed, Output: "its attempts have failed: " + ran.Why, Server: server}, now)
			return
		}
	case ran.Outcome == modelclient.Complete:
		assignment.Release(now-assignment.Started, true, now)
		r.finish(j, store.Ran{Status: shard.StatusOK, Output: strings.Join(append(j.events, ran.Events...), "\n"), Server: server}, now)
		return
	case ran.Outcome == modelclient.Rejected:
		assignment.Release(0, true, now)
		r.finish(j, store.Ran{Status: shard.StatusFailed, Output: "the server rejected it: " + ran.Why, Server: server}, now)
		return
	case ran.Outcome == modelclient.NotStarted:
		assignment.Rejected(now)
	default:
		assignment.Release(0, false, now)
		r.gather(j, ran)
	}
	r.submit(j, now)
}

// gather keeps the events of a try that was not whole, so that the next one goes on
// after them. Events without a new id can't be gone on with, and come again.
func (r *Runner) gather(j *job, ran Ran) {
	if ran.LastEvent <= j.last {
		return
	}
	size := j.size
	for _, event := range ran.Events {
		size += len(event)
	}
	if size > r.set.MostBytes {
		r.wire.Emit(machine.Explain{What: "an item's events are more than is kept between tries; it begins anew; raise MostBytes", Fields: map[string]any{"order": j.name, "bytes": size}})
		j.events, j.size, j.last = nil, 0, 0
		return
	}
	j.events, j.size, j.last = append(j.events, ran.Events...), size, ran.LastEvent
}

// retryEvery is the time between two looks at what could not start.
const retryEvery = 50 * clock.Millisecond

// retry takes up again what may start now: a slot's items are handed over when it
// begins to serve, a moment before its lease is there.
func (r *Runner) retry(plan *config.Plan, now clock.Micros) {
	if now < r.tried+retryEvery || len(r.parked) == 0 {
		return
	}
	r.tried = now
	for _, name := range sorted(r.parked) {
		if j := r.parked[name]; j != nil && plan.Version >= j.item.Plan && r.allowed(j.item.Slot, j.item.Bundle, j.item.Item, now) {
			r.Take(j.item, now)
		}
	}
}

// ClockEvent lists as failed what has waited for longer than its route keeps it, or
// has none any more.
// What runs is left to its server.
func (r *Runner) ClockEvent(now clock.Micros) {
	plan := r.scheduler.Plan()
	if plan == nil {
		return
	}
	r.retry(plan, now)
	if now < r.next {
		return
	}
	r.next = now + clock.Second
	due, why := map[string]*job{}, map[string]string{}
	for _, jobs := range []map[string]*job{r.open, r.parked} {
		for name, j := range jobs {
			if j.assignment != nil || j.item.Request == nil || plan.Version < j.item.Plan {
				continue
			}
			if route, _ := plan.Route(j.item.Route); !fits(j, route) {
				due[name], why[name] = j, gone
			} else if old(j, route, now) {
				due[name], why[name] = j, late
			}
		}
	}
	for _, name := range sorted(due) {
		j := due[name]
		if r.unpark(name) == nil {
			r.scheduler.Cancel(j.order)
		}
		r.finish(j, store.Ran{Status: shard.StatusFailed, Output: why[name]}, now)
	}
}

// Revoke drops what waits or runs of a bundle or of a slot.
func (r *Runner) Revoke(w store.Revoke, now clock.Micros) {
	if r.IgnoreRevoke {
		return
	}
	called := func(j *job) bool {
		return w.Slot >= 0 && j.item.Slot == w.Slot || w.Bundle != "" && j.item.Bundle == w.Bundle
	}
	for _, name := range sorted(r.parked) {
		if called(r.parked[name]) {
			r.unpark(name)
		}
	}
	for _, name := range sorted(r.open) {
		j := r.open[name]
		if !called(j) {
			continue
		}
		delete(r.open, name)
		if j.assignment != nil {
			r.wire.Emit(machine.Work{Order: Stop{Token: j.token}})
			delete(r.runs, j.token)
			r.begin(j)
			j.assignment.Release(0, true, now)
			j.assignment = nil
		} else if j.order != nil {
			r.scheduler.Cancel(j.order)
		}
	}
}

// Open is how many items wait or run.
func (r *Runner) Open() int { return len(r.open) + len(r.parked) }
