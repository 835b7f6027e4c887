// Package scheduler holds a daemon's queue of requests and chooses a model server for
// each of them (docs/DESIGN.md sections 7 and 11.1).
//
// Requests are queued by level: for each priority first the batch items, above them
// the live requests. Match assigns each request to the server with the highest sum of
// weighted scores (package scoring), or leaves it queued until a server has capacity or
// its deadline passes. Each submitted request ends in exactly one call: Start with an
// Assignment, or Drop with an error; Cancel and AvoidedServers are the caller's means
// in between. The holder of an Assignment must end it once, with Release, Abandon or
// Rejected.
//
// A Scheduler is a part of the daemon's state machine. It starts no goroutines, reads
// no clock (the time comes in with each call) and takes its random choices from a
// seed, so that a run can be repeated. It is not safe for concurrent use.
package scheduler

import (
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/retryafter"
)

// assignmentSamples is how many of the latest assignments RetryAfter goes by.
const assignmentSamples = 64

// InjectedFaults switch single safeguards off. They are set by tests only, which check
// that a run without the safeguard violates a guarantee.
type InjectedFaults struct {
	// IgnoreStaleness takes old updates for fresh and draining servers for active.
	IgnoreStaleness bool
	// KeepOldConfiguration leaves queued requests under the configuration that they
	// were submitted under.
	KeepOldConfiguration bool
}

// Counters count since the daemon's start, for the operators.
type Counters struct {
	Assigned         int64
	DeadlineExceeded int64 // dropped because the deadline passed in the queue
	Rejected         int64 // refused because the queue was full
	NotPermitted     int64 // dropped because MayStart said no
}

// Scheduler is the queue and the servers of one daemon.
type Scheduler struct {
	Counters
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	settings      Settings
	configuration *config.Configuration // in force; nil before the first
	scorerWeights map[string]float64    // of that configuration, without scorers that are switched off
	levels        levelTable            // of the configuration's classes
	queue         requestQueue
	servers       map[string]*serverState // by name
	prefixes      *prefixTable
	assignments   retryafter.Estimator // times of the latest assignments
	retries       retryBudget
	random        *rand.Rand              // breaks ties between servers
	observations  map[string]*Observation // since other daemons were told, by the server's name
	pools         map[string]*poolUsage   // of the scaled pools, by name
	zone          string                  // this daemon's

	rotationOffset    float64 // where this daemon's rotation of servers begins, 0 to 1
	batch             batchState
	runningBatchItems int // batch items that this daemon has running
	livePromotion     livePromotion
	itemPromotion     itemPromotion
	freshAsOf         clock.Micros // this daemon's updates are complete up to here
	changed           bool         // another Match may assign something
	closed            bool
}

// New makes a scheduler without servers or configuration. The seed fixes how ties
// between equal servers are broken.
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

// AdjustSettings changes the settings. It may be called only before the first request.
func (sc *Scheduler) AdjustSettings(change func(settings *Settings)) {
	change(&sc.settings)
	sc.prefixes.capacity = sc.settings.MaxPrefixes
}

// IsDisabled tells whether a mechanism is switched off.
func (sc *Scheduler) IsDisabled(name mechanism.Name) bool { return sc.settings.Disabled.Has(name) }

// SetRotationOffset says where this daemon's rotation of servers begins, from 0 to 1.
// Daemons begin at different servers, so that their choices seldom meet.
func (sc *Scheduler) SetRotationOffset(offset float64) { sc.rotationOffset = offset }

// SetZone says which zone this daemon is in.
func (sc *Scheduler) SetZone(zone string) { sc.zone = zone }

// AdvanceFreshness says up to when this daemon's updates are complete.
func (sc *Scheduler) AdvanceFreshness(asOf clock.Micros) {
	sc.freshAsOf = max(sc.freshAsOf, asOf)
	sc.changed = true
}

// IsFresh tells whether the updates are recent enough to assign by.
func (sc *Scheduler) IsFresh(now clock.Micros) bool {
	return now-sc.freshAsOf <= sc.settings.MaxStaleness || sc.InjectedFaults.IgnoreStaleness
}

// SpendRetry takes one retry out of the budget; false means that the budget is used up
// and the request must not be tried again.
func (sc *Scheduler) SpendRetry() bool {
	return sc.IsDisabled(mechanism.RetryBudget) || sc.retries.spend()
}

// RetryAfter estimates when the present queue will have been worked off, by the rate of
// the latest assignments.
func (sc *Scheduler) RetryAfter(now clock.Micros) clock.Micros {
	return sc.assignments.Estimate(sc.queue.length, now)
}
