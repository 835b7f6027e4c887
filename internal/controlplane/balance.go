package controlplane

import (
	"slices"
	"sort"

	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file moves shards towards even shares (DESIGN §5.4).

// urgentImbalance is how uneven the shares have to be for a shard to move whose batches are
// open: the new primary runs their items anew.
const urgentImbalance = 6

// balance moves one shard at a time: first its copy, then, once that is whole, its
// primary.
func (p *placement) balance() {
	s := p.core
	if p.now < s.next.balance || len(p.eligible) < 2 {
		return
	}
	s.next.balance = p.now + s.set.BalanceEvery
	for _, id := range p.eligible {
		if p.now-s.stores[id].firstHeardAt < s.set.BalanceAfter {
			return
		}
	}
	for _, step := range []func() bool{p.spreadZones, p.promoteReplica, p.copyToLeastLoaded, p.balanceCopies} {
		if step() {
			return
		}
	}
}

// leastLoaded is the store with the fewest, above are those with at least two more, most first.
func (p *placement) leastLoaded(counts map[string]int) string {
	lowest := p.eligible[0]
	for _, id := range p.eligible {
		if counts[id] < counts[lowest] {
			lowest = id
		}
	}
	return lowest
}

func (p *placement) overloaded(counts map[string]int, lowest string) []string {
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
func (p *placement) move(shard int, members []replication.Member, reason string) {
	a := p.core.state.Shards[shard]
	next := replication.Assignment{Epoch: a.Epoch + 1, Primary: members[0], Replicas: slices.Clone(members[1:]), Trusted: a.IDs()}
	p.assignments[shard] = next
	p.core.Emit(machine.LogEvent{Event: ShardMoved{Shard: shard, Epoch: next.Epoch, Reason: reason, Group: next.IDs()}})
}

// promoteReplica makes the store that leads fewest the primary of a shard that it replicates.
func (p *placement) promoteReplica() bool {
	lowest := p.leastLoaded(p.primaryCount)
	for _, highest := range p.overloaded(p.primaryCount, lowest) {
		for shard, a := range p.core.state.Shards {
			at := slices.IndexFunc(a.Replicas, func(m replication.Member) bool { return m.ID == lowest })
			if a.Primary.ID != highest || at < 0 {
				continue
			}
			if p.primaryCount[highest]-p.primaryCount[lowest] < urgentImbalance && slices.Contains(p.core.stores[highest].heartbeat.Busy, shard) {
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

// copyToLeastLoaded copies a shard to the store that leads fewest, in the place of a replica.
func (p *placement) copyToLeastLoaded() bool {
	lowest := p.leastLoaded(p.primaryCount)
	for _, highest := range p.overloaded(p.primaryCount, lowest) {
		for shard, a := range p.core.state.Shards {
			if a.Primary.ID == highest && p.replaceReplica(shard, a, p.mostLoadedReplica(a), lowest, "even shares: copied to the store that leads fewest") {
				return true
			}
		}
	}
	return false
}

// balanceCopies copies a shard to the store with the fewest copies.
func (p *placement) balanceCopies() bool {
	lowest := p.leastLoaded(p.replicaCount)
	for _, highest := range p.overloaded(p.replicaCount, lowest) {
		for shard, a := range p.core.state.Shards {
			if p.replaceReplica(shard, a, highest, lowest, "even shares of copies") {
				return true
			}
		}
	}
	return false
}

// spreadZones moves a replica out of a zone that another member of its group is in.
func (p *placement) spreadZones() bool {
	for shard, a := range p.core.state.Shards {
		for _, replica := range a.Replicas {
			others := slices.DeleteFunc(a.IDs(), func(id string) bool { return id == replica.ID })
			if p.zoneCount(others) < p.zoneCount(a.IDs()) {
				continue // it is alone in its zone
			}
			replacement := p.chooseReplacement(others, []string{replica.ID})
			if replacement == "" || p.zoneCount(append(others, replacement)) == p.zoneCount(others) {
				continue
			}
			if p.replaceReplica(shard, a, replica.ID, replacement, "two copies shared a zone") {
				return true
			}
		}
	}
	return false
}

// mostLoadedReplica is the replica of a group with the most copies.
func (p *placement) mostLoadedReplica(a replication.Assignment) string {
	limit := ""
	for _, replica := range a.Replicas {
		if limit == "" || p.replicaCount[replica.ID] > p.replicaCount[limit] {
			limit = replica.ID
		}
	}
	return limit
}

// replaceReplica puts a store in the place of a replica where the zones of the group
// allow it and the store is in the primary's reach.
func (p *placement) replaceReplica(shard int, a replication.Assignment, out, in, reason string) bool {
	at := slices.IndexFunc(a.Replicas, func(m replication.Member) bool { return m.ID == out })
	incarnation, living := p.core.storeIncarnation(in, p.now)
	if at < 0 || !living || slices.Contains(a.IDs(), in) || p.core.recentlyPartitioned(in, a.Primary.ID, p.now) {
		return false
	}
	members := a.Members()
	members[at+1] = replication.Member{ID: in, Incarnation: incarnation}
	ids := make([]string, 0, len(members))
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	if p.zoneCount(ids) < p.zoneCount(a.IDs()) {
		return false
	}
	p.move(shard, members, reason)
	return true
}
