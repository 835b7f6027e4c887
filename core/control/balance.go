package control

import (
	"slices"
	"sort"

	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// This file moves shards towards even shares (DESIGN §5.4).

// pressing is how uneven the shares have to be for a shard to move whose batches are
// open: the new primary runs their items anew.
const pressing = 6

// balance moves one shard at a time: first its copy, then, once that is whole, its
// primary.
func (p *placement) balance() {
	s := p.core
	if p.now < s.next.balance || len(p.willing) < 2 {
		return
	}
	s.next.balance = p.now + s.set.BalanceEvery
	for _, id := range p.willing {
		if p.now-s.stores[id].first < s.set.BalanceAfter {
			return
		}
	}
	for _, step := range []func() bool{p.spreadZones, p.handOver, p.copyToLeast, p.evenCopies} {
		if step() {
			return
		}
	}
}

// least is the store with the fewest, above are those with at least two more, most first.
func (p *placement) least(counts map[string]int) string {
	low := p.willing[0]
	for _, id := range p.willing {
		if counts[id] < counts[low] {
			low = id
		}
	}
	return low
}

func (p *placement) above(counts map[string]int, low string) []string {
	var out []string
	for _, id := range p.willing {
		if counts[id] >= counts[low]+2 {
			out = append(out, id)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return counts[out[i]] > counts[out[j]] })
	return out
}

// move gives a shard another primary of the group, or another replica in the place of one.
func (p *placement) move(shard int, members []replication.Member, reason string) {
	a := p.core.state.Slots[shard]
	next := replication.Assignment{Epoch: a.Epoch + 1, Primary: members[0], Replicas: slices.Clone(members[1:]), Trusted: a.IDs()}
	p.changed[shard] = next
	p.core.Emit(machine.Explain{What: "shard moved", Fields: map[string]any{"shard": shard, "reason": reason, "epoch": next.Epoch, "group": next.IDs()}})
}

// handOver makes the store that leads fewest the primary of a shard that it replicates.
func (p *placement) handOver() bool {
	low := p.least(p.leads)
	for _, high := range p.above(p.leads, low) {
		for shard, a := range p.core.state.Slots {
			at := slices.IndexFunc(a.Replicas, func(m replication.Member) bool { return m.ID == low })
			if a.Primary.ID != high || at < 0 {
				continue
			}
			if p.leads[high]-p.leads[low] < pressing && slices.Contains(p.core.stores[high].beat.Busy, shard) {
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

// copyToLeast copies a shard to the store that leads fewest, in the place of a replica.
func (p *placement) copyToLeast() bool {
	low := p.least(p.leads)
	for _, high := range p.above(p.leads, low) {
		for shard, a := range p.core.state.Slots {
			if a.Primary.ID == high && p.replaceReplica(shard, a, p.mostBacked(a), low, "even shares: copied to the store that leads fewest") {
				return true
			}
		}
	}
	return false
}

// evenCopies copies a shard to the store with the fewest copies.
func (p *placement) evenCopies() bool {
	low := p.least(p.backs)
	for _, high := range p.above(p.backs, low) {
		for shard, a := range p.core.state.Slots {
			if p.replaceReplica(shard, a, high, low, "even shares of copies") {
				return true
			}
		}
	}
	return false
}

// spreadZones moves a replica out of a zone that another member of its group is in.
func (p *placement) spreadZones() bool {
	for shard, a := range p.core.state.Slots {
		for _, replica := range a.Replicas {
			others := slices.DeleteFunc(a.IDs(), func(id string) bool { return id == replica.ID })
			if p.zones(others) < p.zones(a.IDs()) {
				continue // it is alone in its zone
			}
			spare := p.spare(others, []string{replica.ID})
			if spare == "" || p.zones(append(others, spare)) == p.zones(others) {
				continue
			}
			if p.replaceReplica(shard, a, replica.ID, spare, "two copies shared a zone") {
				return true
			}
		}
	}
	return false
}

// mostBacked is the replica of a group with the most copies.
func (p *placement) mostBacked(a replication.Assignment) string {
	most := ""
	for _, replica := range a.Replicas {
		if most == "" || p.backs[replica.ID] > p.backs[most] {
			most = replica.ID
		}
	}
	return most
}

// replaceReplica puts a store in the place of a replica where the zones of the group
// allow it and the store is in the primary's reach.
func (p *placement) replaceReplica(shard int, a replication.Assignment, out, in, reason string) bool {
	at := slices.IndexFunc(a.Replicas, func(m replication.Member) bool { return m.ID == out })
	life, living := p.core.storeLife(in, p.now)
	if at < 0 || !living || slices.Contains(a.IDs(), in) || p.core.estranged(in, a.Primary.ID, p.now) {
		return false
	}
	members := a.Members()
	members[at+1] = replication.Member{ID: in, Life: life}
	ids := make([]string, 0, len(members))
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	if p.zones(ids) < p.zones(a.IDs()) {
		return false
	}
	p.move(shard, members, reason)
	return true
}
