package controlplane

import (
	"slices"
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file assigns shards to stores (DESIGN §5.4, §6.6).

// dependentShards counts the shards that still need a store.
func (s *Core) dependentShards(id string) int {
	count := 0
	for _, assignment := range s.state.Shards {
		if assignment.MustKeep(id) {
			count++
		}
	}
	return count
}

// hasHeardEnoughStores tells whether a new primary has heard enough to judge who lives: all the
// stores that count, or as long as it listens to the others (DESIGN §5.4).
func (s *Core) hasHeardEnoughStores(now clock.Micros) bool {
	if now-s.servingSince >= s.set.SettleDelay {
		return true
	}
	heard := 0
	for id, store := range s.state.Stores {
		if store.Evicted || store.Retired {
			continue
		}
		if s.stores[id].heardAt < s.servingSince {
			return false
		}
		heard++
	}
	return heard > 0
}

// reconcileShards works out the difference between the map and the stores that live.
func (s *Core) reconcileShards(now clock.Micros) {
	if !s.HoldsLease(now) || s.state.Fleet == "" || !s.hasHeardEnoughStores(now) || s.hasQueuedChange(assignsShards) {
		return
	}
	s.evictUnreachableStores(now)
	p := s.newPlacement(now)
	unhealthy := false
	for shard, assignment := range s.state.Shards {
		unhealthy = unhealthy || !assignment.Complete || len(assignment.Members()) < p.copies
		p.repair(shard, assignment)
	}
	if len(p.assignments) == 0 && !unhealthy {
		p.balance()
	}
	if len(p.assignments) > 0 {
		s.propose(change{entry: state.AssignShards{Shards: p.assignments}}, now)
		return
	}
	if unhealthy || s.inFlight != nil || len(s.queue) > 0 || !s.hasQuorumContact(now) {
		return // every group is whole before a store may go, and what was asked first counts
	}
	s.finishRetiring(now)
}

// finishRetiring writes down that nothing depends on a retiring store any more.
func (s *Core) finishRetiring(now clock.Micros) {
	for _, id := range sortedIDs(s.state.Stores) {
		if store := s.state.Stores[id]; store.Retiring && !store.Retired && s.dependentShards(id) == 0 {
			s.Emit(machine.LogEvent{Event: StoreRetired{Store: id}})
			s.propose(change{entry: state.Retire{ID: id, Done: true}}, now)
			return
		}
	}
}

// shardCopies is how many stores hold a shard: one more than may be lost at once.
func (s *Core) shardCopies() int { return s.set.Tolerance + 1 }

// minCopies is how few copies a shard may go on with while stores are missing. Two
// are the least where anything may be lost: what is lost already counts against the
// tolerance, but a store may be missing only for this core.
func (s *Core) minCopies() int { return min(2, s.shardCopies()) }

// shrinkDelay is how long a group that lacks a member waits for one before it goes on
// with fewer copies than it should have.
const shrinkDelay = 1500 * clock.Millisecond

// placement is one look at all shards and the changes that it leads to.
type placement struct {
	core         *Core
	now          clock.Micros
	copies       int
	eligible     []string
	primaryCount map[string]int // shards by their primary
	replicaCount map[string]int // shards by their replicas
	assignments  map[int]replication.Assignment
}

func (s *Core) newPlacement(now clock.Micros) *placement {
	p := &placement{core: s, now: now, copies: s.shardCopies(), eligible: s.eligibleStores(now),
		primaryCount: map[string]int{}, replicaCount: map[string]int{}, assignments: map[int]replication.Assignment{}}
	for _, assignment := range s.state.Shards {
		p.countAssignment(assignment)
	}
	return p
}

func (p *placement) countAssignment(assignment replication.Assignment) {
	if assignment.IsZero() {
		return
	}
	p.primaryCount[assignment.Primary.ID]++
	for _, replica := range assignment.Replicas {
		p.replicaCount[replica.ID]++
	}
}

// assign notes a new assignment of a shard.
func (p *placement) assign(shard int, next replication.Assignment, reason string) {
	p.assignments[shard] = next
	p.countAssignment(next)
	p.core.Emit(machine.LogEvent{Event: ShardAssigned{
		Shard:         shard,
		Epoch:         next.Epoch,
		Reason:        reason,
		Group:         next.IDs(),
		CopiesMissing: max(0, p.copies-len(next.Members())),
	}})
}

// repair gives a shard the assignment that it lacks, if any.
func (p *placement) repair(shard int, assignment replication.Assignment) {
	if assignment.IsZero() {
		if next, ok := p.assignFirst(); ok {
			p.assign(shard, next, "first assignment")
		}
		return
	}
	view := p.clusterView(assignment)
	if next, reason, ok := replication.Next(assignment, view); ok {
		p.assign(shard, next, reason)
		return
	}
	if next, reason, ok := p.moveOffDraining(assignment, view); ok {
		p.assign(shard, next, reason)
		return
	}
	if next, reason, ok := p.reconnect(shard, assignment, view); ok {
		p.assign(shard, next, reason)
	}
}

// clusterView is what the placement sees of the stores for one group.
func (p *placement) clusterView(assignment replication.Assignment) replication.ClusterView {
	return replication.ClusterView{
		Copies:            p.copies,
		Incarnation:       func(id string) (uint64, bool) { return p.core.storeIncarnation(id, p.now) },
		AllowsDegraded:    func(members []string) bool { return p.allowsDegraded(assignment, members) },
		ChooseReplacement: p.chooseReplacement,
	}
}

// allowsDegraded tells whether a group may go on with fewer copies than it should have.
func (p *placement) allowsDegraded(assignment replication.Assignment, members []string) bool {
	if len(members) < p.core.minCopies() || p.zoneCount(members) < min(p.core.set.ShardZones, p.core.minCopies()) {
		return false
	}
	return p.core.missingSince(assignment, p.now) >= shrinkDelay
}

// missingSince is how long every silent member of a group has been silent at least. One
// that is back in another life is no longer missing.
func (s *Core) missingSince(assignment replication.Assignment, now clock.Micros) clock.Micros {
	missing := now - s.servingSince
	for _, member := range assignment.Members() {
		if _, living := s.storeIncarnation(member.ID, now); !living {
			missing = min(missing, now-s.stores[member.ID].heardAt)
		}
	}
	return missing
}

func (p *placement) zone(id string) string { return p.core.state.Stores[id].Zone }

// zoneCount counts the zones that stores are in.
func (p *placement) zoneCount(ids []string) int {
	zones := map[string]bool{}
	for _, id := range ids {
		zones[p.zone(id)] = true
	}
	return len(zones)
}

// chooseReplacement picks a further member for a group: a store in a zone of its own if there is
// one, else in any zone where the group is in enough of them; the one with the fewest
// copies among these. One that was out of a member's reach of late is better than none.
func (p *placement) chooseReplacement(members, excluded []string) string {
	best, bestCost := "", [3]int{}
	for _, id := range p.eligible {
		if slices.Contains(members, id) || slices.Contains(excluded, id) {
			continue
		}
		shared := slices.ContainsFunc(members, func(other string) bool { return p.zone(other) == p.zone(id) })
		if shared && !p.mayShareZone(members) {
			continue
		}
		partitioned := slices.ContainsFunc(members, func(other string) bool { return p.core.recentlyPartitioned(other, id, p.now) })
		cost := [3]int{boolToInt(partitioned), boolToInt(shared), p.replicaCount[id]}
		if best == "" || slices.Compare(cost[:], bestCost[:]) < 0 {
			best, bestCost = id, cost
		}
	}
	return best
}

// mayShareZone tells whether a further member may be in the zone of another one: the copies
// that are still to come suffice for the zones that the group has to be in.
func (p *placement) mayShareZone(members []string) bool {
	remaining := p.copies - len(members) - 1
	return p.zoneCount(members)+remaining >= min(p.core.set.ShardZones, p.copies)
}

func boolToInt(granted bool) int {
	if granted {
		return 1
	}
	return 0
}

// moveOffDraining moves a shard off a store that is retiring, draining or stalled. The store
// counts as a holder until the new group is complete without it.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (p *placement) moveOffDraining(a replication.Assignment, view replication.ClusterView) (replication.Assignment, string, bool) {
	if !a.Complete {
		return a, "", false
	}
	var going []string
	draining := false
	for _, id := range a.IDs() {
		if p.core.isStoreDraining(id, p.now) {
			going = append(going, id)
			draining = draining || id != a.Primary.ID && p.core.stores[id].heartbeat.Draining
		}
	}
	primary, reason := a.Primary.ID, "a replica's store is going"
	if slices.Contains(going, primary) {
		primary, reason = "", "the primary's store is going"
		for _, replica := range a.Replicas {
			if !slices.Contains(going, replica.ID) {
				primary = replica.ID
				break
			}
		}
	}
	if len(going) == 0 || primary == "" || primary == a.Primary.ID && draining {
		return a, "", false // a replica that drains is replaced once it is gone
	}
	next, ok := replication.Reassign(a, view, primary, going)
	if ok && len(next.Members()) < len(a.Members()) && !p.mayShrink(going) {
		return a, "", false
	}
	return next, reason, ok
}

// mayShrink tells whether a group may lose members that are about to go without others
// in their place: only for those that are gone anyway.
func (p *placement) mayShrink(draining []string) bool {
	return !slices.ContainsFunc(draining, func(id string) bool { return p.core.state.Stores[id].Retiring })
}

// reconnect finds other replicas for a primary that some do not answer, though all
// live, or whose disk holds writes back. A primary that is alone again before its group
// was ever complete gives way to another trusted store: it may be the one that nobody
// hears.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (p *placement) reconnect(shard int, a replication.Assignment, view replication.ClusterView) (replication.Assignment, string, bool) {
	unreachable := p.unreachableReplicas(shard, a)
	primaryGoing := !a.Complete && p.core.isStoreDraining(a.Primary.ID, p.now)
	excluded := slices.Clone(unreachable)
	if !a.Complete {
		for _, replica := range a.Replicas {
			if p.core.isStoreDraining(replica.ID, p.now) {
				excluded = append(excluded, replica.ID)
			}
		}
	}
	if len(excluded) == 0 && !primaryGoing {
		return a, "", false
	}
	for _, id := range unreachable {
		p.core.partitionedUntil[orderedPair(a.Primary.ID, id)] = p.now + p.core.set.PartitionMemory
	}
	primary := a.Primary.ID
	if !a.Complete && (primaryGoing || len(unreachable) > 0) {
		for _, id := range a.Trusted {
			if _, ok := p.core.storeIncarnation(id, p.now); ok && id != a.Primary.ID && !p.core.isStoreDraining(id, p.now) {
				primary, excluded = id, []string{a.Primary.ID}
				break
			}
		}
	}
	const reason = "members of the group do not reach each other"
	if next, ok := replication.Reassign(a, view, primary, excluded); ok || !a.Complete {
		return next, reason, ok
	}
	for _, replica := range a.Replicas {
		if next, ok := replication.Reassign(a, view, replica.ID, []string{a.Primary.ID}); ok {
			return next, reason, true
		}
	}
	return a, "", false
}

// unreachableReplicas are the replicas that the primary of a shard says don't answer it.
func (p *placement) unreachableReplicas(shard int, a replication.Assignment) []string {
	report, ok := p.core.stores[a.Primary.ID].heartbeat.Unreachable[shard]
	if !ok || report.Epoch != a.Epoch {
		return nil
	}
	var out []string
	for _, replica := range a.Replicas {
		if slices.Contains(report.Peers, p.core.state.Stores[replica.ID].Peer) {
			out = append(out, replica.ID)
		}
	}
	return out
}

func orderedPair(one, other string) [2]string {
	if one > other {
		one, other = other, one
	}
	return [2]string{one, other}
}

// recentlyPartitioned tells whether two stores were out of each other's reach of late.
func (s *Core) recentlyPartitioned(one, other string, now clock.Micros) bool {
	return now < s.partitionedUntil[orderedPair(one, other)]
}

// isStoreDraining tells whether a store is on its way out.
func (s *Core) isStoreDraining(id string, _ clock.Micros) bool {
	return s.state.Stores[id].Retiring || s.stores[id].heartbeat.Draining || s.stores[id].heartbeat.Stalled
}

// eligibleStores lists the living stores that take shards.
func (s *Core) eligibleStores(now clock.Micros) []string {
	var out []string
	for _, id := range sortedIDs(s.state.Stores) {
		if _, ok := s.storeIncarnation(id, now); ok && !s.isStoreDraining(id, now) {
			out = append(out, id)
		}
	}
	return out
}

// firstAssignmentDelay is how long every store has to be there before shards are assigned for the
// first time: the load is spread over all that came in time.
const firstAssignmentDelay = 700 * clock.Millisecond

// firstAssignmentTimeout is how long a primary waits at the first assignment for as many stores
// as there should be copies.
const firstAssignmentTimeout = 4 * clock.Second

// assignFirst assigns a shard for the first time.
func (p *placement) assignFirst() (replication.Assignment, bool) {
	for _, id := range p.eligible {
		if p.now-p.core.stores[id].firstHeardAt < firstAssignmentDelay {
			return replication.Assignment{}, false
		}
	}
	byLoad := slices.Clone(p.eligible)
	sort.SliceStable(byLoad, func(i, j int) bool { return p.primaryCount[byLoad[i]] < p.primaryCount[byLoad[j]] })
	for _, primary := range byLoad {
		blank := replication.Assignment{Trusted: []string{primary}}
		next, ok := replication.Reassign(blank, p.clusterView(blank), primary, nil)
		if ok && (len(next.Members()) == p.copies || p.now-p.core.servingSince > firstAssignmentTimeout) {
			next.Trusted = next.IDs()
			return next, true
		}
	}
	return replication.Assignment{}, false
}
