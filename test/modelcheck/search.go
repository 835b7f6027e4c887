package modelcheck

import (
	"math/rand"
	"slices"

	"tuliprudder/internal/clock"
)

// Bounds end a search.
type Bounds struct {
	Depth  int   // events of one run after the start
	States int   // different states visited
	Seed   int64 // of depth-first and random runs
	// ProgressEvery is how many states come between two that are tried for progress; 0: none.
	// Random runs are tried for it at their end.
	ProgressEvery int
	// Stop ends the search early; may be nil.
	Stop func() bool
}

func (b Bounds) exceeded(states int) bool {
	return b.States > 0 && states >= b.States || b.Stop != nil && b.Stop()
}

// Coverage is the most that any state of a search had: a search that reaches little shows
// little.
type Coverage struct {
	Confirmed int    // documents
	Term      uint64 // in which somebody led
	Wiped     int    // identities
	Voters    int    // changes of the set of voters, at least
}

// include takes a state into account.
func (r *Coverage) include(w *World) {
	r.Confirmed = max(r.Confirmed, len(w.history.confirmed))
	r.Wiped = max(r.Wiped, len(w.history.wiped))
	r.Voters = max(r.Voters, len(w.history.newVoters))
	for _, p := range w.processes {
		if p.isPrimary {
			r.Term = max(r.Term, p.epoch)
		}
	}
}

// Result is what a search found.
type Result struct {
	States    int // different states visited
	Events    int // events applied
	Depth     int // of the deepest state
	Complete  bool
	Coverage  Coverage
	Violation *Violation
	Trace     Trace
}

// node is a state of a search and how it was reached.
type node struct {
	world  *World
	parent *node
	event  Event
	depth  int
}

func (s *node) trace() Trace {
	var trace Trace
	for ; s.parent != nil; s = s.parent {
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

// visit notes a state; false where it was visited before at no greater depth.
func (s *search) visit(at *node) bool {
	fingerprint := at.world.Fingerprint()
	depth, known := s.visited[fingerprint]
	if known && depth <= at.depth {
		return false
	}
	s.visited[fingerprint] = at.depth
	s.result.States = len(s.visited)
	s.result.Coverage.include(at.world)
	s.result.Depth = max(s.result.Depth, at.depth)
	return true
}

// recordViolation keeps the first violation; true where there is one.
func (s *search) recordViolation(at *node) bool {
	violation := at.world.violation
	if violation == nil && s.bounds.ProgressEvery > 0 && s.result.Events%s.bounds.ProgressEvery == 0 {
		violation = at.world.CheckRecovery()
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
	queue := []*node{{world: c.InitialWorld()}}
	s.visit(queue[0])
	if s.recordViolation(queue[0]) {
		return s.result
	}
	for len(queue) > 0 {
		at := queue[0]
		queue[0] = nil
		queue = queue[1:]
		if at.depth >= b.Depth {
			continue
		}
		for _, event := range at.world.EnabledEvents() {
			if b.exceeded(s.result.States) {
				return s.result
			}
			world, ok := at.world.Apply(event)
			if !ok {
				continue
			}
			s.result.Events++
			next := &node{world: world, parent: at, event: event, depth: at.depth + 1}
			if s.recordViolation(next) {
				return s.result
			}
			if s.visit(next) {
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
	rng := rand.New(rand.NewSource(b.Seed))
	var follow func(at *node) bool
	follow = func(at *node) bool {
		if s.recordViolation(at) {
			return false
		}
		if !s.visit(at) || at.depth >= b.Depth {
			return true
		}
		events := at.world.EnabledEvents()
		rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		for _, event := range events {
			if b.exceeded(s.result.States) {
				return false
			}
			world, ok := at.world.Apply(event)
			if !ok {
				continue
			}
			s.result.Events++
			if !follow(&node{world: world, parent: at, event: event, depth: at.depth + 1}) {
				return false
			}
		}
		return true
	}
	s.result.Complete = follow(&node{world: c.InitialWorld()})
	return s.result
}

// RandomWalk makes run after run of random events, each kind as likely as another,
// and tries each one's end for progress. A violation's run is made shorter.
func RandomWalk(c *Config, b Bounds) Result {
	s := newSearch(c, b)
	s.bounds.ProgressEvery = 0
	rng := rand.New(rand.NewSource(b.Seed))
	begin := c.InitialWorld()
	for !b.exceeded(s.result.States) {
		at := &node{world: begin}
		for at.depth < b.Depth {
			next := s.randomChild(at, rng)
			if next == nil {
				break
			}
			at = next
			s.visit(at)
			if s.recordViolation(at) {
				s.result.Trace, s.result.Violation = Shrink(c, s.result.Trace, s.result.Violation, false)
				return s.result
			}
		}
		if violation := at.world.CheckRecovery(); violation != nil {
			s.result.Trace, s.result.Violation = Shrink(c, at.trace(), violation, true)
			return s.result
		}
	}
	return s.result
}

// randomChild is a state after one random event; nil when none can come.
func (s *search) randomChild(at *node, rng *rand.Rand) *node {
	byKind := map[Kind][]Event{}
	var kinds []Kind
	for _, event := range at.world.EnabledEvents() {
		if byKind[event.Kind] == nil {
			kinds = append(kinds, event.Kind)
		}
		byKind[event.Kind] = append(byKind[event.Kind], event)
	}
	for attempts := 0; attempts < 20 && len(kinds) > 0; attempts++ {
		events := byKind[kinds[rng.Intn(len(kinds))]]
		event := events[rng.Intn(len(events))]
		if world, ok := at.world.Apply(event); ok {
			s.result.Events++
			return &node{world: world, parent: at, event: event, depth: at.depth + 1}
		}
	}
	return nil
}

// Replay applies a run from the start; events that can't happen are passed over. It
// ends at the first violation; with healed it then tries for progress.
func Replay(c *Config, trace Trace, checkRecovery bool) *World {
	w := c.InitialWorld()
	for _, event := range trace {
		if w.violation != nil {
			return w
		}
		w, _ = w.Apply(event)
	}
	if w.violation == nil && checkRecovery {
		w.violation = w.CheckRecovery()
	}
	return w
}

// Shrink takes events out of a run for as long as the same property stays broken; with
// healed, also where it breaks only after all trouble ended.
func Shrink(c *Config, trace Trace, violation *Violation, checkRecovery bool) (Trace, *Violation) {
	for again := true; again; {
		again = false
		for i := len(trace) - 1; i >= 0; i-- {
			shorter := slices.Delete(slices.Clone(trace), i, i+1)
			w := Replay(c, shorter, checkRecovery)
			if w.violation != nil && w.violation.Property == violation.Property {
				trace, violation, again = shorter, w.violation, true
			}
		}
	}
	return trace, violation
}

// recoveryTimeout is how long a healed fleet may take until it confirms again.
const recoveryTimeout = 60 * clock.Second

// CheckRecovery heals all links, starts what is down, delivers what was held, and lets time
// go by fairly: then a majority has to confirm an order. The state itself stays as
// it is. It tells the broken property, or nil.
func (w *World) CheckRecovery() *Violation {
	next := w.clone()
	clear(next.cutLinks)
	for processIndex, p := range next.processes {
		switch {
		case p.draining:
			next.processes[processIndex] = p.stopped(len(p.unsynced)).restarted(next.config)
		case !p.up:
			next.processes[processIndex] = p.restarted(next.config)
		case p.diskBlocked && !p.paused:
			next.setDiskBlocked(processIndex, false)
		case p.paused:
			resumed := *p
			resumed.paused, resumed.cachedFingerprint = false, 0
			next.processes[processIndex] = &resumed
			if p.diskBlocked {
				next.setDiskBlocked(processIndex, false)
			}
		}
	}
	for i := range next.inFlight {
		next.inFlight[i].delayed = false
	}
	roundsWithLeader := 0 // rounds in a row with a leader
	for end := next.now + recoveryTimeout; next.now < end && next.violation == nil && roundsWithLeader < 4; {
		next.passTime(clock.Second)
		roundsWithLeader++
		if len(next.leaseHolders()) != 1 {
			roundsWithLeader = 0
		}
	}
	next.checkProperties()
	if next.violation != nil {
		return next.violation
	}
	leaseHolders := next.leaseHolders()
	if len(leaseHolders) != 1 {
		return &Violation{Progress, "nobody holds the lease a minute after all trouble ended"}
	}
	return next.checkConfirms(leaseHolders[0])
}

// checkConfirms puts an order that can't be refused and waits for its acknowledgement.
func (w *World) checkConfirms(leader *process) *Violation {
	processIndex := w.indexByName(leader.name)
	known := len(w.history.confirmed)
	index := slices.IndexFunc(operatorRequests, func(o Request) bool { return o.Name == finalRequest })
	w.history.calledRequests = append(w.history.calledRequests, index)
	w.submit(processIndex, uint64(len(w.history.calledRequests)), operatorRequests[index])
	w.passTime(2 * clock.Second)
	if w.violation != nil {
		return w.violation
	}
	if len(w.history.confirmed) == known {
		return &Violation{Progress, "an order is not confirmed within two seconds after all trouble ended"}
	}
	return nil
}
