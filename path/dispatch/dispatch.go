// Package dispatch is a daemon's backlog and the choice of a server (DESIGN
// §7): orders wait by rank, expire in the backlog, and are assigned to the
// server with the highest sum of marks.
package dispatch

import (
	"container/heap"
	"container/list"
	"hash/fnv"
	"math/rand"
	"slices"
	"sort"
	"sync"

	"tuliprudder/core/planbook"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/sundial"
	"tuliprudder/path/judges"
	"tuliprudder/path/roster"
)

// Settings of a dispatcher; the defaults are ours.
type Settings struct {
	MostWaiting int
	PrefixKept  int
	LowLimit    float64        // fullness up to which the lowest level may fill a server
	HighLimit   float64        // the same for the highest
	Patience    sundial.Micros // after which one waiting bundle order may go up to a full server
	Rest        sundial.Micros
	Staleness   sundial.Micros // news older than this: turn away, don't assign
}

// A budget of further tries: what an order adds, and the most that is saved up.
const (
	retryShare  = 0.2
	mostRetries = 50.0
)

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MostWaiting: 20_000, PrefixKept: 4096, LowLimit: 0.7, HighLimit: 1.3, Patience: 3 * sundial.Second, Rest: 300 * sundial.Millisecond, Staleness: 2500 * sundial.Millisecond}
}

// Order is one piece of work that looks for a server.
type Order struct {
	ID       string
	Customer string
	Route    *planbook.Route
	Rank     int64
	Bundle   bool
	Prefix   string
	Expiry   sundial.Micros // 0: none
	Avoid    map[string]int // servers that turned it away
	// Permit is asked right before the start; false drops the order.
	Permit func(now sundial.Micros) bool
	// Start runs in a thread of its own with the chosen server.
	Start func(grip *Grip)
	// Drop ends an order that never started.
	Drop func(err error)

	since   sundial.Micros
	seq     uint64
	at      int
	place   *list.Element
	started bool
	gone    bool
}

// Grip is an order's hold on its chosen server.
type Grip struct {
	Server  roster.Server
	Marks   []judges.Mark
	Started sundial.Micros
	bundle  bool
	stay    *stay
	d       *Dispatch
	s       *state
	once    sync.Once
}

type state struct {
	server    roster.Server
	load      roster.Load
	loadEpoch uint64
	own       int
	stays     []*stay // this daemon's orders of late
	others    int     // the others' orders at the last figure
	latency   sundial.Micros
	failures  int
	restUntil sundial.Micros
}

// stay is one order's time on a server; it has not ended while end is 0.
type stay struct{ start, end sundial.Micros }

// figure takes a reading: what it counts beyond this daemon's own orders at that
// time is the others'.
func (s *state) figure(load roster.Load) {
	mine := 0
	kept := s.stays[:0]
	for _, one := range s.stays {
		if one.start <= load.At && (one.end == 0 || one.end > load.At) {
			mine++
		}
		if one.end == 0 || one.end > load.At {
			kept = append(kept, one)
		}
	}
	s.stays = kept
	s.load, s.others = load, max(0, load.Running+load.Waiting-mine)
}

// Dispatch is the backlog and the servers of one daemon.
type Dispatch struct {
	mu       sync.Mutex
	set      Settings
	clock    func() sundial.Micros
	plan     *planbook.Plan
	levels   []int64
	bundles  int // bundle orders of this daemon that run
	servers  map[string]*state
	backlogs map[int64]map[*planbook.Route]*list.List // by level, then by route
	expiries expiries                                 // those that expire, the next one first
	waiting  map[string]int                           // by customer
	count    int
	seq      uint64
	prefixes map[uint64]string
	prefixed *list.List
	fresh    sundial.Micros
	chance   *rand.Rand
	paces    []sundial.Micros // the latest assignments
	retries  float64          // budget for further tries
	wake     chan struct{}
	closed   bool
	// Counters for the operators.
	Assigned, Expired, TurnedAway, NotPermitted int64
}

// New makes a dispatcher.
func New(set Settings, clock func() sundial.Micros, seed int64) *Dispatch {
	return &Dispatch{set: set, clock: clock, servers: map[string]*state{}, backlogs: map[int64]map[*planbook.Route]*list.List{}, waiting: map[string]int{},
		prefixes: map[uint64]string{}, prefixed: list.New(), chance: rand.New(rand.NewSource(seed)), wake: make(chan struct{}, 1), retries: mostRetries}
}

// SetPlan puts a plan in force here.
func (d *Dispatch) SetPlan(plan *planbook.Plan) {
	d.mu.Lock()
	if d.plan == nil || plan.Version > d.plan.Version {
		d.plan, d.levels = plan, levels(plan)
	}
	d.mu.Unlock()
	d.Wake()
}

// Plan is the plan in force here; nil before the first.
func (d *Dispatch) Plan() *planbook.Plan {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan
}

// SetServer takes the platform's word on a server.
func (d *Dispatch) SetServer(server roster.Server) {
	d.mu.Lock()
	s := d.servers[server.Name]
	if s == nil {
		s = &state{}
		d.servers[server.Name] = s
	}
	if s.server.Address != server.Address {
		s.load, s.others, s.latency, s.failures, s.restUntil = roster.Load{}, 0, 0, 0, 0
	}
	s.server = server
	d.mu.Unlock()
	d.Wake()
}

// SetLoad takes a load figure; one of a lower epoch is turned away.
func (d *Dispatch) SetLoad(name string, epoch uint64, load roster.Load) {
	d.mu.Lock()
	if s := d.servers[name]; s != nil && epoch >= s.loadEpoch {
		s.loadEpoch = epoch
		s.figure(load)
	}
	d.mu.Unlock()
	d.Wake()
}

// SetFresh tells up to when this daemon's news count as fresh.
func (d *Dispatch) SetFresh(lastSwap sundial.Micros) {
	d.mu.Lock()
	d.fresh = max(d.fresh, lastSwap)
	d.mu.Unlock()
}

// Fresh tells whether the news are fresh enough to assign by.
func (d *Dispatch) Fresh() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isFresh(d.clock())
}

func (d *Dispatch) isFresh(now sundial.Micros) bool { return now-d.fresh <= d.set.Staleness }

// Wake lets the matching thread look again.
func (d *Dispatch) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Servers copies the platform's list as known here.
func (d *Dispatch) Servers() []roster.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]roster.Server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, s.server)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ServerView is one server as this daemon sees it.
type ServerView struct {
	roster.Server
	Load    roster.Load    `json:"load"`
	Own     int            `json:"own"`
	Latency sundial.Micros `json:"latency_us"`
}

// View is what this daemon sees, for the operators.
func (d *Dispatch) View() ([]ServerView, map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
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

// Waiting is how much of a customer's work waits here.
func (d *Dispatch) Waiting(customer string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting[customer]
}

// Backlog is how many orders wait here in all.
func (d *Dispatch) Backlog() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// levels are the levels of a plan's classes, lowest first: bundles of a class,
// then its live orders.
func levels(plan *planbook.Plan) []int64 {
	seen := map[int64]bool{}
	var out []int64
	for _, class := range plan.Classes {
		for _, level := range []int64{2 * class.Rank, 2*class.Rank + 1} {
			if !seen[level] {
				seen[level] = true
				out = append(out, level)
			}
		}
	}
	slices.Sort(out)
	return out
}

// limit is the fullness up to which an order may fill a server: the lower its
// level, the more room it leaves for those above it, whichever daemon has them.
// So that bundles never starve, a daemon whose bundles have none running may
// start one that has waited long up to a full server.
func (d *Dispatch) limit(o *Order, now sundial.Micros) float64 {
	place := 1.0
	if n := len(d.levels); n > 1 {
		at, _ := slices.BinarySearch(d.levels, levelOf(o))
		place = float64(min(at, n-1)) / float64(n-1)
	}
	limit := d.set.LowLimit + place*(d.set.HighLimit-d.set.LowLimit)
	if o.Bundle && d.bundles == 0 && now-o.since > d.set.Patience {
		limit = max(limit, 1)
	}
	return limit
}

// Priority is what a server is told: 0 for the highest level, more for lower.
func (d *Dispatch) Priority(o *Order) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, _ := slices.BinarySearch(d.levels, levelOf(o))
	return max(0, len(d.levels)-1-at)
}

func levelOf(o *Order) int64 {
	if o.Bundle {
		return 2 * o.Rank
	}
	return 2*o.Rank + 1
}

// Enrol puts an order into the backlog; an error means it never will run.
func (d *Dispatch) Enrol(o *Order) error {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return mishap.Later(mishap.NotReady, sundial.Second, "ask another daemon", "this daemon is draining")
	}
	if d.count >= d.set.MostWaiting {
		d.TurnedAway++
		after := d.after()
		d.mu.Unlock()
		return mishap.Later(mishap.Busy, after, "come back after the time given", "the backlog is full")
	}
	if o.since == 0 {
		o.since = d.clock()
	}
	d.seq++
	o.seq = d.seq
	level := levelOf(o)
	if d.backlogs[level] == nil {
		d.backlogs[level] = map[*planbook.Route]*list.List{}
	}
	backlog := d.backlogs[level][o.Route]
	if backlog == nil {
		backlog = list.New()
		d.backlogs[level][o.Route] = backlog
	}
	o.place = backlog.PushBack(o)
	o.started, o.gone = false, false
	if o.Expiry > 0 {
		heap.Push(&d.expiries, o)
	}
	d.count++
	d.waiting[o.Customer]++
	d.mu.Unlock()
	d.Wake()
	return nil
}

// after is when the backlog of now will have been worked off, by the pace of the
// latest assignments, between half a second and half a minute.
func (d *Dispatch) after() sundial.Micros {
	if len(d.paces) < 2 {
		return 2 * sundial.Second
	}
	pace := (d.clock() - d.paces[0]) / sundial.Micros(len(d.paces))
	return min(30*sundial.Second, max(sundial.Second/2, pace*sundial.Micros(d.count)))
}

// After is the same for who gives an order up.
func (d *Dispatch) After() sundial.Micros {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.after()
}

// Retry spends of the budget for further tries: one for every five orders that
// were assigned, so that a fault of all servers does not multiply the load.
func (d *Dispatch) Retry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retries < 1 {
		return false
	}
	d.retries--
	return true
}

// Cancel takes an order out of the backlog; false when it has started or gone.
func (d *Dispatch) Cancel(o *Order) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.started || o.gone {
		return false
	}
	d.remove(o)
	return true
}

func (d *Dispatch) remove(o *Order) {
	level := levelOf(o)
	backlog := d.backlogs[level][o.Route]
	backlog.Remove(o.place)
	if backlog.Len() == 0 {
		delete(d.backlogs[level], o.Route)
	}
	if o.Expiry > 0 {
		heap.Remove(&d.expiries, o.at)
	}
	o.gone = true
	d.count--
	if d.waiting[o.Customer]--; d.waiting[o.Customer] <= 0 {
		delete(d.waiting, o.Customer)
	}
}

// Close turns new orders away; what waits is dropped.
func (d *Dispatch) Close() {
	d.mu.Lock()
	d.closed = true
	var dropped []*Order
	for _, routes := range d.backlogs {
		for _, backlog := range routes {
			for e := backlog.Front(); e != nil; e = e.Next() {
				dropped = append(dropped, e.Value.(*Order))
			}
		}
	}
	for _, o := range dropped {
		d.remove(o)
	}
	d.mu.Unlock()
	for _, o := range dropped {
		o.Drop(mishap.Later(mishap.NotReady, sundial.Second, "ask another daemon", "this daemon is draining"))
	}
}

// Run is the matching thread: it looks whenever something changed, and at
// least every 20 ms for what expired. It ends when done is closed.
func (d *Dispatch) Run(done <-chan struct{}, tick <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-d.wake:
		case <-tick:
		}
		d.Match()
	}
}

// Match assigns what can be assigned now, higher ranks first.
func (d *Dispatch) Match() {
	type start struct {
		order *Order
		grip  *Grip
	}
	var starts []start
	var expired, forbidden []*Order
	d.mu.Lock()
	now := d.clock()
	for len(d.expiries) > 0 && now >= d.expiries[0].Expiry {
		o := d.expiries[0]
		d.remove(o)
		expired = append(expired, o)
		d.Expired++
	}
	if d.isFresh(now) && d.plan != nil {
		for _, level := range d.open() {
			for _, backlog := range d.turns(level) {
				d.drain(backlog, now, func(o *Order, grip *Grip) { starts = append(starts, start{o, grip}) })
			}
		}
	}
	d.mu.Unlock()
	for _, s := range starts {
		// The permit is asked outside the lock and right before the start.
		if s.order.Permit != nil && !s.order.Permit(d.clock()) {
			s.grip.Release(0, true)
			forbidden = append(forbidden, s.order)
			continue
		}
		go s.order.Start(s.grip)
	}
	for _, o := range forbidden {
		d.mu.Lock()
		d.NotPermitted++
		d.mu.Unlock()
		o.Drop(mishap.New(mishap.Refused, "nothing to do: another keeper runs it, or it has ended", "no permit to start"))
	}
	for _, o := range expired {
		o.Drop(mishap.Later(mishap.Expired, d.After(), "ask again with a later expiry, or when it is less busy", "the order expired in the backlog; it did not run and will not"))
	}
}

// open lists the levels that have orders, highest first.
func (d *Dispatch) open() []int64 {
	out := make([]int64, 0, len(d.backlogs))
	for level, routes := range d.backlogs {
		if len(routes) > 0 {
			out = append(out, level)
		}
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}

// turns lists a level's backlogs, the one whose first order came first in front.
func (d *Dispatch) turns(level int64) []*list.List {
	out := make([]*list.List, 0, len(d.backlogs[level]))
	for _, backlog := range d.backlogs[level] {
		out = append(out, backlog)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Front().Value.(*Order).seq < out[j].Front().Value.(*Order).seq
	})
	return out
}

// drain assigns from one backlog until no server is left for its route. Only an
// order that has servers to avoid is stepped over.
func (d *Dispatch) drain(backlog *list.List, now sundial.Micros, start func(*Order, *Grip)) {
	var next *list.Element
	for e := backlog.Front(); e != nil; e = next {
		next = e.Next()
		o := e.Value.(*Order)
		grip := d.choose(o, now)
		if grip == nil {
			if len(o.Avoid) == 0 {
				return
			}
			continue
		}
		d.remove(o)
		o.started = true
		start(o, grip)
	}
}

// expiries is the heap of orders that expire.
type expiries []*Order

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].Expiry < e[j].Expiry }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i]; e[i].at, e[j].at = i, j }

// Push and Pop are the heap's.
func (e *expiries) Push(x any) {
	o := x.(*Order)
	o.at = len(*e)
	*e = append(*e, o)
}

// Pop takes the last.
func (e *expiries) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func prefixOf(o *Order) uint64 {
	h := fnv.New64a()
	h.Write([]byte(o.Route.Model + "\x00" + o.Prefix))
	return h.Sum64()
}

// choose picks the server with the highest sum; ties fall by seeded chance.
func (d *Dispatch) choose(o *Order, now sundial.Micros) *Grip {
	limit := d.limit(o, now)
	held := d.prefixes[prefixOf(o)]
	fastest := sundial.Micros(0)
	names := make([]string, 0, len(d.servers))
	for name, s := range d.servers {
		if !s.server.Gone {
			names = append(names, name)
		}
		if s.latency > 0 && (fastest == 0 || s.latency < fastest) {
			fastest = s.latency
		}
	}
	sort.Strings(names)
	wish := judges.Wish{Model: o.Route.Model, Adapter: o.Route.Adapter, Weights: o.Route.Weights}
	var best []string
	var bestMarks []judges.Mark
	top := -1.0
	for _, name := range names {
		s := d.servers[name]
		if !d.plan.Serves(o.Route, s.server.Labels) || o.Avoid[name] >= 3 {
			continue
		}
		sound := s.failures < 3 && (s.load.At == 0 || s.load.Sound)
		candidate := judges.Candidate{Name: name, Labels: s.server.Labels, Slots: s.server.Slots, Own: s.own, Others: s.others,
			Limit: limit, Leaving: s.server.Leaving, Sound: sound, Prefix: held == name,
			Latency: s.latency, Fastest: fastest, RestUntil: s.restUntil, Now: now}
		sum, marks, ok := judges.Sum(d.plan.Judges, wish, candidate)
		if !ok {
			continue
		}
		if sum > top+1e-9 {
			top, best, bestMarks = sum, best[:0], marks
		}
		if sum >= top-1e-9 {
			best = append(best, name)
		}
	}
	if len(best) == 0 {
		return nil
	}
	chosen := d.servers[best[d.chance.Intn(len(best))]]
	chosen.own++
	if o.Bundle {
		d.bundles++
	}
	here := &stay{start: now}
	chosen.stays = append(chosen.stays, here)
	d.Assigned++
	d.retries = min(mostRetries, d.retries+retryShare)
	if d.paces = append(d.paces, now); len(d.paces) > 64 {
		d.paces = d.paces[1:]
	}
	d.remember(prefixOf(o), chosen.server.Name)
	return &Grip{Server: chosen.server, Marks: bestMarks, Started: now, bundle: o.Bundle, stay: here, d: d, s: chosen}
}

func (d *Dispatch) remember(prefix uint64, server string) {
	if _, known := d.prefixes[prefix]; !known {
		d.prefixed.PushBack(prefix)
		if d.prefixed.Len() > d.set.PrefixKept {
			oldest := d.prefixed.Remove(d.prefixed.Front()).(uint64)
			delete(d.prefixes, oldest)
		}
	}
	d.prefixes[prefix] = server
}

// Release lets the server go: took is how long the order ran (0: unknown), and
// ok whether the server behaved.
func (g *Grip) Release(took sundial.Micros, ok bool) {
	g.once.Do(func() {
		g.d.mu.Lock()
		g.s.own--
		g.stay.end = g.d.clock()
		if g.bundle {
			g.d.bundles--
		}
		if ok {
			g.s.failures = 0
			if took > 0 {
				if g.s.latency == 0 {
					g.s.latency = took
				}
				g.s.latency += (took - g.s.latency) / 8
			}
		} else {
			g.s.failures++
			g.s.restUntil = g.d.clock() + g.d.set.Rest*sundial.Micros(min(g.s.failures, 8))
			if g.s.failures >= 3 {
				g.s.failures = 2 // after its rest it may be tried once
			}
		}
		g.d.mu.Unlock()
		g.d.Wake()
	})
}

// TurnedAway notes that the server was full: it rests a moment.
func (g *Grip) TurnedAway() {
	g.d.mu.Lock()
	g.s.restUntil = g.d.clock() + g.d.set.Rest
	g.d.mu.Unlock()
	g.Release(0, true)
}
