package modelcheck

import (
	"math/rand"
	"slices"
)

// Bounds limit a search. A bound of 0 means no limit, except for Depth.
type Bounds struct {
	Depth  int   // events of one run after the initial state; 0 means no events
	States int   // distinct states visited
	Seed   int64 // of depth-first and random runs
	// ProgressEvery is how many events there are between two checks of the recovery; 0 means
	// that it is not checked. Random runs check the recovery at their end instead.
	ProgressEvery int
	// Stop, if not nil, ends the search when it returns true.
	Stop func() bool
}

func (b Bounds) exceeded(states int) bool {
	return b.States > 0 && states >= b.States || b.Stop != nil && b.Stop()
}

// Coverage is the maximum of each figure over the states of a search. Low figures mean that the
// search exercised little.
type Coverage struct {
	Confirmed int    // confirmed documents
	Term      uint64 // highest term with a leader
	Wiped     int    // wiped identities
	Voters    int    // voters added after the bootstrap
}

// include updates the maxima with a state.
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

// Result is the outcome of a search.
type Result struct {
	States    int  // distinct states visited
	Events    int  // events applied
	Depth     int  // of the deepest state
	Complete  bool // all states within the depth were visited
	Coverage  Coverage
	Violation *Violation // nil if none was found
	Trace     Trace      // leads to the violation
}

// node is a state of a search and the path to it.
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

// search is the state that all kinds of search have in common.
type search struct {
	config  *Config
	bounds  Bounds
	visited map[uint64]int // minimum depth of each state, by fingerprint
	result  Result
}

func newSearch(c *Config, b Bounds) *search {
	return &search{config: c, bounds: b, visited: map[uint64]int{}}
}

// visit records a state; it returns false if the state was visited before at the same or a lower
// depth.
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

// child returns the state after an event, or nil if the event is not possible.
func (s *search) child(at *node, event Event) *node {
	world, ok := at.world.Apply(event)
	if !ok {
		return nil
	}
	s.result.Events++
	return &node{world: world, parent: at, event: event, depth: at.depth + 1}
}

// recordViolation records the violation of a state, if any, and reports whether there is one.
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

// BreadthFirst visits states in the order of their distance from the initial state, so that the
// first violation found has a shortest trace.
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
			next := s.child(at, event)
			if next == nil {
				continue
			}
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

// DepthFirst follows each run to its end before it backtracks; the seed determines the order of
// events.
func DepthFirst(c *Config, b Bounds) Result {
	s := newSearch(c, b)
	rng := rand.New(rand.NewSource(b.Seed))
	s.result.Complete = s.follow(&node{world: c.InitialWorld()}, rng)
	return s.result
}

// follow visits a state and, depth first, all states after it; it returns false to end the search.
func (s *search) follow(at *node, rng *rand.Rand) bool {
	if s.recordViolation(at) {
		return false
	}
	if !s.visit(at) || at.depth >= s.bounds.Depth {
		return true
	}
	events := at.world.EnabledEvents()
	rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
	for _, event := range events {
		if s.bounds.exceeded(s.result.States) {
			return false
		}
		next := s.child(at, event)
		if next != nil && !s.follow(next, rng) {
			return false
		}
	}
	return true
}

// maxRandomAttempts is how many consecutive random events may be impossible before a random run
// ends.
const maxRandomAttempts = 20

// RandomWalk makes runs of random events, each kind of event with the same probability, and checks
// the recovery at the end of each run. The trace of a violation is shrunk.
func RandomWalk(c *Config, b Bounds) Result {
	s := newSearch(c, b)
	s.bounds.ProgressEvery = 0
	rng := rand.New(rand.NewSource(b.Seed))
	initial := c.InitialWorld()
	for !b.exceeded(s.result.States) {
		at := &node{world: initial}
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

// randomChild returns the state after one random event, or nil if none was possible in
// maxRandomAttempts.
func (s *search) randomChild(at *node, rng *rand.Rand) *node {
	byKind := map[EventKind][]Event{}
	var kinds []EventKind
	for _, event := range at.world.EnabledEvents() {
		if byKind[event.Kind] == nil {
			kinds = append(kinds, event.Kind)
		}
		byKind[event.Kind] = append(byKind[event.Kind], event)
	}
	for attempt := 0; attempt < maxRandomAttempts && len(kinds) > 0; attempt++ {
		events := byKind[kinds[rng.Intn(len(kinds))]]
		event := events[rng.Intn(len(events))]
		if next := s.child(at, event); next != nil {
			return next
		}
	}
	return nil
}
