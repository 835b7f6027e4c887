// Package execution runs a store's items on servers (DESIGN §6.3, §7, §12.5): each waits
// in the queue by its tenant's rank, and is started only under a fresh
// lease. It is a part of the store's machine: the sockets are the event loop's.
package execution

import (
	"strconv"
	"strings"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Settings of a runner; Defaults has the usual values.
type Settings struct {
	MaxAttempts    int
	IdleTimeout    clock.Micros
	MaxOutputBytes int
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MaxAttempts: 8, IdleTimeout: 4 * clock.Second, MaxOutputBytes: 1 << 20}
}

// What the event loop is told, as work.
type (
	// Attempt says: run this item on its server, then tell how it went.
	Attempt struct {
		ID             uint64
		Request        modelclient.Request
		MaxOutputBytes int
		// ForwardedItem is what is passed on unchanged; then only the address, the order's
		// name, the priority and the silence of Request count. nil for chat items.
		ForwardedItem *ForwardedItem
	}
	// ForwardedItem is an opaque item on its way to a server (DESIGN §12.5).
	ForwardedItem struct {
		Request     *shard.Request
		Batch       string
		ItemID      string // the item's id
		Instance    string // name of the server
		LastEventID int    // id of the last event that came, over all tries; 0 for none
	}
	// CancelAttempt says: give this run up; nobody waits for it any more.
	CancelAttempt struct{ AttemptID uint64 }
)

// AttemptStarted is the event loop's report that a server has begun a run: until then the item
// waits, in the server's own queue as well.
type AttemptStarted struct{ AttemptID uint64 }

// AttemptResult is the event loop's report on how a run went. Of an opaque item Complete is whole,
// NotStarted certainly did not run (the server said so, or took no connection),
// Cut may be gone on with, and Rejected can never be done.
type AttemptResult struct {
	AttemptID uint64
	Outcome   modelclient.Outcome
	Output    string
	Reason    string
	// Of an opaque item: the data of the events that came in this try, in order and
	// without those up to Resume; the id of the last of them, 0 for none.
	Events       []string
	LastEventID  int
	ServerFailed bool // the server failed it: an attempt of those the route allows
}

// Runner is the store daemon's part of the path.
type Runner struct {
	settings           Settings
	calls              *machine.Calls
	scheduler          *scheduler.Scheduler
	mayRun             func(shardIndex int, batch string, item int, now clock.Micros) bool
	reportResult       func(batchstore.ItemFinished, clock.Micros)
	Decisions          *decisionlog.Log
	jobs               map[string]*job
	attempts           map[uint64]*job
	assignedWeight     map[string]int  // weights by tenant: assigned, not begun (an opaque item: not finished)
	deferred           map[string]*job // those that could not wait or start here just now
	deferredWeight     map[string]int  // the same, counted by tenant
	nextRetentionCheck clock.Micros    // next look at what is too old
	lastRetry          clock.Micros    // last look at what could not start
	// SkipLeaseCheck is a fault planted by tests: work starts without a lease.
	SkipLeaseCheck bool
	// IgnoreRevoke is a fault planted by tests: work goes on after it was called back.
	IgnoreRevoke bool
}

type job struct {
	name             string
	item             batchstore.RunItem
	weight           int
	schedulerRequest *scheduler.Request
	assignment       *scheduler.Assignment
	attemptID        uint64
	avoidedServers   map[string]int
	failedAttempts   int // of an opaque item: attempts that failed
	started          bool
	events           []string // of an opaque item: what came over all tries
	eventBytes       int      // of the events
	lastEventID      int      // id of the last of them
}

// New makes a runner; ran is told each item's result.
func New(settings Settings, calls *machine.Calls, sched *scheduler.Scheduler, mayRun func(int, string, int, clock.Micros) bool, reportResult func(batchstore.ItemFinished, clock.Micros)) *Runner {
	return &Runner{settings: settings, calls: calls, scheduler: sched, mayRun: mayRun, reportResult: reportResult, Decisions: decisionlog.New(8192), jobs: map[string]*job{}, attempts: map[uint64]*job{}, assignedWeight: map[string]int{}, deferred: map[string]*job{}, deferredWeight: map[string]int{}}
}

// Submit puts one of the store's items into the queue; one that waits or runs
// already is passed over.
func (r *Runner) Submit(item batchstore.RunItem, now clock.Micros) {
	name := item.Batch + "/" + strconv.Itoa(item.Item)
	if r.jobs[name] != nil {
		return
	}
	previous := r.takeDeferred(name)
	j := &job{name: name, item: item, weight: item.Request.Weight(), avoidedServers: map[string]int{}}
	if previous != nil && item.Request != nil {
		// It goes on where it was: its attempts and events stay.
		j.avoidedServers, j.failedAttempts, j.events, j.eventBytes, j.lastEventID = previous.avoidedServers, previous.failedAttempts, previous.events, previous.eventBytes, previous.lastEventID
	}
	r.jobs[name] = j
	r.schedule(j, now)
}

const (
	routeRemoved      = "the route is not in the plan any more"
	retentionExceeded = "no server finished it within the time its route keeps items"
)

// routeAccepts tells whether the route still takes such items.
func routeAccepts(j *job, route *config.Route) bool {
	return route != nil && (route.Forward != nil) == (j.item.Request != nil)
}

// exceedsRetention tells whether an opaque item has waited for longer than its route keeps it.
func exceedsRetention(j *job, route *config.Route, now clock.Micros) bool {
	return j.item.Request != nil && route.Forward.ItemRetention > 0 && now > j.item.SubmittedAt+route.Forward.ItemRetention
}

// schedule puts an item into the queue. A route that is gone from the configuration fails
// the item rather than leave the batch open for ever.
func (r *Runner) schedule(j *job, now clock.Micros) {
	configuration := r.scheduler.Configuration()
	if configuration == nil || configuration.Version < j.item.ConfigurationVersion {
		r.deferJob(j) // this daemon's configuration is behind
		return
	}
	route, _ := configuration.Route(j.item.Route)
	priority := int64(1)
	if class := configuration.ClassOfTenant(j.item.Tenant); class != nil && j.item.Request == nil {
		priority = class.Priority
	}
	if !routeAccepts(j, route) {
		r.finish(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: routeRemoved}, now)
		return
	}
	if exceedsRetention(j, route, now) {
		r.finish(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: retentionExceeded}, now)
		return
	}
	j.schedulerRequest = &scheduler.Request{ID: j.name, Tenant: j.item.Tenant, Route: route, Priority: priority, IsBatchItem: true, Weight: j.weight, Prefix: route.Prefix, PromptTokens: int64(j.weight), AvoidedServers: j.avoidedServers}
	j.schedulerRequest.MayStart = func(now clock.Micros) bool {
		return r.SkipLeaseCheck || r.mayRun(j.item.Shard, j.item.Batch, j.item.Item, now)
	}
	j.schedulerRequest.Start = func(assignment *scheduler.Assignment, now clock.Micros) { r.startAttempt(j, assignment, now) }
	j.schedulerRequest.Drop = func(err error, now clock.Micros) {
		if errs.Is(err, errs.UnknownRoute) {
			r.finish(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: routeRemoved}, now)
			return
		}
		r.deferJob(j)
	}
	if err := r.scheduler.Submit(j.schedulerRequest, now); errs.Is(err, errs.UnknownRoute) {
		j.schedulerRequest.Drop(err, now)
	} else if err != nil {
		r.calls.Emit(machine.LogEvent{Event: ItemDeferred{Item: j.name, Reason: err.Error()}})
		r.deferJob(j)
	}
}

// deferJob keeps an item in mind that can't wait or start here just now: the store
// hands it over again, and until then it counts as waiting.
func (r *Runner) deferJob(j *job) {
	r.remove(j)
	if r.deferred[j.name] == nil {
		r.deferred[j.name] = j
		r.deferredWeight[j.item.Tenant] += j.weight
	}
}

func (r *Runner) takeDeferred(name string) *job {
	j := r.deferred[name]
	if j == nil {
		return nil
	}
	delete(r.deferred, name)
	if r.deferredWeight[j.item.Tenant] -= j.weight; r.deferredWeight[j.item.Tenant] <= 0 {
		delete(r.deferredWeight, j.item.Tenant)
	}
	return j
}

func (r *Runner) remove(j *job) {
	if r.jobs[j.name] == j {
		delete(r.jobs, j.name)
	}
}

func (r *Runner) finish(j *job, result batchstore.ItemFinished, now clock.Micros) {
	r.remove(j)
	result.Shard, result.Batch, result.Item = j.item.Shard, j.item.Batch, j.item.Item
	r.reportResult(result, now)
}

// startAttempt goes by the order's route, which is that of the configuration in force.
func (r *Runner) startAttempt(j *job, assignment *scheduler.Assignment, now clock.Micros) {
	route := j.schedulerRequest.Route
	if !routeAccepts(j, route) {
		assignment.Release(0, true, now)
		r.finish(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: routeRemoved}, now)
		return
	}
	j.assignment, j.attemptID, j.started = assignment, r.calls.Token(), false
	r.attempts[j.attemptID] = j
	r.assignedWeight[j.item.Tenant] += j.weight
	var forward *ForwardedItem
	if j.item.Request != nil {
		forward = &ForwardedItem{Request: j.item.Request, Batch: j.item.Batch, ItemID: j.item.ItemID, Instance: assignment.Server.Name, LastEventID: j.lastEventID}
	}
	r.calls.Emit(machine.Execute{Task: Attempt{ID: j.attemptID, MaxOutputBytes: r.settings.MaxOutputBytes, ForwardedItem: forward, Request: modelclient.Request{Address: assignment.Server.Address, RequestID: j.name, Model: route.Model,
		Prefix: route.Prefix, Input: j.item.Input, MaxTokens: route.MaxTokens, Priority: r.scheduler.ServerPriority(j.schedulerRequest), IdleTimeout: r.settings.IdleTimeout}}})
}

// HandleAttemptStarted notes that a run has begun. What an opaque item counts for is work that
// its route has not had done: it counts until a server has finished it.
func (r *Runner) HandleAttemptStarted(started AttemptStarted, now clock.Micros) {
	j := r.attempts[started.AttemptID]
	if j == nil {
		return
	}
	j.assignment.PrefillDone(now)
	if j.item.Request == nil {
		r.markStarted(j)
	}
}

func (r *Runner) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if r.assignedWeight[j.item.Tenant] -= j.weight; r.assignedWeight[j.item.Tenant] <= 0 {
		delete(r.assignedWeight, j.item.Tenant)
	}
}

// WaitingWeight is what a tenant's items that wait count for, here or in a server's
// queue; opaque ones that run count as well.
func (r *Runner) WaitingWeight(tenant string) int {
	return r.scheduler.QueuedWeight(tenant) + r.assignedWeight[tenant] + r.deferredWeight[tenant]
}

// HandleAttemptResult takes the event loop's report. An item may run again elsewhere: only one result
// is listed.
func (r *Runner) HandleAttemptResult(result AttemptResult, now clock.Micros) {
	j := r.attempts[result.AttemptID]
	if j == nil {
		return // called back
	}
	delete(r.attempts, result.AttemptID)
	r.markStarted(j)
	assignment := j.assignment
	j.assignment, j.attemptID = nil, 0
	r.Decisions.Begin(decisionlog.Entry{RequestID: j.name, Tenant: j.item.Tenant, Route: j.item.Route, Priority: j.schedulerRequest.Priority, ReceivedAt: j.item.SubmittedAt})
	r.Decisions.RecordAttempt(j.name, decisionlog.Attempt{Server: assignment.Server.Name, Scores: assignment.Scores, StartedAt: assignment.AssignedAt, Duration: now - assignment.AssignedAt, Outcome: result.Outcome.String(), Error: result.Reason})
	if j.item.Request != nil {
		r.handleForwardedResult(j, assignment, result, now)
		return
	}
	if result.Outcome == modelclient.Complete {
		assignment.Release(now-assignment.AssignedAt, true, now)
		r.finish(j, batchstore.ItemFinished{Status: shard.StatusOK, Output: result.Output, Server: assignment.Server.Name}, now)
		return
	}
	if result.Outcome == modelclient.NotStarted {
		assignment.Rejected(now)
	} else {
		assignment.Release(0, result.Outcome == modelclient.Rejected, now)
		j.failedAttempts++ // one that did not start is no try
	}
	if result.Outcome == modelclient.Rejected || j.failedAttempts >= r.settings.MaxAttempts {
		r.finish(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: "no server finished it: " + result.Reason, Server: assignment.Server.Name}, now)
		return
	}
	if j.avoidedServers[assignment.Server.Name]++; len(j.avoidedServers) >= 3 {
		clear(j.avoidedServers)
	}
	r.schedule(j, now)
}

// handleForwardedResult decides by how a try of an opaque item went. It is listed as failed only
// when a server rejects it, when its route's attempts have failed, when it is too
// old, or when its route is gone; whatever else goes wrong, it waits again.
func (r *Runner) handleForwardedResult(j *job, assignment *scheduler.Assignment, result AttemptResult, now clock.Micros) {
	server := assignment.Server.Name
	switch {
	case result.ServerFailed:
		assignment.Release(0, false, now)
		r.keepEvents(j, result)
		j.failedAttempts++
		j.avoidedServers[server] = 3 // elsewhere first
		route, _ := r.scheduler.Configuration().Route(j.item.Route)
		if routeAccepts(j, route) && route.Forward.MaxAttempts > 0 && int64(j.failedAttempts) >= route.Forward.MaxAttempts {
			r.finish(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: "its attempts have failed: " + result.Reason, Server: server}, now)
			return
		}
	case result.Outcome == modelclient.Complete:
		assignment.Release(now-assignment.AssignedAt, true, now)
		r.finish(j, batchstore.ItemFinished{Status: shard.StatusOK, Output: strings.Join(append(j.events, result.Events...), "\n"), Server: server}, now)
		return
	case result.Outcome == modelclient.Rejected:
		assignment.Release(0, true, now)
		r.finish(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: "the server rejected it: " + result.Reason, Server: server}, now)
		return
	case result.Outcome == modelclient.NotStarted:
		assignment.Rejected(now)
	default:
		assignment.Release(0, false, now)
		r.keepEvents(j, result)
	}
	r.schedule(j, now)
}

// keepEvents keeps the events of a try that was not whole, so that the next one goes on
// after them. Events without a new id can't be gone on with, and come again.
func (r *Runner) keepEvents(j *job, result AttemptResult) {
	if result.LastEventID <= j.lastEventID {
		return
	}
	size := j.eventBytes
	for _, event := range result.Events {
		size += len(event)
	}
	if size > r.settings.MaxOutputBytes {
		r.calls.Emit(machine.LogEvent{Event: ItemOutputDropped{Item: j.name, Bytes: size, Remedy: "raise MaxOutputBytes"}})
		j.events, j.eventBytes, j.lastEventID = nil, 0, 0
		return
	}
	j.events, j.eventBytes, j.lastEventID = append(j.events, result.Events...), size, result.LastEventID
}

// retryInterval is the time between two looks at what could not start.
const retryInterval = 50 * clock.Millisecond

// retryDeferred takes up again what may start now: a shard's items are handed over when it
// begins to serve, a moment before its lease is there.
func (r *Runner) retryDeferred(configuration *config.Configuration, now clock.Micros) {
	if now < r.lastRetry+retryInterval || len(r.deferred) == 0 {
		return
	}
	r.lastRetry = now
	for _, name := range sortedNames(r.deferred) {
		if j := r.deferred[name]; j != nil && configuration.Version >= j.item.ConfigurationVersion && r.mayRun(j.item.Shard, j.item.Batch, j.item.Item, now) {
			r.Submit(j.item, now)
		}
	}
}

// Tick lists as failed what has waited for longer than its route keeps it, or
// has none any more.
// What runs is left to its server.
func (r *Runner) Tick(now clock.Micros) {
	configuration := r.scheduler.Configuration()
	if configuration == nil {
		return
	}
	r.retryDeferred(configuration, now)
	if now < r.nextRetentionCheck {
		return
	}
	r.nextRetentionCheck = now + clock.Second
	expired, reasons := map[string]*job{}, map[string]string{}
	for _, jobs := range []map[string]*job{r.jobs, r.deferred} {
		for name, j := range jobs {
			if j.assignment != nil || j.item.Request == nil || configuration.Version < j.item.ConfigurationVersion {
				continue
			}
			if route, _ := configuration.Route(j.item.Route); !routeAccepts(j, route) {
				expired[name], reasons[name] = j, routeRemoved
			} else if exceedsRetention(j, route, now) {
				expired[name], reasons[name] = j, retentionExceeded
			}
		}
	}
	for _, name := range sortedNames(expired) {
		j := expired[name]
		if r.takeDeferred(name) == nil {
			r.scheduler.Cancel(j.schedulerRequest)
		}
		r.finish(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: reasons[name]}, now)
	}
}

// Revoke drops what waits or runs of a batch or of a shard.
func (r *Runner) Revoke(w batchstore.CancelItems, now clock.Micros) {
	if r.IgnoreRevoke {
		return
	}
	revoked := func(j *job) bool {
		return w.Shard >= 0 && j.item.Shard == w.Shard || w.Batch != "" && j.item.Batch == w.Batch
	}
	for _, name := range sortedNames(r.deferred) {
		if revoked(r.deferred[name]) {
			r.takeDeferred(name)
		}
	}
	for _, name := range sortedNames(r.jobs) {
		j := r.jobs[name]
		if !revoked(j) {
			continue
		}
		delete(r.jobs, name)
		if j.assignment != nil {
			r.calls.Emit(machine.Execute{Task: CancelAttempt{AttemptID: j.attemptID}})
			delete(r.attempts, j.attemptID)
			r.markStarted(j)
			j.assignment.Release(0, true, now)
			j.assignment = nil
		} else if j.schedulerRequest != nil {
			r.scheduler.Cancel(j.schedulerRequest)
		}
	}
}

// Pending is how many items wait or run.
func (r *Runner) Pending() int { return len(r.jobs) + len(r.deferred) }
