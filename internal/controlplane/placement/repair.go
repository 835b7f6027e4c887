package placement

import (
	"slices"
	"sort"

	"tuliprudder/internal/replication"
)

// repair gives a shard the assignment that it lacks, if any. A lost member is replaced
// first, as only that puts confirmed data at risk.
func (p *planner) repair(shard int, assignment replication.Assignment) {
	if assignment.IsZero() {
		if next, ok := p.assignFirst(); ok {
			p.assign(shard, next, "first assignment")
		}
		return
	}
	if next, reason, ok := replication.Next(assignment, p.clusterOfGroup(assignment)); ok {
		p.assign(shard, next, reason)
		return
	}
	if next, reason, ok := p.evacuate(assignment); ok {
		p.assign(shard, next, reason)
		return
	}
	if next, ok := p.replaceUnreachable(shard, assignment); ok {
		p.assign(shard, next, "members of the group do not reach each other")
	}
}

// clusterOfGroup is what the replication package has to know of the stores for one group.
func (p *planner) clusterOfGroup(assignment replication.Assignment) replication.ClusterView {
	return replication.ClusterView{
		GroupSize:         p.settings.GroupSize(),
		Incarnation:       p.cluster.incarnation,
		AllowsDegraded:    func(members []string) bool { return p.allowsDegraded(assignment, members) },
		ChooseReplacement: p.chooseReplacement,
	}
}

// allowsDegraded tells whether a group may go on with fewer copies than it should have.
func (p *planner) allowsDegraded(assignment replication.Assignment, members []string) bool {
	fewest := p.settings.MinGroupSize()
	if len(members) < fewest || p.cluster.ZoneCount(members) < p.settings.requiredZonesFor(fewest) {
		return false
	}
	return p.cluster.missingFor(assignment) >= shrinkDelay
}

// replacementCost compares the stores that could join a group; the first number that
// differs decides, and the lower one is better.
type replacementCost struct {
	partitioned int // 1: it lost contact with a member lately
	sharedZone  int // 1: it is in the zone of a member
	replicas    int // shards that it replicates
}

func (c replacementCost) less(other replacementCost) bool {
	one := []int{c.partitioned, c.sharedZone, c.replicas}
	return slices.Compare(one, []int{other.partitioned, other.sharedZone, other.replicas}) < 0
}

// chooseReplacement picks a further member for a group: a store in a zone of its own if there is
// one, else in any zone where the group is in enough of them; the one with the fewest
// copies among these. One that lost contact with a member lately is better than none.
func (p *planner) chooseReplacement(members, excluded []string) string {
	best, bestCost := "", replacementCost{}
	for _, id := range p.eligible {
		if slices.Contains(members, id) || slices.Contains(excluded, id) {
			continue
		}
		shared := p.sharesZone(members, id)
		if shared && !p.mayShareZone(members) {
			continue
		}
		partitioned := slices.ContainsFunc(members, func(other string) bool { return p.recentlyPartitioned(other, id) })
		cost := replacementCost{
			partitioned: boolToInt(partitioned),
			sharedZone:  boolToInt(shared),
			replicas:    p.replicaCount[id],
		}
		if best == "" || cost.less(bestCost) {
			best, bestCost = id, cost
		}
	}
	return best
}

// sharesZone tells whether a store is in the zone of one of the members.
func (p *planner) sharesZone(members []string, id string) bool {
	zone := p.cluster.Stores[id].Zone
	return slices.ContainsFunc(members, func(other string) bool { return p.cluster.Stores[other].Zone == zone })
}

// mayShareZone tells whether a further member may be in the zone of another one: the copies
// that are still to come suffice for the zones that the group has to be in.
func (p *planner) mayShareZone(members []string) bool {
	remaining := p.settings.GroupSize() - len(members) - 1
	return p.cluster.ZoneCount(members)+remaining >= p.settings.RequiredZones()
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// assignFirst assigns a shard for the first time, to the store that is the primary of the fewest.
func (p *planner) assignFirst() (replication.Assignment, bool) {
	for _, id := range p.eligible {
		if p.cluster.Now-p.cluster.Stores[id].FirstHeardAt < firstAssignmentDelay {
			return replication.Assignment{}, false
		}
	}
	byLoad := slices.Clone(p.eligible)
	sort.SliceStable(byLoad, func(i, j int) bool { return p.primaryCount[byLoad[i]] < p.primaryCount[byLoad[j]] })
	timedOut := p.cluster.Now-p.cluster.ServingSince > firstAssignmentTimeout
	for _, primary := range byLoad {
		unassigned := replication.Assignment{Trusted: []string{primary}}
		next, ok := replication.Reassign(unassigned, p.clusterOfGroup(unassigned), primary, nil)
		if ok && (len(next.Members()) == p.settings.GroupSize() || timedOut) {
			next.Trusted = next.IDs()
			return next, true
		}
	}
	return replication.Assignment{}, false
}
