package modelcheck

import (
	"math/rand"
	"testing"
)

// randomRun makes a random run and calls visit for each state after the initial one.
func randomRun(c *Config, seed int64, depth int, visit func(at *node)) {
	s, rng := newSearch(c, Bounds{}), rand.New(rand.NewSource(seed))
	at := &node{world: c.InitialWorld()}
	for at.depth < depth && at.world.violation == nil {
		next := s.randomChild(at, rng)
		if next == nil {
			return
		}
		at = next
		visit(at)
	}
}

// Bounded, seeded searches, a part of what cmd/controlcheck explores, find no violation.
func TestBoundedSearchesFindNoViolation(t *testing.T) {
	searches := []struct {
		name   string
		search func(*Config, Bounds) Result
		config Config
		bounds Bounds
	}{
		{"1 voter, breadth first", BreadthFirst, Config{Voters: 1}, Bounds{Depth: 4, States: 2_000, ProgressEvery: 50}},
		{"1 empty voter, breadth first", BreadthFirst, Config{Voters: 1, StartEmpty: true, FineGrained: true}, Bounds{Depth: 6, States: 1_000, ProgressEvery: 50}},
		{"3 voters, breadth first", BreadthFirst, Config{Voters: 3}, Bounds{Depth: 3, States: 5_000, ProgressEvery: 200}},
		{"3 voters, depth first", DepthFirst, Config{Voters: 3, FineGrained: true}, Bounds{Depth: 14, States: 3_000, Seed: 1, ProgressEvery: 200}},
		{"3 voters, random", RandomWalk, Config{Voters: 3}, Bounds{Depth: 40, States: 6_000, Seed: 1}},
		{"3 voters, fine, random", RandomWalk, Config{Voters: 3, FineGrained: true}, Bounds{Depth: 60, States: 6_000, Seed: 1}},
		{"3 voters and a spare, random", RandomWalk, Config{Voters: 3, Spares: 1, FineGrained: true}, Bounds{Depth: 50, States: 4_000, Seed: 1}},
		{"3 empty voters, fine, random", RandomWalk, Config{Voters: 3, StartEmpty: true, FineGrained: true}, Bounds{Depth: 50, States: 4_000, Seed: 1}},
		{"5 voters in 3 zones, random", RandomWalk, Config{Voters: 5, Zones: 3}, Bounds{Depth: 30, States: 1_000, Seed: 2}},
		{"5 voters, breadth first", BreadthFirst, Config{Voters: 5}, Bounds{Depth: 2, States: 3_000, ProgressEvery: 200}},
		{"5 voters, random", RandomWalk, Config{Voters: 5}, Bounds{Depth: 40, States: 1_000, Seed: 1}},
		{"5 voters, fine, random", RandomWalk, Config{Voters: 5, FineGrained: true}, Bounds{Depth: 60, States: 3_000, Seed: 1}},
		{"7 voters, random", RandomWalk, Config{Voters: 7}, Bounds{Depth: 20, States: 1_000, Seed: 1}},
	}
	for _, s := range searches {
		t.Run(s.name, func(t *testing.T) {
			c := s.config
			c.MaxLosses, c.Limits = -1, DefaultLimits()
			result := s.search(&c, s.bounds)
			t.Logf("%d states, %d events, depth %d, coverage %+v", result.States, result.Events, result.Depth, result.Coverage)
			if result.Violation != nil {
				t.Errorf("%v\n# trace of %d events that leads to the violation\n%s", result.Violation, len(result.Trace), result.Trace)
			}
		})
	}
}
