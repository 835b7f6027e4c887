package explore

import (
	"math/rand"
	"slices"

	"tuliprudder/kernel/clock"
)

// Bounds end a search.
type Bounds struct {
	Depth  int   // events of one run after the start
	States int   // different states visited
	Seed   int64 // of depth-first and random runs
	// Every is how many states come between two that are tried for progress; 0: none.
	// Random runs are tried for it at their end.
	Every int
	// Stop ends the search early; may be nil.
	Stop func() bool
}

func (b Bounds) over(states int) bool {
	return b.States > 0 && states >= b.States || b.Stop != nil && b.Stop()
}

// Reached is the most that any state of a search had: a search that reaches little shows
// little.
type Reached struct {
	Confirmed int    // documents
	Term      uint64 // in which somebody led
	Wiped     int    // identities
	Voters    int    // changes of the set of voters, at least
}

// see takes a state into account.
func (r *Reached) see(w *World) {
	r.Confirmed = max(r.Confirmed, len(w.history.confirmed))
	r.Wiped = max(r.Wiped, len(w.history.wiped))
	r.Voters = max(r.Voters, len(w.history.newVoters))
	for _, p := range w.processes {
		if p.owns {
			r.Term = max(r.Term, p.epoch)
		}
	}
}

// Result is what a search found.
type Result struct {
	States    int // different states visited
	Steps     int // events applied
	Depth     int // of the deepest state
	Complete  bool
	Reached   Reached
	Violation *Violation
	Trace     Trace
}

// step is a state of a search and how it was reached.
type step struct {
	world  *World
	before *step
	event  Event
	depth  int
}

func (s *step) trace() Trace {
	var trace Trace
	for ; s.before != nil; s = s.before {
		trace = append(trace, s.event)
	}
	slices.Reverse(trace)
	return trace
}

// search is what all kinds of search keep.
type search struct {
	config  *Config
	bounds  Bounds
	visited map[uint64]int // the least depth that a state was reached at
	result  Result
}

func newSearch(c *Config, b Bounds) *search {
	return &search{config: c, bounds: b, visited: map[uint64]int{}}
}

// enter notes a state; false where it was visited before at no greater depth.
func (s *search) enter(at *step) bool {
	fingerprint := at.world.Fingerprint()
	depth, known := s.visited[fingerprint]
	if known && depth <= at.depth {
		return false
	}
	s.visited[fingerprint] = at.depth
	s.result.States = len(s.visited)
	s.result.Reached.see(at.world)
	s.result.Depth = max(s.result.Depth, at.depth)
	return true
}

// broken keeps the first violation; true where there is one.
func (s *search) broken(at *step) bool {
	violation := at.world.violation
	if violation == nil && s.bounds.Every > 0 && s.result.Steps%s.bounds.Every == 0 {
		violation = at.world.Recover()
	}
	if violation == nil {
		return false
	}
	s.result.Violation, s.result.Trace = violation, at.trace()
	return true
}

// BreadthFirst visits all states by their distance from the start: the first
// violation found has a shortest run.
func BreadthFirst(c *Config, b Bounds) Result {
	s := newSearch(c, b)
	queue := []*step{{world: c.Begin()}}
	s.enter(queue[0])
	if s.broken(queue[0]) {
		return s.result
	}
	for len(queue) > 0 {
		at := queue[0]
		queue[0] = nil
		queue = queue[1:]
		if at.depth >= b.Depth {
			continue
		}
		for _, event := range at.world.Choices() {
			if b.over(s.result.States) {
				return s.result
			}
			world, ok := at.world.Apply(event)
			if !ok {
				continue
			}
			s.result.Steps++
			next := &step{world: world, before: at, event: event, depth: at.depth + 1}
			if s.broken(next) {
				return s.result
			}
			if s.enter(next) {
				queue = append(queue, next)
			}
		}
		at.world = nil
	}
	s.result.Complete = true
	return s.result
}

// DepthFirst follows each run to its end before it turns back, in an order given by
// the seed.
func DepthFirst(c *Config, b Bounds) Result {
	s := newSearch(c, b)
	chance := rand.New(rand.NewSource(b.Seed))
	var follow func(at *step) bool
	follow = func(at *step) bool {
		if s.broken(at) {
			return false
		}
		if !s.enter(at) || at.depth >= b.Depth {
			return true
		}
		events := at.world.Choices()
		chance.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, event := range events {
			if b.over(s.result.States) {
				return false
			}
			world, ok := at.world.Apply(event)
			if !ok {
				continue
			}
			s.result.Steps++
			if !follow(&step{world: world, before: at, event: event, depth: at.depth + 1}) {
				return false
			}
		}
		return true
	}
	s.result.Complete = follow(&step{world: c.Begin()})
	return s.result
}

// RandomWalk makes run after run of random events, each kind as likely as another,
// and tries each one's end for progress. A violation's run is made shorter.
func RandomWalk(c *Config, b Bounds) Result {
	s := newSearch(c, b)
	s.bounds.Every = 0
	chance := rand.New(rand.NewSource(b.Seed))
	begin := c.Begin()
	for !b.over(s.result.States) {
		at := &step{world: begin}
		for at.depth < b.Depth {
			next := s.stray(at, chance)
			if next == nil {
				break
			}
			at = next
			s.enter(at)
			if s.broken(at) {
				s.result.Trace, s.result.Violation = Shrink(c, s.result.Trace, s.result.Violation, false)
				return s.result
			}
		}
		if violation := at.world.Recover(); violation != nil {
			s.result.Trace, s.result.Violation = Shrink(c, at.trace(), violation, true)
			return s.result
		}
	}
	return s.result
}

// stray is a state after one random event; nil when none can come.
func (s *search) stray(at *step, chance *rand.Rand) *step {
	byKind := map[Kind][]Event{}
	var kinds []Kind
	for _, event := range at.world.Choices() {
		if byKind[event.Kind] == nil {
			kinds = append(kinds, event.Kind)
		}
		byKind[event.Kind] = append(byKind[event.Kind], event)
	}
	for tries := 0; tries < 20 && len(kinds) > 0; tries++ {
		events := byKind[kinds[chance.Intn(len(kinds))]]
		event := events[chance.Intn(len(events))]
		if world, ok := at.world.Apply(event); ok {
			s.result.Steps++
			return &step{world: world, before: at, event: event, depth: at.depth + 1}
		}
	}
	return nil
}

// Replay applies a run from the start; events that can't happen are passed over. It
// ends at the first violation; with healed it then tries for progress.
func Replay(c *Config, trace Trace, healed bool) *World {
	w := c.Begin()
	for _, event := range trace {
		if w.violation != nil {
			return w
		}
		w, _ = w.Apply(event)
	}
	if w.violation == nil && healed {
		w.violation = w.Recover()
	}
	return w
}

// Shrink takes events out of a run for as long as the same property stays broken; with
// healed, also where it breaks only after all trouble ended.
func Shrink(c *Config, trace Trace, violation *Violation, healed bool) (Trace, *Violation) {
	for again := true; again; {
		again = false
		for i := len(trace) - 1; i >= 0; i-- {
			shorter := slices.Delete(slices.Clone(trace), i, i+1)
			w := Replay(c, shorter, healed)
			if w.violation != nil && w.violation.Property == violation.Property {
				trace, violation, again = shorter, w.violation, true
			}
		}
	}
	return trace, violation
}

// recoverWithin is how long a healed fleet may take until it confirms again.
const recoverWithin = 60 * clock.Second

// Recover heals all links, starts what is down, delivers what was held, and lets time
// go by fairly: then a majority has to confirm an order. The state itself stays as
// it is. It tells the broken property, or nil.
func (w *World) Recover() *Violation {
	next := w.clone()
	clear(next.cut)
	for place, p := range next.processes {
		switch {
		case p.leaving:
			next.processes[place] = p.ended(len(p.unsynced)).booted(next.config)
		case !p.up:
			next.processes[place] = p.booted(next.config)
		case p.clogged && !p.frozen:
			next.clog(place, false)
		case p.frozen:
			thawed := *p
			thawed.frozen, thawed.print = false, 0
			next.processes[place] = &thawed
			if p.clogged {
				next.clog(place, false)
			}
		}
	}
	for i := range next.flight {
		next.flight[i].held = false
	}
	settled := 0 // rounds in a row with a leader
	for end := next.now + recoverWithin; next.now < end && next.violation == nil && settled < 4; {
		next.pass(clock.Second)
		settled++
		if len(next.leaseHolders()) != 1 {
			settled = 0
		}
	}
	next.check()
	if next.violation != nil {
		return next.violation
	}
	holders := next.leaseHolders()
	if len(holders) != 1 {
		return &Violation{Progress, "nobody holds the lease a minute after all trouble ended"}
	}
	return next.confirmOne(holders[0])
}

// confirmOne puts an order that can't be refused and waits for its receipt.
func (w *World) confirmOne(leader *process) *Violation {
	place := w.place(leader.name)
	known := len(w.history.confirmed)
	index := slices.IndexFunc(orders, func(o Order) bool { return o.Name == finalOrder })
	w.history.calls = append(w.history.calls, index)
	w.ask(place, uint64(len(w.history.calls)), orders[index])
	w.pass(2 * clock.Second)
	if w.violation != nil {
		return w.violation
	}
	if len(w.history.confirmed) == known {
		return &Violation{Progress, "an order is not confirmed within two seconds after all trouble ended"}
	}
	return nil
}
