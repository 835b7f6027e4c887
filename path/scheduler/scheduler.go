// Package scheduler is a daemon's queue and the choice of a server (DESIGN
// §7): orders wait by rank, expire in the queue, and are assigned to the
// server with the highest sum of scores. It is a part of the daemon's machine:
// the time comes in with each step, and nothing here waits or runs beside it.
package scheduler

import (
	"container/heap"
	"container/list"
	"hash/fnv"
	"math/rand"
	"slices"
	"sort"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/registry"
	"tuliprudder/path/scoring"
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

// Order is one piece of work that looks for a server.
type Order struct {
	ID       string
	Customer string
	Route    *config.Route
	Rank     int64
	Bundle   bool
	Weight   int // what it counts for while it waits; 0 counts as 1
	Prefix   string
	Prompt   int64          // tokens that the server reads before it begins
	Expiry   clock.Micros   // 0: none
	Avoid    map[string]int // servers that turned it away
	// Pools, where set, are those that serve this order instead of its route's.
	Pools config.Selector
	// Permit is asked right before the start; false drops the order.
	Permit func(now clock.Micros) bool
	// Start is told the chosen server.
	Start func(assignment *Assignment, now clock.Micros)
	// Drop ends an order that never started.
	Drop func(err error, now clock.Micros)

	since     clock.Micros
	seq       uint64
	heapIndex int
	element   *list.Element
	started   bool
	gone      bool
}

// Assignment is an order's hold on its chosen server.
type Assignment struct {
	Server    registry.Server
	Scores    []scoring.Score
	Started   clock.Micros
	bundle    bool
	prompt    int64
	begun     bool
	presence  *presence
	scheduler *Scheduler
	server    *serverState
	released  bool
}

type serverState struct {
	server    registry.Server
	load      registry.Load
	loadEpoch uint64
	own       int
	presences []*presence // this daemon's orders of late
	others    int         // the others' orders at the last figure
	latency   clock.Micros
	failures  int
	restUntil clock.Micros
	bundles   int           // this daemon's items
	opening   int           // those of them that it has not begun
	reading   int64         // prompt tokens of this daemon's orders that it has not begun
	pending   []*Assignment // these orders, the oldest first
	lastSign  clock.Micros  // when it last began or ended one
	window    window        // of items
}

// silent is how long the server has left this daemon's orders without a word.
func (s *serverState) silent(now clock.Micros) clock.Micros {
	if len(s.pending) == 0 {
		return 0
	}
	return now - max(s.lastSign, s.pending[0].Started)
}

// presence is one order's time on a server; it has not ended while end is 0.
type presence struct{ start, end clock.Micros }

// setLoad takes a reading: what it counts beyond this daemon's own orders at that
// time is the others'.
func (s *serverState) setLoad(load registry.Load) {
	mine := 0
	kept := s.presences[:0]
	for _, one := range s.presences {
		if one.start <= load.At && (one.end == 0 || one.end > load.At) {
			mine++
		}
		if one.end == 0 || one.end > load.At {
			kept = append(kept, one)
		}
	}
	s.presences = kept
	s.load, s.others = load, max(0, load.Running+load.Waiting-mine)
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

// SetPlan puts a plan in force here, for what waits as well: each order goes by
// the new plan's route and rank from now on, and one whose route or customer is
// gone is dropped.
func (d *Scheduler) SetPlan(plan *config.Plan, now clock.Micros) {
	if d.plan != nil && plan.Version <= d.plan.Version {
		return
	}
	waiting := d.all()
	for _, o := range waiting {
		d.remove(o)
	}
	d.plan, d.levels, d.changed = plan, levels(plan), true
	for _, o := range waiting {
		if err := d.applyPlan(o); err != nil {
			o.Drop(err, now)
			continue
		}
		d.put(o)
	}
}

// applyPlan lets an order go by the plan in force: the one it was checked by may be
// another by now.
func (d *Scheduler) applyPlan(o *Order) error {
	if d.plan == nil || d.KeepOldPlan {
		return nil
	}
	route, class := d.plan.Lookup(o.Route.Name, o.Customer)
	// What was accepted runs for as long as there is a route for it, and requests that
	// are passed on belong to no customer.
	if route == nil || !o.Bundle && o.Route.Forward == nil && (class == nil || !route.Classes.Matches(class.Labels)) {
		return errs.New(errs.UnknownRoute, "name a route that the plan opens to this customer's class", "the plan in force has no route %q for this customer any more; the order did not run and will not", o.Route.Name)
	}
	// Where requests are passed on there are no customers, though one may be named
	// like the route.
	if o.Route = route; class != nil && route.Forward == nil {
		o.Rank = class.Rank
	}
	return nil
}

// all are the orders that wait, in the order they came.
func (d *Scheduler) all() []*Order {
	var out []*Order
	for _, level := range d.openLevels() {
		for _, backlog := range d.backlogsOf(level) {
			for e := backlog.Front(); e != nil; e = e.Next() {
				out = append(out, e.Value.(*Order))
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

// Plan is the plan in force here; nil before the first.
func (d *Scheduler) Plan() *config.Plan {
	return d.plan
}

// SetServer takes the platform's word on a server.
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

// Servers copies the platform's list as known here.
func (d *Scheduler) Servers() []registry.Server {
	out := make([]registry.Server, 0, len(d.servers))
	for _, s := range d.servers {
		out = append(out, s.server)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ServerView is one server as this daemon sees it.
type ServerView struct {
	registry.Server
	Load    registry.Load `json:"load"`
	Own     int           `json:"own"`
	Latency clock.Micros  `json:"latency_us"`
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

// Waiting is how much of a customer's work waits here, by weight.
func (d *Scheduler) Waiting(customer string) int {
	return d.waiting[customer]
}

// Backlog is how many orders wait here in all.
func (d *Scheduler) Backlog() int {
	return d.count
}

// levels are the levels of a plan's classes, lowest first: bundles of a class,
// then its live orders.
func levels(plan *config.Plan) []int64 {
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
func (d *Scheduler) limit(o *Order, now clock.Micros) float64 {
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
func (d *Scheduler) Priority(o *Order) int {
	at, _ := slices.BinarySearch(d.levels, levelOf(o))
	return max(0, len(d.levels)-1-at)
}

func (o *Order) weight() int { return max(1, o.Weight) }

func levelOf(o *Order) int64 {
	if o.Bundle {
		return 2 * o.Rank
	}
	return 2*o.Rank + 1
}

// Submit puts an order into the queue; an error means it never will run.
func (d *Scheduler) Submit(o *Order, now clock.Micros) error {
	if d.closed {
		return errs.Later(errs.NotReady, clock.Second, "ask another daemon", "this daemon is draining")
	}
	if d.count >= d.set.MostWaiting {
		d.Rejected++
		return errs.Later(errs.Busy, d.After(now), "come back after the time given", "the backlog is full")
	}
	if err := d.applyPlan(o); err != nil {
		return err
	}
	if o.since == 0 {
		o.since = now
	}
	d.seq++
	o.seq = d.seq
	d.put(o)
	return nil
}

func (d *Scheduler) put(o *Order) {
	level := levelOf(o)
	if d.backlogs[level] == nil {
		d.backlogs[level] = map[*config.Route]*list.List{}
	}
	backlog := d.backlogs[level][o.Route]
	if backlog == nil {
		backlog = list.New()
		d.backlogs[level][o.Route] = backlog
	}
	o.element = backlog.PushBack(o)
	o.started, o.gone = false, false
	if o.Expiry > 0 {
		heap.Push(&d.expiries, o)
	}
	d.count++
	d.waiting[o.Customer] += o.weight()
	d.changed = true
}

// After is when the queue of now will have been worked off, by the pace of the
// latest assignments, between half a second and half a minute.
func (d *Scheduler) After(now clock.Micros) clock.Micros {
	if len(d.assignedAt) < 2 {
		return 2 * clock.Second
	}
	pace := (now - d.assignedAt[0]) / clock.Micros(len(d.assignedAt))
	return min(30*clock.Second, max(clock.Second/2, pace*clock.Micros(d.count)))
}

// Retry spends of the budget for further tries: one for every five orders that
// were assigned, so that a fault of all servers does not multiply the load.
func (d *Scheduler) Retry() bool {
	if d.retries < 1 {
		return false
	}
	d.retries--
	return true
}

// Cancel takes an order out of the queue; false when it has started or gone.
func (d *Scheduler) Cancel(o *Order) bool {
	if o.started || o.gone {
		return false
	}
	d.remove(o)
	return true
}

func (d *Scheduler) remove(o *Order) {
	level := levelOf(o)
	backlog := d.backlogs[level][o.Route]
	backlog.Remove(o.element)
	if backlog.Len() == 0 {
		delete(d.backlogs[level], o.Route)
	}
	if o.Expiry > 0 {
		heap.Remove(&d.expiries, o.heapIndex)
	}
	o.gone = true
	d.count--
	if d.waiting[o.Customer] -= o.weight(); d.waiting[o.Customer] <= 0 {
		delete(d.waiting, o.Customer)
	}
}

// Close turns new orders away; what waits is dropped.
func (d *Scheduler) Close(now clock.Micros) {
	d.closed = true
	dropped := d.all()
	for _, o := range dropped {
		d.remove(o)
	}
	for _, o := range dropped {
		o.Drop(errs.Later(errs.NotReady, clock.Second, "ask another daemon", "this daemon is draining"), now)
	}
}

// Settle looks for as long as looking changes something: the daemon's machine
// calls it at the end of each of its steps.
func (d *Scheduler) Settle(now clock.Micros) {
	for d.changed {
		d.Match(now)
	}
}

// Match assigns what can be assigned now, higher ranks first.
func (d *Scheduler) Match(now clock.Micros) {
	type start struct {
		order      *Order
		assignment *Assignment
	}
	var starts []start
	var expired []*Order
	d.changed = false
	for len(d.expiries) > 0 && now >= d.expiries[0].Expiry {
		o := d.expiries[0]
		d.remove(o)
		expired = append(expired, o)
		d.Expired++
	}
	if !d.Fresh(now) {
		expired = append(expired, d.removeLive()...)
	} else if d.plan != nil {
		for _, level := range d.openLevels() {
			for _, backlog := range d.backlogsOf(level) {
				d.drain(backlog, now, func(o *Order, assignment *Assignment) { starts = append(starts, start{o, assignment}) })
			}
		}
	}
	for _, s := range starts {
		if s.order.Permit != nil && !s.order.Permit(now) {
			s.assignment.Release(0, true, now)
			d.NotPermitted++
			s.order.Drop(errs.New(errs.Refused, "nothing to do: another keeper runs it, or it has ended", "no permit to start"), now)
			continue
		}
		s.order.Start(s.assignment, now)
	}
	for _, o := range expired {
		if o.Expiry == 0 || now < o.Expiry {
			o.Drop(errs.Later(errs.NotReady, clock.Second, "ask another daemon, or come back", "this daemon's news are old; the order did not run and will not"), now)
			continue
		}
		o.Drop(errs.Later(errs.Expired, d.After(now), "ask again with a later expiry, or when it is less busy", "the order expired in the backlog; it did not run and will not"), now)
	}
}

// removeLive takes the live orders out of a queue whose daemon does not hear most of
// the fleet: elsewhere their customers' allowance is lent anew. Items of bundles
// were accepted, and wait on.
func (d *Scheduler) removeLive() []*Order {
	var out []*Order
	for _, o := range d.all() {
		if !o.Bundle {
			d.remove(o)
			out = append(out, o)
		}
	}
	return out
}

// openLevels lists the levels that have orders, highest first.
func (d *Scheduler) openLevels() []int64 {
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

// backlogsOf lists a level's backlogs, the one whose first order came first in front.
func (d *Scheduler) backlogsOf(level int64) []*list.List {
	out := make([]*list.List, 0, len(d.backlogs[level]))
	for _, backlog := range d.backlogs[level] {
		out = append(out, backlog)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Front().Value.(*Order).seq < out[j].Front().Value.(*Order).seq
	})
	return out
}

// drain assigns from one queue until no server is left for its route. Only an
// order that has servers to avoid is stepped over.
func (d *Scheduler) drain(backlog *list.List, now clock.Micros, start func(*Order, *Assignment)) {
	var next *list.Element
	for e := backlog.Front(); e != nil; e = next {
		next = e.Next()
		o := e.Value.(*Order)
		assignment := d.choose(o, now)
		if assignment == nil {
			if len(o.Avoid) == 0 {
				return
			}
			continue
		}
		d.remove(o)
		o.started = true
		start(o, assignment)
	}
}

// expiries is the heap of orders that expire.
type expiries []*Order

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].Expiry < e[j].Expiry }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i]; e[i].heapIndex, e[j].heapIndex = i, j }

// Push and Pop are the heap's.
func (e *expiries) Push(x any) {
	o := x.(*Order)
	o.heapIndex = len(*e)
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
func (d *Scheduler) choose(o *Order, now clock.Micros) *Assignment {
	limit := d.limit(o, now)
	held := d.prefixes[prefixOf(o)]
	fastest := clock.Micros(0)
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
	wish := scoring.Requirements{Model: o.Route.Model, Adapter: o.Route.Adapter, Weights: o.Route.Weights}
	avoid := o.Avoid
	if o.Bundle && len(avoid) > 0 && !d.otherServer(o, names) {
		avoid = nil // what was accepted rather goes where it failed than nowhere
	}
	var best []string
	var bestMarks []scoring.Score
	top := -1.0
	begin := int(d.serverOffset * float64(len(names)))
	for i, name := range names {
		s := d.servers[name]
		if !d.serves(o, s.server.Labels) || avoid[name] >= 3 {
			continue
		}
		sound := s.healthy()
		candidate := scoring.Candidate{Name: name, Labels: s.server.Labels, Slots: s.server.Slots, Own: s.own, Others: s.others,
			Limit: limit, Leaving: s.server.Leaving && !d.IgnoreStaleness, Sound: sound, Prefix: held == name,
			Latency: s.latency, Fastest: fastest, RestUntil: s.restUntil, Now: now, Reading: s.reading, Silent: s.silent(now),
			Turn: float64((i-begin+len(names))%len(names)) / float64(len(names))}
		if o.Bundle && o.Route.Forward != nil {
			candidate.Share = &scoring.Share{Part: d.part, Window: s.window.room(), Running: s.bundles, Opening: s.opening}
		}
		sum, marks, ok := scoring.Sum(d.plan.Judges, wish, candidate)
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
	chosen := d.servers[best[d.random.Intn(len(best))]]
	chosen.own++
	if o.Bundle {
		d.bundles++
	}
	here := &presence{start: now}
	chosen.presences = append(chosen.presences, here)
	d.Assigned++
	d.retries = min(mostRetries, d.retries+retryShare)
	if d.assignedAt = append(d.assignedAt, now); len(d.assignedAt) > 64 {
		d.assignedAt = d.assignedAt[1:]
	}
	d.remember(prefixOf(o), chosen.server.Name)
	assignment := &Assignment{Server: chosen.server, Scores: bestMarks, Started: now, bundle: o.Bundle, prompt: o.Prompt, presence: here, scheduler: d, server: chosen}
	chosen.pending, chosen.reading = append(chosen.pending, assignment), chosen.reading+assignment.prompt
	if o.Bundle {
		chosen.bundles++
		chosen.opening++
	}
	return assignment
}

func (d *Scheduler) serves(o *Order, labels config.Labels) bool {
	if o.Pools != nil {
		return d.plan.Selects(o.Pools, labels)
	}
	return d.plan.Serves(o.Route, labels)
}

func (s *serverState) healthy() bool { return s.failures < 3 && (s.load.At == 0 || s.load.Sound) }

// otherServer tells whether there is a sound server for an order besides those it
// avoids; one that is full or rests counts, for it will take orders again.
func (d *Scheduler) otherServer(o *Order, names []string) bool {
	for _, name := range names {
		if s := d.servers[name]; o.Avoid[name] < 3 && s.healthy() && !s.server.Leaving && d.serves(o, s.server.Labels) {
			return true
		}
	}
	return false
}

func (d *Scheduler) remember(prefix uint64, server string) {
	if _, known := d.prefixes[prefix]; !known {
		d.prefixOrder.PushBack(prefix)
		if d.prefixOrder.Len() > d.set.PrefixKept {
			oldest := d.prefixOrder.Remove(d.prefixOrder.Front()).(uint64)
			delete(d.prefixes, oldest)
		}
	}
	d.prefixes[prefix] = server
}

// Began notes that the server has begun the order: its prompt is read.
func (g *Assignment) Began(now clock.Micros) {
	if g.released || g.begun {
		return
	}
	g.server.lastSign = now
	if g.bundle {
		g.server.window.began(now-g.Started, now)
	}
	g.begin()
}

func (g *Assignment) begin() {
	if g.begun {
		return
	}
	g.begun = true
	g.scheduler.changed = true
	g.server.reading -= g.prompt
	if g.bundle {
		g.server.opening--
	}
	g.server.pending = slices.DeleteFunc(g.server.pending, func(one *Assignment) bool { return one == g })
}

// Release lets the server go: took is how long the order ran (0: unknown), and
// ok whether the server behaved.
func (g *Assignment) Release(took clock.Micros, ok bool, now clock.Micros) {
	if g.released {
		return
	}
	g.begin()
	g.released = true
	g.server.own--
	g.presence.end = now
	if g.bundle {
		g.scheduler.bundles--
		g.server.bundles--
	}
	if ok {
		g.server.lastSign = now
	}
	g.scheduler.changed = true
	if ok {
		g.server.failures = 0
		if took > 0 {
			if g.server.latency == 0 {
				g.server.latency = took
			}
			g.server.latency += (took - g.server.latency) / 8
		}
		return
	}
	g.server.failures++
	g.server.restUntil = now + g.scheduler.set.Rest*clock.Micros(min(g.server.failures, 8))
	if g.server.failures >= 3 {
		g.server.failures = 2 // after its rest it may be tried once
	}
}

// Abandon lets the server go without a word on it: its order ended for reasons of its
// own.
func (g *Assignment) Abandon(now clock.Micros) {
	if g.released {
		return
	}
	heard, failures := g.server.lastSign, g.server.failures
	g.Release(0, true, now)
	g.server.lastSign, g.server.failures = heard, failures
}

// Rejected notes that the server was full: it rests a moment.
func (g *Assignment) Rejected(now clock.Micros) {
	g.server.restUntil = now + g.scheduler.set.Rest
	g.Release(0, true, now)
}
