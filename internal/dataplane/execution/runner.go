// Package execution runs a store's batch items on servers (DESIGN §6.3, §7, §12.5). Items wait in
// the scheduler's queue, ordered by their tenant's priority, and an attempt starts only while the
// store holds a fresh lease on the item's shard.
//
// There are two kinds of items: chat items, whose input the store turns into a completion
// request, and opaque items (batchstore.RunItem.Request set), which are forwarded unchanged and
// resumed after their last event.
//
// Inputs are the store's RunItem (Submit) and CancelItems (Cancel), the event loop's reports
// (HandleAttemptStarted, HandleAttemptResult) and the time (Tick). Outputs are Tasks for the event
// loop, and one batchstore.ItemFinished for each item.
//
// Two invariants hold:
//   - An item is in at most one of these states: queued, on a server, deferred.
//   - No attempt starts unless MayRun, called immediately before, allows it.
//
// The package is part of the store's state machine: it opens no sockets and reads no clock.
// Nothing here is safe for concurrent use: the daemon's event loop is the only caller.
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

// Settings holds the limits on the attempts of an item; see Defaults.
type Settings struct {
	MaxAttempts    int          // maximum number of failed attempts of a chat item; default 8
	IdleTimeout    clock.Micros // longest wait for a server's next chunk; default 4 s
	MaxOutputBytes int          // maximum size of an item's output; default 1 MiB
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{MaxAttempts: 8, IdleTimeout: 4 * clock.Second, MaxOutputBytes: 1 << 20}
}

// InjectedFaults are set by tests only, to verify that their checks detect these faults.
type InjectedFaults struct {
	SkipLeaseCheck bool // start attempts without a lease
	IgnoreCancel   bool // keep running cancelled items
}

// decisionLogSize is the maximum number of items in the decision log.
const decisionLogSize = 8192

// MayRun reports whether this store may start an attempt of an item now, which requires that it holds
// a fresh lease on the item's shard and that the item has no result yet.
type MayRun func(shardIndex int, batch string, item int, now clock.Micros) bool

// Report passes an item's result (batchstore.ItemFinished) or a failed attempt of an opaque item
// (batchstore.AttemptFailed) to the store's shards.
type Report func(report batchstore.Command, now clock.Micros)

// Runner runs the items of a store that have no result yet.
type Runner struct {
	Decisions *decisionlog.Log
	// WantedWeightsHeader is the name of the header in which an opaque item states the version of the
	// weights that it requires; "" if there is no such header. It must be set before the first item.
	WantedWeightsHeader string
	InjectedFaults      InjectedFaults

	settings  Settings
	calls     *machine.Calls
	scheduler *scheduler.Scheduler
	mayRun    MayRun
	report    Report

	jobs     map[string]*job // by name: queued, or on a server
	attempts map[uint64]*job // by attempt: on a server
	deferred map[string]*job // by name: can currently be neither queued nor started

	lastRetry          clock.Micros // of deferred items
	nextRetentionCheck clock.Micros
}

// job is an item that has no result yet.
type job struct {
	name             string
	item             batchstore.RunItem
	weight           int // what the item counts towards its tenant's quota
	schedulerRequest *scheduler.Request
	assignment       *scheduler.Assignment // the server of the current attempt; nil between attempts
	attemptID        uint64
	progress
}

// progress is the state that an item keeps from one attempt to the next.
type progress struct {
	avoidedServers map[string]int
	failedAttempts int
	events         []string // data of an opaque item's events, over all attempts
	eventBytes     int      // total size of events
	lastEventID    int      // ID of the last of events; 0 for none
}

// New returns a Runner that calls report once for each item that gets a result, and once for each
// failed attempt of an opaque item.
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

// Pending returns the number of items that are waiting or running.
func (r *Runner) Pending() int { return len(r.jobs) + len(r.deferred) }

// PendingWeight returns the total weight of the items that are waiting or running.
func (r *Runner) PendingWeight() int {
	sum := 0
	for _, jobs := range []map[string]*job{r.jobs, r.deferred} {
		for _, j := range jobs {
			sum += j.weight
		}
	}
	return sum
}

// Submit queues an item of the store. It does nothing if the item is already queued or on a server.
// An opaque item that was deferred keeps its progress.
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

// isOpaque reports whether the item is forwarded unchanged.
func (j *job) isOpaque() bool { return j.item.Request != nil }

// isAcceptedBy reports whether a route still accepts items of the job's kind.
func (j *job) isAcceptedBy(route *config.Route) bool {
	return route != nil && (route.Forward != nil) == j.isOpaque()
}

// schedule queues an item for a server. An item that can no longer run, for example because its route
// was removed, fails, as its batch would otherwise never end.
func (r *Runner) schedule(j *job, now clock.Micros) {
	configuration := r.scheduler.Configuration()
	if configuration == nil || configuration.Version < j.item.ConfigurationVersion {
		r.deferJob(j) // this daemon's configuration is older than the item's
		return
	}
	route := configuration.ResolveRoute(j.item.RouteReference())
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

// priorityOf returns the priority of the tenant's class. For an opaque item without a tenant, or whose
// tenant has no class, it returns the priority of its route. Whatever their priority, the scheduler
// queues opaque items behind all other requests.
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

// dueAt returns when an item's result is due; 0 if it has no due time.
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

// wantedWeights returns the version of the weights that an item requires; 0 for any.
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

// startAttempt asks the event loop to run an item on the server that the scheduler assigned. It uses
// the route of the current configuration, not of the one under which the item was queued.
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

// forwardedItem returns the opaque item to forward to the assigned server; nil for a chat item.
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
		// An item with a tenant was submitted with a key, even if the current configuration no longer
		// requires keys.
		IsAuthenticated: j.item.Tenant != "" || route.Forward.IsAuthenticated(),
		Tenant:          j.item.Tenant,
	}
}

func (r *Runner) execute(task Task) { r.calls.Emit(machine.Execute{Task: task}) }

// remove removes a job from those that are queued or on a server.
func (r *Runner) remove(j *job) {
	if r.jobs[j.name] == j {
		delete(r.jobs, j.name)
	}
}

// failItem finishes an item with a failure; server is "" if the item was not on a server.
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
