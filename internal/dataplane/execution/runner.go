// Package execution runs a store's batch items on servers (DESIGN §6.3, §7, §12.5). Each item
// waits in the scheduler's queue by its tenant's priority, and an attempt starts only while the
// store holds a fresh lease on the item's shard.
//
// There are two kinds of items: chat items, whose input the store turns into a completion
// request, and opaque items (batchstore.RunItem.Request set), which are forwarded unchanged and
// resumed after their last event.
//
// Inputs are the store's RunItem (Submit) and CancelItems (Revoke), the event loop's reports
// (HandleAttemptStarted, HandleAttemptResult) and the time (Tick). Outputs are Tasks for the event
// loop, and one batchstore.ItemFinished for each item.
//
// Two invariants hold:
//   - An item is in at most one of: queued, on a server, deferred.
//   - No attempt starts without MayRun, asked right before.
//
// The package is a part of the store's state machine: it opens no socket and reads no clock.
// Nothing here is safe for concurrent use: the daemon's event loop is the one caller.
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

// Settings bound the attempts of an item; Defaults has the usual values.
type Settings struct {
	MaxAttempts    int          // failed attempts of a chat item; default 8
	IdleTimeout    clock.Micros // longest wait for a server's next chunk; default 4 s
	MaxOutputBytes int          // largest output of an item; default 1 MiB
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MaxAttempts: 8, IdleTimeout: 4 * clock.Second, MaxOutputBytes: 1 << 20}
}

// InjectedFaults are set by tests only, to show that their checks find such faults.
type InjectedFaults struct {
	SkipLeaseCheck bool // attempts start without a lease
	IgnoreCancel   bool // revoked items run on
}

// decisionLogSize is how many items the decision log holds.
const decisionLogSize = 8192

// MayRun tells whether this store may start an attempt of an item now: it holds a fresh lease on
// the item's shard, and the item needs a result.
type MayRun func(shardIndex int, batch string, item int, now clock.Micros) bool

// Report takes an item's result, or a failed attempt of an opaque item, for the store's shards:
// batchstore.ItemFinished, batchstore.AttemptFailed.
type Report func(report batchstore.Command, now clock.Micros)

// Runner holds a store's items that have no result yet.
type Runner struct {
	Decisions *decisionlog.Log
	// WantedWeightsHeader is the name of the header by which an opaque item names the version of the
	// weights that it has to be run with; "": there is none. It is set before the first item.
	WantedWeightsHeader string
	InjectedFaults      InjectedFaults

	settings  Settings
	calls     *machine.Calls
	scheduler *scheduler.Scheduler
	mayRun    MayRun
	report    Report

	jobs     map[string]*job // by name: queued, or on a server
	attempts map[uint64]*job // by attempt: on a server
	deferred map[string]*job // by name: can be neither queued nor started just now

	lastRetry          clock.Micros // of deferred items
	nextRetentionCheck clock.Micros
}

// job is one item without a result.
type job struct {
	name             string
	item             batchstore.RunItem
	weight           int // what the item counts for in its tenant's quota
	schedulerRequest *scheduler.Request
	assignment       *scheduler.Assignment // the server of the current attempt; nil between attempts
	attemptID        uint64
	progress
}

// progress is what an item keeps from one attempt to the next.
type progress struct {
	avoidedServers map[string]int
	failedAttempts int
	events         []string // of an opaque item: their data, over all attempts
	eventBytes     int      // of the events
	lastEventID    int      // of the events; 0 for none
}

// New makes a runner; report is called once for each item that gets a result, and for each failed
// attempt of an opaque one.
func New(settings Settings, calls *machine.Calls, sched *scheduler.Scheduler, mayRun MayRun, report Report) *Runner {
	return &Runner{
		Decisions: decisionlog.New(decisionLogSize),
		settings:  settings,
		calls:     calls,
		scheduler: sched,
		mayRun:    mayRun,
		report:    report,
		jobs:      map[string]*job{},
		attempts:  map[uint64]*job{},
		deferred:  map[string]*job{},
	}
}

// Pending is how many items wait or run.
func (r *Runner) Pending() int { return len(r.jobs) + len(r.deferred) }

// PendingWeight is the weight of the items that wait or run.
func (r *Runner) PendingWeight() int {
	sum := 0
	for _, jobs := range []map[string]*job{r.jobs, r.deferred} {
		for _, j := range jobs {
			sum += j.weight
		}
	}
	return sum
}

// Submit queues one of the store's items; one that waits or runs already is left as it is. An
// opaque item that was deferred keeps its progress.
func (r *Runner) Submit(item batchstore.RunItem, now clock.Micros) {
	name := item.Batch + "/" + strconv.Itoa(item.Item)
	if r.jobs[name] != nil {
		return
	}
	j := &job{
		name:     name,
		item:     item,
		weight:   item.Request.Weight(),
		progress: progress{avoidedServers: map[string]int{}},
	}
	if previous := r.takeDeferred(name); previous != nil && j.isOpaque() {
		j.progress = previous.progress
	}
	if j.isOpaque() {
		j.failedAttempts = max(j.failedAttempts, item.FailedAttempts)
	}
	r.jobs[name] = j
	r.schedule(j, now)
}

// isOpaque tells whether the item is forwarded unchanged.
func (j *job) isOpaque() bool { return j.item.Request != nil }

// isAcceptedBy tells whether a route still takes such items.
func (j *job) isAcceptedBy(route *config.Route) bool {
	return route != nil && (route.Forward != nil) == j.isOpaque()
}

// schedule queues an item for a server. An item whose route was removed fails: otherwise its batch
// would stay open for ever.
func (r *Runner) schedule(j *job, now clock.Micros) {
	configuration := r.scheduler.Configuration()
	if configuration == nil || configuration.Version < j.item.ConfigurationVersion {
		r.deferJob(j) // this daemon's configuration is older than the item's
		return
	}
	route, _ := configuration.Route(j.item.Route)
	if reason := j.failureReason(route, now); reason != "" {
		r.failItem(j, reason, "", now)
		return
	}
	j.schedulerRequest = r.newSchedulerRequest(j, route, priorityOf(j, route, configuration))
	err := r.scheduler.Submit(j.schedulerRequest, now)
	if errs.Is(err, errs.UnknownRoute) {
		r.failItem(j, outputRouteRemoved, "", now)
		return
	}
	if err != nil {
		r.calls.Emit(machine.LogEvent{Event: ItemDeferred{Item: j.name, Reason: err.Error()}})
		r.deferJob(j)
	}
}

// priorityOf is the priority of the tenant's class; where an opaque item's tenant has none, or the item no
// tenant, that of its route. The scheduler has opaque items wait behind all other requests, whatever it is.
func priorityOf(j *job, route *config.Route, configuration *config.Configuration) int64 {
	const lowest = 1
	if j.isOpaque() {
		return configuration.PriorityOf(route.Forward, j.item.Tenant)
	}
	if class := configuration.ClassOfTenant(j.item.Tenant); class != nil {
		return class.Priority
	}
	return lowest
}

// dueAt is when an item's result is due; 0: at no time.
func (j *job) dueAt(route *config.Route) clock.Micros {
	if route.Forward == nil || route.Forward.CompletionWindow == 0 {
		return 0
	}
	return j.item.SubmittedAt + route.Forward.CompletionWindow
}

func (r *Runner) newSchedulerRequest(j *job, route *config.Route, priority int64) *scheduler.Request {
	return &scheduler.Request{
		ID:             j.name,
		Tenant:         j.item.Tenant,
		Route:          route,
		Priority:       priority,
		IsBatchItem:    true,
		Weight:         j.weight,
		Prefix:         route.Prefix,
		PromptTokens:   int64(j.weight),
		WantedWeights:  r.wantedWeights(j),
		DueAt:          j.dueAt(route),
		AvoidedServers: j.avoidedServers,
		MayStart: func(now clock.Micros) bool {
			return r.InjectedFaults.SkipLeaseCheck || r.mayRun(j.item.Shard, j.item.Batch, j.item.Item, now)
		},
		Start: func(assignment *scheduler.Assignment, now clock.Micros) { r.startAttempt(j, assignment, now) },
		Drop: func(err error, now clock.Micros) {
			if errs.Is(err, errs.UnknownRoute) {
				r.failItem(j, outputRouteRemoved, "", now)
				return
			}
			r.deferJob(j)
		},
	}
}

// wantedWeights is the version of the weights that an item has to be run with; 0 for any.
func (r *Runner) wantedWeights(j *job) int64 {
	if !j.isOpaque() || r.WantedWeightsHeader == "" {
		return 0
	}
	for name, value := range j.item.Request.Header {
		if strings.EqualFold(name, r.WantedWeightsHeader) {
			version, _ := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			return version
		}
	}
	return 0
}

// startAttempt has the event loop run an item on the server that the scheduler assigned. The route
// is that of the configuration in force, not of the one under which the item was queued.
func (r *Runner) startAttempt(j *job, assignment *scheduler.Assignment, now clock.Micros) {
	route := j.schedulerRequest.Route
	if !j.isAcceptedBy(route) {
		assignment.Release(0, true, now)
		r.failItem(j, outputRouteRemoved, "", now)
		return
	}
	j.assignment = assignment
	j.attemptID = r.calls.Token()
	r.attempts[j.attemptID] = j
	r.execute(Attempt{
		ID:             j.attemptID,
		MaxOutputBytes: r.settings.MaxOutputBytes,
		ForwardedItem:  j.forwardedItem(route),
		Request: modelclient.Request{
			Address:     assignment.Server.Address,
			RequestID:   j.name,
			Model:       route.Model,
			Prefix:      route.Prefix,
			Input:       j.item.Input,
			MaxTokens:   route.MaxTokens,
			Priority:    r.scheduler.ServerPriority(j.schedulerRequest),
			IdleTimeout: r.settings.IdleTimeout,
		},
	})
}

// forwardedItem is the opaque item of a job on its server; nil for a chat item.
func (j *job) forwardedItem(route *config.Route) *ForwardedItem {
	if !j.isOpaque() {
		return nil
	}
	return &ForwardedItem{
		Request:     j.item.Request,
		Batch:       j.item.Batch,
		ItemID:      j.item.ItemID,
		Instance:    j.assignment.Server.Name,
		LastEventID: j.lastEventID,
		// A configuration that asks for no keys any more says nothing of what came before it.
		IsAuthenticated: j.item.Tenant != "" || route.Forward.IsAuthenticated(),
		Tenant:          j.item.Tenant,
	}
}

func (r *Runner) execute(task Task) { r.calls.Emit(machine.Execute{Task: task}) }

// remove forgets a job that is queued or on a server.
func (r *Runner) remove(j *job) {
	if r.jobs[j.name] == j {
		delete(r.jobs, j.name)
	}
}

// failItem gives an item the result that it failed; server is "" if none had it.
func (r *Runner) failItem(j *job, output, server string, now clock.Micros) {
	r.finishItem(j, batchstore.ItemFinished{Status: shard.StatusFailed, Output: output, Server: server}, now)
}

func (r *Runner) finishItem(j *job, result batchstore.ItemFinished, now clock.Micros) {
	r.remove(j)
	result.Shard = j.item.Shard
	result.Batch = j.item.Batch
	result.Item = j.item.Item
	r.report(result, now)
}
