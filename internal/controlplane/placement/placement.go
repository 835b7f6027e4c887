// Package placement decides which stores hold which shard (DESIGN §5.4, §6.6, §8.4).
//
// Decide is a pure function: it takes a ClusterView and the state returned by the previous call,
// and returns new assignments and the reasons for them. It keeps no state, reads no clock and
// has no side effects, so any goroutine may call it. The caller, the primary core, replicates
// the assignments and calls Decide again when something has changed.
//
// Two invariants hold for every assignment that Decide returns:
//   - Its primary is a store that has every confirmed entry (replication.Assignment, Trusted), or
//     the shard has never been assigned before.
//   - It has at least MinGroupSize members, in as many of the required zones as that number
//     allows: if the settings tolerate losses, one copy can be lost without losing confirmed data.
package placement

import (
	"maps"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

const (
	// shrinkDelay is how long the members of a group must have been missing before the group
	// continues with fewer copies than configured.
	shrinkDelay = 1500 * clock.Millisecond
	// firstAssignmentDelay is how long every eligible store must have been sending heartbeats
	// before shards are assigned for the first time, so that the load is spread over all stores
	// that start together.
	firstAssignmentDelay = 700 * clock.Millisecond
	// firstAssignmentTimeout is how long a primary core waits for enough stores for a full group
	// before it makes a first assignment with fewer copies.
	firstAssignmentTimeout = 4 * clock.Second
)

// Settings are the parameters of the placement.
type Settings struct {
	Tolerance         int          // machines with a disk that may be lost at the same time
	Zones             int          // zones over which the copies of a shard must be spread
	PartitionCooldown clock.Micros // how long two stores that lost contact are kept out of one group
	BalanceInterval   clock.Micros // between two balancing moves
	BalanceDelay      clock.Micros // how long every eligible store must have been heard before balancing
}

// GroupSize returns how many stores hold a shard: one more than may be lost at the same time.
func (s Settings) GroupSize() int { return s.Tolerance + 1 }

// MinGroupSize returns the smallest number of copies with which a shard may continue while stores
// are missing. If any loss is tolerated it is two: lost stores already count against the
// tolerance, but a store may appear missing to this core only.
func (s Settings) MinGroupSize() int { return min(2, s.GroupSize()) }

// requiredZonesFor returns how many zones the given number of copies must be spread over.
func (s Settings) requiredZonesFor(replicas int) int { return min(s.Zones, replicas) }

// RequiredZones returns how many zones the stores of a full group must be spread over.
func (s Settings) RequiredZones() int { return s.requiredZonesFor(s.GroupSize()) }

// StorePair is an unordered pair of store ids, stored with the lower id first.
type StorePair [2]string

// PairOf returns the pair of two stores, given in any order.
func PairOf(one, other string) StorePair {
	if one > other {
		one, other = other, one
	}
	return StorePair{one, other}
}

// PlannerState is the state that is carried over from one call to Decide to the next.
type PlannerState struct {
	// PartitionedUntil is the time until which two stores that lost contact are kept out of one
	// group.
	PartitionedUntil map[StorePair]clock.Micros
	// NextBalance is when the next balancing move is due.
	NextBalance clock.Micros
}

// Decision is the result of Decide.
type Decision struct {
	// Assignments holds the new assignments by shard.
	Assignments map[int]replication.Assignment
	// Events records the reasons for the log, in the order of the decisions.
	Events []machine.Event
	// AllComplete reports whether every shard already had a complete group of full size before
	// this call.
	AllComplete bool
	// NextState must be passed to the next call.
	NextState PlannerState
}

// planner holds the working state of one call to Decide.
type planner struct {
	settings     Settings
	cluster      ClusterView
	state        PlannerState
	eligible     []string       // stores that can take shards, sorted by id
	primaryCount map[string]int // number of shards of which a store is the primary
	replicaCount map[string]int // number of shards of which a store is a replica
	assignments  map[int]replication.Assignment
	events       []machine.Event
}

// Decide returns new assignments for the shards that need one. Repairs take precedence: balancing
// moves are made only while every group is complete.
func Decide(settings Settings, cluster ClusterView, previous PlannerState) Decision {
	p := newPlanner(settings, cluster, previous)
	complete := true
	for shard, assignment := range cluster.Shards {
		complete = complete && assignment.Complete && len(assignment.Members()) >= settings.GroupSize()
		p.repair(shard, assignment)
	}
	if len(p.assignments) == 0 && complete {
		p.balance()
	}
	return Decision{
		Assignments: p.assignments,
		Events:      p.events,
		AllComplete: complete,
		NextState:   p.state,
	}
}

func newPlanner(settings Settings, cluster ClusterView, previous PlannerState) *planner {
	p := &planner{
		settings: settings,
		cluster:  cluster,
		state: PlannerState{
			PartitionedUntil: maps.Clone(previous.PartitionedUntil),
			NextBalance:      previous.NextBalance,
		},
		eligible:     cluster.Eligible(),
		primaryCount: map[string]int{},
		replicaCount: map[string]int{},
		assignments:  map[int]replication.Assignment{},
	}
	if p.state.PartitionedUntil == nil {
		p.state.PartitionedUntil = map[StorePair]clock.Micros{}
	}
	for _, assignment := range cluster.Shards {
		p.countMembers(assignment)
	}
	return p
}

// countMembers adds the members of an assignment to the per-store counts.
func (p *planner) countMembers(assignment replication.Assignment) {
	if assignment.IsZero() {
		return
	}
	p.primaryCount[assignment.Primary.ID]++
	for _, replica := range assignment.Replicas {
		p.replicaCount[replica.ID]++
	}
}

// assign records a new assignment of a shard.
func (p *planner) assign(shard int, next replication.Assignment, reason string) {
	p.assignments[shard] = next
	p.countMembers(next)
	p.events = append(p.events, ShardAssigned{
		Shard:           shard,
		Epoch:           next.Epoch,
		Reason:          reason,
		Group:           next.IDs(),
		ReplicasMissing: max(0, p.settings.GroupSize()-len(next.Members())),
	})
}

// recentlyPartitioned reports whether two stores lost contact within PartitionCooldown.
func (p *planner) recentlyPartitioned(one, other string) bool {
	return p.cluster.Now < p.state.PartitionedUntil[PairOf(one, other)]
}
