package control

import (
	"slices"
	"sort"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
)

// This file assigns shards to stores (DESIGN §5.4, §6.6).

// depends counts the slots that still need a store.
func (s *Core) depends(id string) int {
	count := 0
	for _, pairing := range s.state.Slots {
		if pairing.Holds(id) {
			count++
		}
	}
	return count
}

// settled tells whether a new primary has heard enough to judge who lives: all the
// stores that count, or as long as it listens to the others (DESIGN §5.4).
func (s *Core) settled(now clock.Micros) bool {
	if now-s.serving >= s.set.Settle {
		return true
	}
	heard := 0
	for id, store := range s.state.Stores {
		if store.Struck || store.Retired {
			continue
		}
		if s.stores[id].at < s.serving {
			return false
		}
		heard++
	}
	return heard > 0
}

// judge works out the difference between the map and the stores that live.
func (s *Core) judge(now clock.Micros) {
	if !s.Leading(now) || s.state.Fleet == "" || !s.settled(now) || s.waiting(isPair) {
		return
	}
	s.strike(now)
	p := s.newPlacement(now)
	unwell := false
	for shard, assignment := range s.state.Slots {
		unwell = unwell || !assignment.Complete || len(assignment.Members()) < p.copies
		p.mend(shard, assignment)
	}
	if len(p.changed) == 0 && !unwell {
		p.balance()
	}
	if len(p.changed) > 0 {
		s.propose(change{entry: state.Pair{Slots: p.changed}}, now)
		return
	}
	if unwell || s.flight != nil || len(s.queue) > 0 || !s.reaches(now) {
		return // every group is whole before a store may go, and what was asked first counts
	}
	s.finishRetiring(now)
}

// finishRetiring writes down that nothing depends on a retiring store any more.
func (s *Core) finishRetiring(now clock.Micros) {
	for _, id := range sortedIDs(s.state.Stores) {
		if store := s.state.Stores[id]; store.Retiring && !store.Retired && s.depends(id) == 0 {
			s.Emit(machine.Explain{What: "nothing depends on the store any more; it is retired", Fields: map[string]any{"store": id}})
			s.propose(change{entry: state.Retire{ID: id, Done: true}}, now)
			return
		}
	}
}

// shardCopies is how many stores hold a shard: one more than may be lost at once.
func (s *Core) shardCopies() int { return s.set.Tolerance + 1 }

// leastCopies is how few copies a shard may go on with while stores are missing. Two
// are the least where anything may be lost: what is lost already counts against the
// tolerance, but a store may be missing only for this core.
func (s *Core) leastCopies() int { return min(2, s.shardCopies()) }

// shrinkAfter is how long a group that lacks a member waits for one before it goes on
// with fewer copies than it should have.
const shrinkAfter = 1500 * clock.Millisecond

// placement is one look at all shards and the changes that it leads to.
type placement struct {
	core    *Core
	now     clock.Micros
	copies  int
	willing []string
	leads   map[string]int // shards by their primary
	backs   map[string]int // shards by their replicas
	changed map[int]replication.Assignment
}

func (s *Core) newPlacement(now clock.Micros) *placement {
	p := &placement{core: s, now: now, copies: s.shardCopies(), willing: s.willing(now),
		leads: map[string]int{}, backs: map[string]int{}, changed: map[int]replication.Assignment{}}
	for _, assignment := range s.state.Slots {
		p.count(assignment)
	}
	return p
}

func (p *placement) count(assignment replication.Assignment) {
	if assignment.Zero() {
		return
	}
	p.leads[assignment.Primary.ID]++
	for _, replica := range assignment.Replicas {
		p.backs[replica.ID]++
	}
}

// assign notes a new assignment of a shard.
func (p *placement) assign(shard int, next replication.Assignment, reason string) {
	p.changed[shard] = next
	p.count(next)
	fields := map[string]any{"shard": shard, "reason": reason, "epoch": next.Epoch, "group": next.IDs()}
	if missing := p.copies - len(next.Members()); missing > 0 {
		fields["copies_missing"] = missing // too few stores live: fewer losses are borne until more are there
	}
	p.core.Emit(machine.Explain{What: "shard assigned anew", Fields: fields})
}

// mend gives a shard the assignment that it lacks, if any.
func (p *placement) mend(shard int, assignment replication.Assignment) {
	if assignment.Zero() {
		if next, ok := p.first(); ok {
			p.assign(shard, next, "first assignment")
		}
		return
	}
	scene := p.scene(assignment)
	if next, reason, ok := replication.Next(assignment, scene); ok {
		p.assign(shard, next, reason)
		return
	}
	if next, reason, ok := p.leave(assignment, scene); ok {
		p.assign(shard, next, reason)
		return
	}
	if next, reason, ok := p.reconnect(shard, assignment, scene); ok {
		p.assign(shard, next, reason)
	}
}

// scene is what the placement sees of the stores for one group.
func (p *placement) scene(assignment replication.Assignment) replication.Scene {
	return replication.Scene{
		Copies: p.copies,
		Life:   func(id string) (uint64, bool) { return p.core.storeLife(id, p.now) },
		Enough: func(members []string) bool { return p.enough(assignment, members) },
		Spare:  p.spare,
	}
}

// enough tells whether a group may go on with fewer copies than it should have.
func (p *placement) enough(assignment replication.Assignment, members []string) bool {
	if len(members) < p.core.leastCopies() || p.zones(members) < min(p.core.set.ShardZones, p.core.leastCopies()) {
		return false
	}
	return p.core.missingFor(assignment, p.now) >= shrinkAfter
}

// missingFor is how long every silent member of a group has been silent at least. One
// that is back in another life is no longer missing.
func (s *Core) missingFor(assignment replication.Assignment, now clock.Micros) clock.Micros {
	missing := now - s.serving
	for _, member := range assignment.Members() {
		if _, living := s.storeLife(member.ID, now); !living {
			missing = min(missing, now-s.stores[member.ID].at)
		}
	}
	return missing
}

func (p *placement) zone(id string) string { return p.core.state.Stores[id].Zone }

// zones counts the zones that stores are in.
func (p *placement) zones(ids []string) int {
	zones := map[string]bool{}
	for _, id := range ids {
		zones[p.zone(id)] = true
	}
	return len(zones)
}

// spare picks a further member for a group: a store in a zone of its own if there is
// one, else in any zone where the group is in enough of them; the one with the fewest
// copies among these. One that was out of a member's reach of late is better than none.
func (p *placement) spare(members, shunned []string) string {
	best, bestCost := "", [3]int{}
	for _, id := range p.willing {
		if slices.Contains(members, id) || slices.Contains(shunned, id) {
			continue
		}
		shared := slices.ContainsFunc(members, func(other string) bool { return p.zone(other) == p.zone(id) })
		if shared && !p.mayShare(members) {
			continue
		}
		estranged := slices.ContainsFunc(members, func(other string) bool { return p.core.estranged(other, id, p.now) })
		cost := [3]int{asInt(estranged), asInt(shared), p.backs[id]}
		if best == "" || slices.Compare(cost[:], bestCost[:]) < 0 {
			best, bestCost = id, cost
		}
	}
	return best
}

// mayShare tells whether a further member may be in the zone of another one: the copies
// that are still to come suffice for the zones that the group has to be in.
func (p *placement) mayShare(members []string) bool {
	left := p.copies - len(members) - 1
	return p.zones(members)+left >= min(p.core.set.ShardZones, p.copies)
}

func asInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// leave moves a shard off a store that is retiring, draining or stalled. The store
// counts as a holder until the new group is complete without it.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (p *placement) leave(a replication.Assignment, scene replication.Scene) (replication.Assignment, string, bool) {
	if !a.Complete {
		return a, "", false
	}
	var going []string
	draining := false
	for _, id := range a.IDs() {
		if p.core.going(id, p.now) {
			going = append(going, id)
			draining = draining || id != a.Primary.ID && p.core.stores[id].beat.Draining
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
	next, ok := replication.Reassign(a, scene, primary, going)
	if ok && len(next.Members()) < len(a.Members()) && !p.mayShrink(going) {
		return a, "", false
	}
	return next, reason, ok
}

// mayShrink tells whether a group may lose members that are about to go without others
// in their place: only for those that are gone anyway.
func (p *placement) mayShrink(going []string) bool {
	return !slices.ContainsFunc(going, func(id string) bool { return p.core.state.Stores[id].Retiring })
}

// reconnect finds other replicas for a primary that some do not answer, though all
// live, or whose disk holds writes back. A primary that is alone again before its group
// was ever complete gives way to another trusted store: it may be the one that nobody
// hears.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (p *placement) reconnect(shard int, a replication.Assignment, scene replication.Scene) (replication.Assignment, string, bool) {
	silent := p.silent(shard, a)
	primaryGoing := !a.Complete && p.core.going(a.Primary.ID, p.now)
	shunned := slices.Clone(silent)
	if !a.Complete {
		for _, replica := range a.Replicas {
			if p.core.going(replica.ID, p.now) {
				shunned = append(shunned, replica.ID)
			}
		}
	}
	if len(shunned) == 0 && !primaryGoing {
		return a, "", false
	}
	for _, id := range silent {
		p.core.apart[couple(a.Primary.ID, id)] = p.now + p.core.set.ApartFor
	}
	primary := a.Primary.ID
	if !a.Complete && (primaryGoing || len(silent) > 0) {
		for _, id := range a.Trusted {
			if _, ok := p.core.storeLife(id, p.now); ok && id != a.Primary.ID && !p.core.going(id, p.now) {
				primary, shunned = id, []string{a.Primary.ID}
				break
			}
		}
	}
	const reason = "members of the group do not reach each other"
	if next, ok := replication.Reassign(a, scene, primary, shunned); ok || !a.Complete {
		return next, reason, ok
	}
	for _, replica := range a.Replicas {
		if next, ok := replication.Reassign(a, scene, replica.ID, []string{a.Primary.ID}); ok {
			return next, reason, true
		}
	}
	return a, "", false
}

// silent are the replicas that the primary of a shard says don't answer it.
func (p *placement) silent(shard int, a replication.Assignment) []string {
	said, ok := p.core.stores[a.Primary.ID].beat.Silent[shard]
	if !ok || said.Epoch != a.Epoch {
		return nil
	}
	var out []string
	for _, replica := range a.Replicas {
		if slices.Contains(said.Peers, p.core.state.Stores[replica.ID].Peer) {
			out = append(out, replica.ID)
		}
	}
	return out
}

func couple(one, other string) [2]string {
	if one > other {
		one, other = other, one
	}
	return [2]string{one, other}
}

// estranged tells whether two stores were out of each other's reach of late.
func (s *Core) estranged(one, other string, now clock.Micros) bool {
	return now < s.apart[couple(one, other)]
}

// going tells whether a store is on its way out.
func (s *Core) going(id string, _ clock.Micros) bool {
	return s.state.Stores[id].Retiring || s.stores[id].beat.Draining || s.stores[id].beat.Stalled
}

// willing lists the living stores that take shards.
func (s *Core) willing(now clock.Micros) []string {
	var out []string
	for _, id := range sortedIDs(s.state.Stores) {
		if _, ok := s.storeLife(id, now); ok && !s.going(id, now) {
			out = append(out, id)
		}
	}
	return out
}

// firstAfter is how long every store has to be there before shards are assigned for the
// first time: the load is spread over all that came in time.
const firstAfter = 700 * clock.Millisecond

// firstPatience is how long a primary waits at the first assignment for as many stores
// as there should be copies.
const firstPatience = 4 * clock.Second

// first assigns a shard for the first time.
func (p *placement) first() (replication.Assignment, bool) {
	for _, id := range p.willing {
		if p.now-p.core.stores[id].first < firstAfter {
			return replication.Assignment{}, false
		}
	}
	byLoad := slices.Clone(p.willing)
	sort.SliceStable(byLoad, func(i, j int) bool { return p.leads[byLoad[i]] < p.leads[byLoad[j]] })
	for _, primary := range byLoad {
		blank := replication.Assignment{Trusted: []string{primary}}
		next, ok := replication.Reassign(blank, p.scene(blank), primary, nil)
		if ok && (len(next.Members()) == p.copies || p.now-p.core.serving > firstPatience) {
			next.Trusted = next.IDs()
			return next, true
		}
	}
	return replication.Assignment{}, false
}
