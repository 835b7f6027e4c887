// Package scheduler is a daemon's queue and the choice of a server (DESIGN
// §7): orders wait by rank, expire in the queue, and are assigned to the
// server with the highest sum of scores. It is a part of the daemon's machine:
// the time comes in with each step, and nothing here waits or runs beside it.
package scheduler

import (
	"container/list"
	"math/rand"
	"sort"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/path/registry"
)

// Settings of a scheduler; Defaults has the usual values.
type Settings struct {
	MostWaiting int
	PrefixKept  int
	LowLimit    float64      // fullness up to which the lowest level may fill a server
	HighLimit   float64      // the same for the highest
	Patience    clock.Micros // after which one waiting bundle order may go up to a full server
	Rest        clock.Micros
	Staleness   clock.Micros // updates older than this: reject, don't assign
}

// A budget of further tries: what an order adds, and the most that is saved up.
const (
	retryShare  = 0.2
	mostRetries = 50.0
)

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MostWaiting: 20_000, PrefixKept: 4096, LowLimit: 0.7, HighLimit: 1.3, Patience: 3 * clock.Second, Rest: 300 * clock.Millisecond, Staleness: 2500 * clock.Millisecond}
}

// Scheduler is the queue and the servers of one daemon.
type Scheduler struct {
	set          Settings
	plan         *config.Plan
	levels       []int64
	bundles      int     // bundle orders of this daemon that run
	serverOffset float64 // where this daemon's own order of servers begins, from 0 to 1
	part         float64 // of the room for items, this store's
	servers      map[string]*serverState
	backlogs     map[int64]map[*config.Route]*list.List // by level, then by route
	expiries     expiries                               // those that expire, the next one first
	waiting      map[string]int                         // weights, by customer
	count        int
	seq          uint64
	prefixes     map[uint64]string
	prefixOrder  *list.List
	fresh        clock.Micros
	random       *rand.Rand
	assignedAt   []clock.Micros // the latest assignments
	retries      float64        // budget for further tries
	changed      bool           // something changed since the last look
	closed       bool
	// IgnoreStaleness is a fault planted by tests: old updates are taken for fresh, and leaving
	// scores are passed over.
	IgnoreStaleness bool
	// KeepOldPlan is a fault planted by tests: what waits goes by the plan it came under.
	KeepOldPlan bool
	// Counters for the operators.
	Assigned, Expired, Rejected, NotPermitted int64
}

// New makes a scheduler.
func New(set Settings, seed int64) *Scheduler {
	return &Scheduler{set: set, servers: map[string]*serverState{}, backlogs: map[int64]map[*config.Route]*list.List{}, waiting: map[string]int{},
		prefixes: map[uint64]string{}, prefixOrder: list.New(), random: rand.New(rand.NewSource(seed)), retries: mostRetries, part: 1}
}

// SetServer takes the listed state of a server.
func (d *Scheduler) SetServer(server registry.Server) {
	s := d.servers[server.Name]
	if s == nil {
		s = &serverState{}
		d.servers[server.Name] = s
	}
	if s.server.Address != server.Address {
		s.load, s.others, s.latency, s.failures, s.restUntil = registry.Load{}, 0, 0, 0, 0
	}
	s.server, d.changed = server, true
}

// SetLoad takes a load figure; one of a lower epoch is rejected.
func (d *Scheduler) SetLoad(name string, epoch uint64, load registry.Load) {
	if s := d.servers[name]; s != nil && epoch >= s.loadEpoch {
		s.loadEpoch, d.changed = epoch, true
		s.setLoad(load)
	}
}

// SetFresh tells up to when this daemon's updates count as fresh.
func (d *Scheduler) SetFresh(lastSwap clock.Micros) {
	d.fresh, d.changed = max(d.fresh, lastSwap), true
}

// ServeOn as Staleness has a daemon assign by its last knowledge however old its
// updates are: where the promises bind only daemons that are in touch, serving on is
// worth more (DESIGN §3.4).
const ServeOn clock.Micros = 1 << 62

// SetServerOffset tells where this daemon's own order of servers begins, from 0 to 1.
func (d *Scheduler) SetServerOffset(begin float64) { d.serverOffset = begin }

// SetPart tells which part of the servers' room for items is this store's.
func (d *Scheduler) SetPart(part float64) { d.part, d.changed = part, true }

// Adjust changes the settings before the first order comes.
func (d *Scheduler) Adjust(change func(set *Settings)) { change(&d.set) }

// Fresh tells whether the updates are fresh enough to assign by.
func (d *Scheduler) Fresh(now clock.Micros) bool {
	return now-d.fresh <= d.set.Staleness || d.IgnoreStaleness
}

// Servers copies the list of servers as known here.
func (d *Scheduler) Servers() []registry.Server {
	out := make([]registry.Server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, s.server)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// View is what this daemon sees, for the operators.
func (d *Scheduler) View() ([]ServerView, map[string]int) {
	var out []ServerView
	for _, s := range d.servers {
		out = append(out, ServerView{s.server, s.load, s.own, s.latency})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	waiting := map[string]int{}
	for customer, count := range d.waiting {
		waiting[customer] = count
	}
	return out, waiting
}
