package placement

import (
	"slices"
	"sort"

	"tuliprudder/internal/replication"
)

// urgentImbalance is how uneven the shares have to be for a shard to move whose batches are
// open: the new primary runs their items anew.
const urgentImbalance = 6

// balance moves one shard towards even shares: first a copy, then, once that is complete,
// the primary's role. One move at a time bounds the copying that live work has to bear.
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

// leastLoaded is the store with the lowest count.
func (p *planner) leastLoaded(counts map[string]int) string {
	lowest := p.eligible[0]
	for _, id := range p.eligible {
		if counts[id] < counts[lowest] {
			lowest = id
		}
	}
	return lowest
}

// overloaded are the stores with at least two more than the lowest, the highest count first.
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

// move gives a shard another primary of the group, or another replica in the place of one.
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

// promoteReplica makes the store with the fewest shards as primary the primary of one that it
// replicates.
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
			p.move(shard, members, "even shares: its replica leads it now")
			return true
		}
	}
	return false
}

// replicateToLeastLoaded copies a shard to the store with the fewest shards as primary, in the
// place of a replica.
func (p *planner) replicateToLeastLoaded() bool {
	lowest := p.leastLoaded(p.primaryCount)
	for _, highest := range p.overloaded(p.primaryCount, lowest) {
		for shard, a := range p.cluster.Shards {
			if a.Primary.ID == highest && p.replaceReplica(shard, p.maxLoadReplica(a), lowest, "even shares: copied to the store that leads fewest") {
				return true
			}
		}
	}
	return false
}

// balanceReplicas copies a shard to the store with the fewest copies.
func (p *planner) balanceReplicas() bool {
	lowest := p.leastLoaded(p.replicaCount)
	for _, highest := range p.overloaded(p.replicaCount, lowest) {
		for shard := range p.cluster.Shards {
			if p.replaceReplica(shard, highest, lowest, "even shares of copies") {
				return true
			}
		}
	}
	return false
}

// spreadZones moves a replica out of a zone that another member of its group is in.
func (p *planner) spreadZones() bool {
	for shard, a := range p.cluster.Shards {
		for _, replica := range a.Replicas {
			others := slices.DeleteFunc(a.IDs(), func(id string) bool { return id == replica.ID })
			replacement := p.replacementInOtherZone(a, replica, others)
			if replacement != "" && p.replaceReplica(shard, replica.ID, replacement, "two copies shared a zone") {
				return true
			}
		}
	}
	return false
}

// replacementInOtherZone is a store in a zone of its own for a replica that shares one with
// the others of its group; "" when the replica is alone in its zone or no such store is there.
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

// maxLoadReplica is the replica of a group with the most copies.
func (p *planner) maxLoadReplica(a replication.Assignment) string {
	highest := ""
	for _, replica := range a.Replicas {
		if highest == "" || p.replicaCount[replica.ID] > p.replicaCount[highest] {
			highest = replica.ID
		}
	}
	return highest
}

// replaceReplica puts a store in the place of a replica where the zones of the group
// allow it and the store did not lose contact with the primary lately.
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

// indexOfReplica is a store's index among the replicas of a group; -1 where it is none.
func indexOfReplica(a replication.Assignment, id string) int {
	return slices.IndexFunc(a.Replicas, func(m replication.Member) bool { return m.ID == id })
}
