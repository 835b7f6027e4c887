// Package scheduler is a daemon's queue and the choice of a server (DESIGN
// §7): orders wait by rank, expire in the queue, and are assigned to the
// server with the highest sum of scores. It is a part of the daemon's machine:
// the time comes in with each step, and nothing here waits or runs beside it.
package scheduler

import (
	"container/list"
	"math/rand"
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
)

// Settings of a scheduler; Defaults has the usual values.
type Settings struct {
	MaxQueued           int
	MaxPrefixes         int
	MinUtilizationLimit float64      // fullness up to which the lowest level may fill a server
	MaxUtilizationLimit float64      // the same for the highest
	StarvationTimeout   clock.Micros // after which one waiting batch order may go up to a full server
	ServerBackoff       clock.Micros
	MaxStaleness        clock.Micros // updates older than this: reject, don't assign
}

// A budget of further tries: what an order adds, and the most that is saved up.
const (
	retryBudgetPerAssignment = 0.2
	maxRetryBudget           = 50.0
)

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MaxQueued: 20_000, MaxPrefixes: 4096, MinUtilizationLimit: 0.7, MaxUtilizationLimit: 1.3, StarvationTimeout: 3 * clock.Second, ServerBackoff: 300 * clock.Millisecond, MaxStaleness: 2500 * clock.Millisecond}
}

// Scheduler is the queue and the servers of one daemon.
type Scheduler struct {
	settings          Settings
	configuration     *config.Configuration
	queueLevels       []int64
	runningBatchItems int     // batch orders of this daemon that run
	serverOffset      float64 // where this daemon's own order of servers begins, from 0 to 1
	batchShare        float64 // of the room for items, this store's
	servers           map[string]*serverState
	queues            map[int64]map[*config.Route]*list.List // by level, then by route
	byDeadline        deadlineHeap                           // those that expire, the next one first
	queuedWeights     map[string]int                         // weights, by tenant
	queuedCount       int
	seq               uint64
	serverByPrefix    map[uint64]string
	prefixesByAge     *list.List
	freshAsOf         clock.Micros
	random            *rand.Rand
	assignmentTimes   []clock.Micros // the latest assignments
	retryBudget       float64        // budget for further tries
	changed           bool           // something changed since the last look
	closed            bool
	// IgnoreStaleness is a fault planted by tests: old updates are taken for fresh, and leaving
	// scores are passed over.
	IgnoreStaleness bool
	// KeepOldConfiguration is a fault planted by tests: what waits goes by the configuration it came under.
	KeepOldConfiguration bool
	// Counters for the operators.
	Assigned, DeadlineExceeded, Rejected, NotPermitted int64
}

// New makes a scheduler.
func New(settings Settings, seed int64) *Scheduler {
	return &Scheduler{settings: settings, servers: map[string]*serverState{}, queues: map[int64]map[*config.Route]*list.List{}, queuedWeights: map[string]int{},
		serverByPrefix: map[uint64]string{}, prefixesByAge: list.New(), random: rand.New(rand.NewSource(seed)), retryBudget: maxRetryBudget, batchShare: 1}
}

// SetServer takes the listed state of a server.
func (sc *Scheduler) SetServer(server endpoints.Server) {
	s := sc.servers[server.Name]
	if s == nil {
		s = &serverState{}
		sc.servers[server.Name] = s
	}
	if s.server.Address != server.Address {
		s.load, s.otherRequests, s.latency, s.consecutiveFailures, s.backoffUntil = endpoints.Load{}, 0, 0, 0, 0
	}
	s.server, sc.changed = server, true
}

// SetLoad takes a load figure; one of a lower epoch is rejected.
func (sc *Scheduler) SetLoad(name string, epoch uint64, load endpoints.Load) {
	if s := sc.servers[name]; s != nil && epoch >= s.loadEpoch {
		s.loadEpoch, sc.changed = epoch, true
		s.setLoad(load)
	}
}

// AdvanceFreshness tells up to when this daemon's updates count as fresh.
func (sc *Scheduler) AdvanceFreshness(asOf clock.Micros) {
	sc.freshAsOf, sc.changed = max(sc.freshAsOf, asOf), true
}

// UnlimitedStaleness as Staleness has a daemon assign by its last knowledge however old its
// updates are: where the promises bind only daemons that are in touch, serving on is
// worth more (DESIGN §3.4).
const UnlimitedStaleness clock.Micros = 1 << 62

// SetServerOffset tells where this daemon's own order of servers begins, from 0 to 1.
func (sc *Scheduler) SetServerOffset(offset float64) { sc.serverOffset = offset }

// SetBatchShare tells which part of the servers' room for items is this store's.
func (sc *Scheduler) SetBatchShare(share float64) { sc.batchShare, sc.changed = share, true }

// AdjustSettings changes the settings before the first order comes.
func (sc *Scheduler) AdjustSettings(change func(settings *Settings)) { change(&sc.settings) }

// IsFresh tells whether the updates are fresh enough to assign by.
func (sc *Scheduler) IsFresh(now clock.Micros) bool {
	return now-sc.freshAsOf <= sc.settings.MaxStaleness || sc.IgnoreStaleness
}

// Servers copies the list of servers as known here.
func (sc *Scheduler) Servers() []endpoints.Server {
	out := make([]endpoints.Server, 0, len(sc.servers))
	for _, s := range sc.servers {
		out = append(out, s.server)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Snapshot is what this daemon sees, for the operators.
func (sc *Scheduler) Snapshot() ([]ServerSnapshot, map[string]int) {
	var out []ServerSnapshot
	for _, s := range sc.servers {
		out = append(out, ServerSnapshot{s.server, s.load, s.ownRequests, s.latency})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	waiting := map[string]int{}
	for tenant, count := range sc.queuedWeights {
		waiting[tenant] = count
	}
	return out, waiting
}
