// Package placement decides which stores hold which shard (DESIGN §5.4, §6.6, §8.4).
//
// Decide is a pure function: a ClusterView and the memory of earlier calls go in, new
// assignments and the reasons for them come out. It keeps no state, reads no clock and
// has no side effect, so any goroutine may call it. The caller, the primary core, replicates
// the assignments and calls Decide again when something changed.
//
// Two rules hold for every assignment that Decide returns:
//   - Its primary is a store that holds all that was ever confirmed (replication.Assignment,
//     Trusted), or the shard was never assigned before.
//   - It has MinReplicas members at least, in as many of the required zones as these allow: where
//     losses are tolerated, one copy may be lost without losing what was confirmed.
package placement

import (
	"maps"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

const (
	// shrinkDelay is how long a group that lacks a member waits for one until it goes on
	// with fewer copies than it should have.
	shrinkDelay = 1500 * clock.Millisecond
	// firstAssignmentDelay is how long every store has to be heard until shards are assigned
	// for the first time: the load is spread over all stores that start together.
	firstAssignmentDelay = 700 * clock.Millisecond
	// firstAssignmentTimeout is how long a primary waits at the first assignment for as many
	// stores as there should be copies.
	firstAssignmentTimeout = 4 * clock.Second
)

// Settings of the placement.
type Settings struct {
	Tolerance         int          // machines with a disk that may be lost at once
	Zones             int          // zones that the copies of a shard have to be in
	PartitionCooldown clock.Micros // for how long two stores that lost contact share no group
	BalanceInterval   clock.Micros // between two moves towards even shares
	BalanceDelay      clock.Micros // for how long a store is heard until shards move to it
}

// GroupSize is how many stores hold a shard: one more than may be lost at once.
func (s Settings) GroupSize() int { return s.Tolerance + 1 }

// MinGroupSize is how few copies a shard may go on with while stores are missing. Two
// are the least where anything may be lost: what is lost already counts against the
// tolerance, but a store may be missing only for this core.
func (s Settings) MinGroupSize() int { return min(2, s.GroupSize()) }

// requiredZonesFor is how many zones a number of copies has to be in.
func (s Settings) requiredZonesFor(replicas int) int { return min(s.Zones, replicas) }

// RequiredZones is how many zones the stores of a complete group are in.
func (s Settings) RequiredZones() int { return s.requiredZonesFor(s.GroupSize()) }

// StorePair is two stores, the lower id first.
type StorePair [2]string

// PairOf is the pair of two stores in any order.
func PairOf(one, other string) StorePair {
	if one > other {
		one, other = other, one
	}
	return StorePair{one, other}
}

// PlannerState is what the decisions of one call are to the next ones.
type PlannerState struct {
	// PartitionedUntil is when two stores that lost contact may be in one group again.
	PartitionedUntil map[StorePair]clock.Micros
	// NextBalance is when the next move towards even shares is due.
	NextBalance clock.Micros
}

// Decision is what should change.
type Decision struct {
	// Assignments are the new assignments by shard.
	Assignments map[int]replication.Assignment
	// Events tell the reasons, in the order of the decisions.
	Events []machine.Event
	// AllComplete tells that every shard had a complete group with all its copies before.
	AllComplete bool
	// NextState is what the next call has to be given.
	NextState PlannerState
}

// planner is one call of Decide.
type planner struct {
	settings     Settings
	cluster      ClusterView
	state        PlannerState
	eligible     []string       // stores that take shards, in the order of their ids
	primaryCount map[string]int // shards by their primary
	replicaCount map[string]int // shards by their replicas
	assignments  map[int]replication.Assignment
	events       []machine.Event
}

// Decide works out which shards need another assignment. Repairs come first; shards move
// towards even shares only while every group is complete.
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

// countMembers adds the members of an assignment to the stores' loads.
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

// recentlyPartitioned tells whether two stores lost contact lately.
func (p *planner) recentlyPartitioned(one, other string) bool {
	return p.cluster.Now < p.state.PartitionedUntil[PairOf(one, other)]
}
