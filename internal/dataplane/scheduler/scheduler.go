// Package scheduler implements a daemon's request queue and assigns each request to a model
// server (docs/DESIGN.md sections 7 and 11.1).
//
// Requests are queued by level. Each priority has a level for batch items and, above it, one
// for live requests. Match assigns each request to the server with the highest sum of
// weighted scores (package scoring), or leaves it queued until a server has capacity or
// its deadline passes. For each accepted request exactly one callback runs, unless the
// caller cancels it: Start with an Assignment, or Drop with an error. The holder of an
// Assignment must end it exactly once, with Release, ServerFailed, Abandon or Rejected.
//
// A Scheduler is part of the daemon's deterministic state machine. It starts no goroutines,
// reads no clock (each call passes the time) and seeds its random source, so that a run can
// be replayed. It is not safe for concurrent use.
package scheduler

import (
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/retryafter"
)

// assignmentSamples is the number of latest assignments from which RetryAfter estimates the rate.
const assignmentSamples = 64

// InjectedFaults disable individual safeguards. Only tests set them, to check that a run
// without the safeguard violates a guarantee.
type InjectedFaults struct {
	// IgnoreStaleness treats stale updates as fresh and draining servers as active.
	IgnoreStaleness bool
	// KeepOldConfiguration keeps queued requests on the configuration that was in force
	// when they were submitted.
	KeepOldConfiguration bool
}

// Counters count events since the daemon's start; operators see them.
type Counters struct {
	Assigned         int64
	DeadlineExceeded int64 // dropped because the deadline passed in the queue
	Rejected         int64 // refused because the queue was full
	NotPermitted     int64 // dropped because MayStart returned false
}

// Scheduler holds one daemon's queue and its state of the servers.
type Scheduler struct {
	Counters
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	settings      Settings
	configuration *config.Configuration // in force; nil until the first one is set
	scorerWeights map[string]float64    // of that configuration, without disabled scorers
	levels        levelTable            // of the configuration's classes
	queue         requestQueue
	servers       map[string]*serverState // by name
	prefixes      *prefixTable
	assignments   retryafter.Estimator // from the times of the latest assignments
	retries       retryBudget
	random        *rand.Rand              // breaks ties between servers
	observations  map[string]*Observation // not yet sent to other daemons, by server name
	pools         map[string]*poolUsage   // of the autoscaled pools, by name
	zone          string                  // of this daemon

	rotationOffset    float64 // see SetRotationOffset
	batch             batchState
	runningBatchItems int // batch items of this daemon that are running
	livePromotion     livePromotion
	itemPromotion     itemPromotion
	freshAsOf         clock.Micros // this daemon's updates are complete up to this time
	changed           bool         // another Match may assign something
	closed            bool
}

// New returns a scheduler without servers or configuration. The seed determines how ties
// between equally scored servers are broken.
func New(settings Settings, seed int64) *Scheduler {
	return &Scheduler{
		settings:     settings,
		queue:        newRequestQueue(),
		servers:      map[string]*serverState{},
		prefixes:     newPrefixTable(settings.MaxPrefixes),
		assignments:  retryafter.Estimator{MaxSamples: assignmentSamples},
		retries:      newRetryBudget(),
		observations: map[string]*Observation{},
		pools:        map[string]*poolUsage{},
		random:       rand.New(rand.NewSource(seed)),
	}
}

// AdjustSettings changes the settings. It must be called before the first request is submitted.
func (sc *Scheduler) AdjustSettings(change func(settings *Settings)) {
	change(&sc.settings)
	sc.prefixes.capacity = sc.settings.MaxPrefixes
}

// IsDisabled reports whether a mechanism is disabled.
func (sc *Scheduler) IsDisabled(name mechanism.Name) bool { return sc.settings.Disabled.Has(name) }

// SetRotationOffset sets where in the sorted server list this daemon's rotation begins, as a
// fraction from 0 to 1. Daemons begin at different servers, so that they seldom choose the
// same server at the same time.
func (sc *Scheduler) SetRotationOffset(offset float64) { sc.rotationOffset = offset }

// SetZone sets the zone that this daemon is in.
func (sc *Scheduler) SetZone(zone string) { sc.zone = zone }

// AdvanceFreshness records that this daemon's updates are complete up to asOf.
func (sc *Scheduler) AdvanceFreshness(asOf clock.Micros) {
	sc.freshAsOf = max(sc.freshAsOf, asOf)
	sc.changed = true
}

// IsFresh reports whether this daemon's updates are recent enough to assign requests.
func (sc *Scheduler) IsFresh(now clock.Micros) bool {
	return now-sc.freshAsOf <= sc.settings.MaxStaleness || sc.InjectedFaults.IgnoreStaleness
}

// SpendRetry takes one retry from the retry budget. False means that the budget is exhausted
// and the request must not be retried.
func (sc *Scheduler) SpendRetry() bool {
	return sc.IsDisabled(mechanism.RetryBudget) || sc.retries.spend()
}

// RetryAfter estimates how long the current queue takes to drain, from the rate of the latest
// assignments.
func (sc *Scheduler) RetryAfter(now clock.Micros) clock.Micros {
	return sc.assignments.Estimate(sc.queue.length, now)
}
