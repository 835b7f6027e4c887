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
	if !s.Serving() || s.state.Fleet == "" || !s.settled(now) || s.waiting(isPair) {
		return
	}
	owned, backed := map[string]int{}, map[string]int{}
	for _, pairing := range s.state.Slots {
		owned[pairing.Owner.ID]++
		backed[pairing.Backup.ID]++
	}
	s.strike(now)
	willing := s.willing(now)
	spare := func(owner string, shunned ...string) string {
		best, last := "", ""
		for _, id := range willing {
			if id == owner || slices.Contains(shunned, id) || s.state.Stores[id].Zone == s.state.Stores[owner].Zone {
				continue
			}
			if s.estranged(owner, id, now) {
				last = id
				continue
			}
			if best == "" || backed[id] < backed[best] {
				best = id
			}
		}
		if best == "" {
			return last // better one that was out of reach a while ago than none
		}
		return best
	}
	scene := replication.Scene{
		Life:  func(id string) (uint64, bool) { return s.storeLife(id, now) },
		Zone:  func(id string) string { return s.state.Stores[id].Zone },
		Spare: func(owner string) string { return spare(owner) },
	}
	changed := map[int]replication.Assignment{}
	unwell := false
	for slot, pairing := range s.state.Slots {
		unwell = unwell || !pairing.Complete
		if pairing.Zero() {
			if next, ok := s.first(willing, owned, spare, now); ok {
				changed[slot] = next
				owned[next.Owner.ID]++
				backed[next.Backup.ID]++
			}
			continue
		}
		next, reason, ok := replication.Next(pairing, scene)
		if !ok {
			next, reason, ok = s.leave(pairing, spare, now)
		}
		if !ok {
			next, reason, ok = s.console(slot, pairing, spare, now)
		}
		if !ok {
			continue
		}
		changed[slot] = next
		backed[next.Backup.ID]++
		s.Emit(machine.Explain{What: "slot paired anew", Fields: map[string]any{"slot": slot, "reason": reason, "epoch": next.Epoch, "owner": next.Owner.ID, "backup": next.Backup.ID}})
	}
	if len(changed) == 0 && !unwell {
		s.balance(willing, changed, now)
	}
	if len(changed) > 0 {
		s.propose(change{entry: state.Pair{Slots: changed}}, now)
		return
	}
	if unwell || s.flight != nil || len(s.queue) > 0 || !s.reaches(now) {
		return // every pair is whole before a store may go, and what was asked first counts
	}
	for _, id := range sortedIDs(s.state.Stores) {
		if store := s.state.Stores[id]; store.Retiring && !store.Retired && s.depends(id) == 0 {
			s.Emit(machine.Explain{What: "nothing depends on the store any more; it is retired", Fields: map[string]any{"store": id}})
			s.propose(change{entry: state.Retire{ID: id, Done: true}}, now)
			return
		}
	}
}

// leave moves a slot off a store that is retiring or draining: the backup, which
// holds all, owns, and a willing store becomes its backup.
func (s *Core) leave(p replication.Assignment, spare func(string, ...string) string, now clock.Micros) (replication.Assignment, string, bool) {
	if !p.Complete {
		return p, "", false
	}
	next := replication.Assignment{Epoch: p.Epoch + 1, Owner: p.Owner, Trusted: [2]string{p.Owner.ID, p.Backup.ID}}
	reason := "the backup's store is going"
	switch {
	case s.going(p.Owner.ID, now) && !s.going(p.Backup.ID, now):
		next.Owner, reason = p.Backup, "the owner's store is going"
	case s.going(p.Backup.ID, now) && !s.stores[p.Backup.ID].beat.Draining && !s.going(p.Owner.ID, now):
	default:
		return p, "", false
	}
	other := spare(next.Owner.ID)
	life, ok := s.storeLife(other, now)
	if !ok {
		return p, "", false
	}
	next.Backup = replication.Member{ID: other, Life: life}
	return next, reason, true
}

// console finds another partner for an owner whose backup does not answer it,
// though both live, or whose backup's disk is stalled. An owner that is alone
// again before its pair was ever whole gives way to the other trusted store: it
// may be the one that nobody hears.
func (s *Core) console(slot int, p replication.Assignment, spare func(string, ...string) string, now clock.Micros) (replication.Assignment, string, bool) {
	lonely := s.stores[p.Owner.ID].beat.Lonely[slot] == p.Epoch
	alone := lonely || !p.Complete && s.going(p.Owner.ID, now)
	if !alone && (p.Complete || !s.going(p.Backup.ID, now)) {
		return p, "", false
	}
	if lonely {
		s.apart[couple(p.Owner.ID, p.Backup.ID)] = now + s.set.ApartFor
	}
	next := replication.Assignment{Epoch: p.Epoch + 1, Owner: p.Owner, Trusted: p.Trusted}
	shunned := []string{p.Backup.ID}
	if p.Complete {
		next.Trusted = [2]string{p.Owner.ID, p.Backup.ID}
	} else if alone {
		for _, id := range p.Trusted {
			if life, ok := s.storeLife(id, now); ok && id != p.Owner.ID && !s.going(id, now) {
				next.Owner, shunned = replication.Member{ID: id, Life: life}, []string{p.Owner.ID}
			}
		}
	}
	other := spare(next.Owner.ID, shunned...)
	life, ok := s.storeLife(other, now)
	if !ok {
		return p, "", false
	}
	next.Backup = replication.Member{ID: other, Life: life}
	return next, "owner and backup do not reach each other", true
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

// pressing is how uneven the shares have to be for a slot to move whose bundles are
// open: the new owner runs their items anew.
const pressing = 6

// balance moves one slot at a time towards even shares: first its copy, then,
// once that is whole, its owner.
func (s *Core) balance(willing []string, changed map[int]replication.Assignment, now clock.Micros) {
	if now < s.next.balance || len(willing) < 2 {
		return
	}
	s.next.balance = now + s.set.BalanceEvery
	for _, id := range willing {
		if now-s.stores[id].first < s.set.BalanceAfter {
			return
		}
	}
	owned, backed := map[string]int{}, map[string]int{}
	for _, pairing := range s.state.Slots {
		owned[pairing.Owner.ID]++
		backed[pairing.Backup.ID]++
	}
	// least is who has fewest; above lists those with at least two more, most first.
	least := func(counts map[string]int) string {
		low := willing[0]
		for _, id := range willing {
			if counts[id] < counts[low] {
				low = id
			}
		}
		return low
	}
	above := func(counts map[string]int, low string) []string {
		var out []string
		for _, id := range willing {
			if counts[id] >= counts[low]+2 {
				out = append(out, id)
			}
		}
		sort.SliceStable(out, func(i, j int) bool { return counts[out[i]] > counts[out[j]] })
		return out
	}
	zone := func(id string) string { return s.state.Stores[id].Zone }
	move := func(slot int, owner, backup replication.Member, reason string) {
		p := s.state.Slots[slot]
		changed[slot] = replication.Assignment{Epoch: p.Epoch + 1, Owner: owner, Backup: backup, Trusted: [2]string{p.Owner.ID, p.Backup.ID}}
		s.Emit(machine.Explain{What: "slot moved", Fields: map[string]any{"slot": slot, "reason": reason, "epoch": p.Epoch + 1, "owner": owner.ID, "backup": backup.ID}})
	}
	low := least(owned)
	for _, high := range above(owned, low) {
		for slot, p := range s.state.Slots {
			if p.Owner.ID == high && p.Backup.ID == low && (owned[high]-owned[low] >= pressing || !slices.Contains(s.stores[high].beat.Busy, slot)) {
				move(slot, p.Backup, p.Owner, "even shares: its backup owns it now")
				return
			}
		}
	}
	for _, high := range above(owned, low) {
		for slot, p := range s.state.Slots {
			if p.Owner.ID == high && zone(low) != zone(high) && !s.estranged(low, high, now) {
				move(slot, p.Owner, replication.Member{ID: low, Life: s.stores[low].beat.Life}, "even shares: copied to the store that has fewest")
				return
			}
		}
	}
	low = least(backed)
	for _, high := range above(backed, low) {
		for slot, p := range s.state.Slots {
			if p.Backup.ID == high && p.Owner.ID != low && zone(p.Owner.ID) != zone(low) && !s.estranged(low, p.Owner.ID, now) {
				move(slot, p.Owner, replication.Member{ID: low, Life: s.stores[low].beat.Life}, "even shares of copies")
				return
			}
		}
	}
}

// going tells whether a store is on its way out.
func (s *Core) going(id string, now clock.Micros) bool {
	return s.state.Stores[id].Retiring || s.stores[id].beat.Draining || s.stores[id].beat.Stalled
}

// willing lists the living stores that take slots.
func (s *Core) willing(now clock.Micros) []string {
	var out []string
	for _, id := range sortedIDs(s.state.Stores) {
		if _, ok := s.storeLife(id, now); ok && !s.going(id, now) {
			out = append(out, id)
		}
	}
	return out
}

// first pairs a slot for the first time, once stores of two zones have been
// there for a moment: the load is spread over all that came in time.
func (s *Core) first(willing []string, owned map[string]int, spare func(string, ...string) string, now clock.Micros) (replication.Assignment, bool) {
	for _, id := range willing {
		if now-s.stores[id].first < 700*clock.Millisecond {
			return replication.Assignment{}, false
		}
	}
	byLoad := append([]string(nil), willing...)
	sort.SliceStable(byLoad, func(i, j int) bool { return owned[byLoad[i]] < owned[byLoad[j]] })
	for _, owner := range byLoad {
		if backup := spare(owner); backup != "" {
			return replication.Assignment{Epoch: 1, Owner: replication.Member{ID: owner, Life: s.stores[owner].beat.Life},
				Backup: replication.Member{ID: backup, Life: s.stores[backup].beat.Life}, Trusted: [2]string{owner, backup}}, true
		}
	}
	return replication.Assignment{}, false
}
