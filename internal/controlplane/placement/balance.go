package placement

import (
	"slices"
	"sort"

	"tuliprudder/internal/replication"
)

// urgentImbalance is the difference in primary counts from which a shard with open batches may
// change its primary. Below it such shards stay, because the new primary runs the items of open
// batches again.
const urgentImbalance = 6

// balance makes one move that evens out the load. A copy is moved first; once the new group is
// complete, the primary role can follow. Making one move at a time limits how much copying
// competes with live work.
func (p *planner) balance() {
	if p.cluster.Now < p.state.NextBalance || len(p.eligible) < 2 {
		return
	}
	p.state.NextBalance = p.cluster.Now + p.settings.BalanceInterval
	for _, id := range p.eligible {
		if p.cluster.Now-p.cluster.Stores[id].FirstHeardAt < p.settings.BalanceDelay {
			return
		}
	}
	for _, move := range []func() bool{p.spreadZones, p.promoteReplica, p.replicateToLeastLoaded, p.balanceReplicas} {
		if move() {
			return
		}
	}
}

// leastLoaded returns the eligible store with the lowest count.
func (p *planner) leastLoaded(counts map[string]int) string {
	lowest := p.eligible[0]
	for _, id := range p.eligible {
		if counts[id] < counts[lowest] {
			lowest = id
		}
	}
	return lowest
}

// overloaded returns the stores whose count exceeds that of the lowest by at least two, highest
// count first.
func (p *planner) overloaded(counts map[string]int, lowest string) []string {
	var out []string
	for _, id := range p.eligible {
		if counts[id] >= counts[lowest]+2 {
			out = append(out, id)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return counts[out[i]] > counts[out[j]] })
	return out
}

// move records a new assignment of a shard: with another member as primary, or with one replica
// replaced. The members of the current group stay trusted.
func (p *planner) move(shard int, members []replication.Member, reason string) {
	a := p.cluster.Shards[shard]
	next := replication.Assignment{
		Epoch:    a.Epoch + 1,
		Primary:  members[0],
		Replicas: slices.Clone(members[1:]),
		Trusted:  a.IDs(),
	}
	p.assignments[shard] = next
	p.events = append(p.events, ShardMoved{
		Shard:  shard,
		Epoch:  next.Epoch,
		Reason: reason,
		Group:  next.IDs(),
	})
}

// promoteReplica makes the store that is the primary of the fewest shards the primary of a shard
// of which it is a replica.
func (p *planner) promoteReplica() bool {
	lowest := p.leastLoaded(p.primaryCount)
	for _, highest := range p.overloaded(p.primaryCount, lowest) {
		urgent := p.primaryCount[highest]-p.primaryCount[lowest] >= urgentImbalance
		for shard, a := range p.cluster.Shards {
			at := indexOfReplica(a, lowest)
			if a.Primary.ID != highest || at < 0 {
				continue
			}
			if !urgent && slices.Contains(p.cluster.Stores[highest].Busy, shard) {
				continue
			}
			members := a.Members()
			members[0], members[at+1] = members[at+1], members[0]
			p.move(shard, members, "balancing: a replica becomes the primary")
			return true
		}
	}
	return false
}

// replicateToLeastLoaded replaces a replica of a shard with the store that is the primary of the
// fewest shards, so that promoteReplica can make it the primary later.
func (p *planner) replicateToLeastLoaded() bool {
	lowest := p.leastLoaded(p.primaryCount)
	for _, highest := range p.overloaded(p.primaryCount, lowest) {
		for shard, a := range p.cluster.Shards {
			if a.Primary.ID == highest && p.replaceReplica(shard, p.maxLoadReplica(a), lowest, "balancing: a copy moves to the store that is the primary of the fewest shards") {
				return true
			}
		}
	}
	return false
}

// balanceReplicas moves a replica from an overloaded store to the store with the fewest replicas.
func (p *planner) balanceReplicas() bool {
	lowest := p.leastLoaded(p.replicaCount)
	for _, highest := range p.overloaded(p.replicaCount, lowest) {
		for shard := range p.cluster.Shards {
			if p.replaceReplica(shard, highest, lowest, "balancing: a copy moves to the store with the fewest replicas") {
				return true
			}
		}
	}
	return false
}

// spreadZones moves a replica out of a zone that it shares with another member of its group.
func (p *planner) spreadZones() bool {
	for shard, a := range p.cluster.Shards {
		for _, replica := range a.Replicas {
			others := slices.DeleteFunc(a.IDs(), func(id string) bool { return id == replica.ID })
			replacement := p.replacementInOtherZone(a, replica, others)
			if replacement != "" && p.replaceReplica(shard, replica.ID, replacement, "two copies were in the same zone") {
				return true
			}
		}
	}
	return false
}

// replacementInOtherZone returns a store in an unused zone to replace a replica that shares its
// zone with another member of the group. It returns "" if the replica is alone in its zone or if
// there is no such store.
func (p *planner) replacementInOtherZone(a replication.Assignment, replica replication.Member, others []string) string {
	zones := p.cluster.ZoneCount(others)
	if zones < p.cluster.ZoneCount(a.IDs()) {
		return ""
	}
	replacement := p.chooseReplacement(others, []string{replica.ID})
	if replacement == "" || p.cluster.ZoneCount(append(others, replacement)) == zones {
		return ""
	}
	return replacement
}

// maxLoadReplica returns the replica of a group whose store holds the most replicas.
func (p *planner) maxLoadReplica(a replication.Assignment) string {
	highest := ""
	for _, replica := range a.Replicas {
		if highest == "" || p.replicaCount[replica.ID] > p.replicaCount[highest] {
			highest = replica.ID
		}
	}
	return highest
}

// replaceReplica replaces a replica with another store, unless the group would span fewer zones or
// the store recently lost contact with the primary. It reports whether it did so.
func (p *planner) replaceReplica(shard int, replaced, replacement, reason string) bool {
	a := p.cluster.Shards[shard]
	at := indexOfReplica(a, replaced)
	incarnation, live := p.cluster.incarnation(replacement)
	isCandidate := live && !slices.Contains(a.IDs(), replacement) && !p.recentlyPartitioned(replacement, a.Primary.ID)
	if at < 0 || !isCandidate {
		return false
	}
	members := a.Members()
	members[at+1] = replication.Member{ID: replacement, Incarnation: incarnation}
	ids := make([]string, 0, len(members))
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	if p.cluster.ZoneCount(ids) < p.cluster.ZoneCount(a.IDs()) {
		return false
	}
	p.move(shard, members, reason)
	return true
}

// indexOfReplica returns a store's index among the replicas of a group, or -1.
func indexOfReplica(a replication.Assignment, id string) int {
	return slices.IndexFunc(a.Replicas, func(m replication.Member) bool { return m.ID == id })
}
