package placement

import (
	"slices"
	"sort"

	"tuliprudder/internal/replication"
)

// repair assigns a shard anew if that is needed. Replacing a lost member takes precedence, because
// only a lost member puts confirmed data at risk.
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
		p.assign(shard, next, "members of the group cannot reach each other")
	}
}

// clusterOfGroup returns the view of the stores that the replication package needs to assign one
// group.
func (p *planner) clusterOfGroup(assignment replication.Assignment) replication.ClusterView {
	return replication.ClusterView{
		GroupSize:         p.settings.GroupSize(),
		Incarnation:       p.cluster.incarnation,
		AllowsDegraded:    func(members []string) bool { return p.allowsDegraded(assignment, members) },
		ChooseReplacement: p.chooseReplacement,
	}
}

// allowsDegraded reports whether a group may continue with fewer copies than configured.
func (p *planner) allowsDegraded(assignment replication.Assignment, members []string) bool {
	fewest := p.settings.MinGroupSize()
	if len(members) < fewest || p.cluster.ZoneCount(members) < p.settings.requiredZonesFor(fewest) {
		return false
	}
	return p.cluster.missingFor(assignment) >= shrinkDelay
}

// replacementCost ranks the candidates for joining a group. The fields are compared in order, and
// the lower value is better.
type replacementCost struct {
	partitioned int // 1 if it recently lost contact with a member, else 0
	sharedZone  int // 1 if it is in the zone of a member, else 0
	replicas    int // number of shards of which it is a replica
}

func (c replacementCost) less(other replacementCost) bool {
	one := []int{c.partitioned, c.sharedZone, c.replicas}
	return slices.Compare(one, []int{other.partitioned, other.sharedZone, other.replicas}) < 0
}

// chooseReplacement returns an additional member for a group, or "". A store in a zone of an
// existing member is a candidate only if the group can still reach the required number of zones.
// The candidate with the lowest replacementCost is chosen; one that recently lost contact with a
// member is better than none.
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

// sharesZone reports whether a store is in the zone of one of the members.
func (p *planner) sharesZone(members []string, id string) bool {
	zone := p.cluster.Stores[id].Zone
	return slices.ContainsFunc(members, func(other string) bool { return p.cluster.Stores[other].Zone == zone })
}

// mayShareZone reports whether the next member may be in the zone of an existing one, that is,
// whether the members that are still to be added after it suffice to reach the required number of
// zones.
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

// assignFirst returns the first assignment of a shard, with the store that is the primary of the
// fewest shards as primary.
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
