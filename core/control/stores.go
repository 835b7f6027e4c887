package control

import (
	"fmt"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/store"
)

// This file is what the primary hears from stores: enrolment, liveness, retirement (DESIGN §6.6, §8.4).

// storeBeat hears a store; the primary enrols it and tells it its writer id.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (s *Core) storeBeat(from string, beat store.Beat, now clock.Micros) {
	heard, ok := s.stores[beat.ID]
	if why := s.impostor(beat, heard, ok, now); why != "" {
		s.Emit(machine.Explain{What: "a store is turned away", Fields: map[string]any{"store": beat.ID, "peer": beat.Peer, "life": beat.Life, "reason": why}})
		s.Emit(machine.Send{To: from, Body: store.Unwelcome{ID: beat.ID, Life: beat.Life, Why: why}})
		return
	}
	if s.replaced(beat.ID, now) {
		return // a beat that was on its way when its store was replaced
	}
	if !ok || heard.beat.Life != beat.Life {
		heard.first = now
	}
	heard.beat, heard.at = beat, now
	s.stores[beat.ID] = heard
	if !s.Serving() || s.state.Fleet == "" {
		return
	}
	known, enrolled := s.state.Stores[beat.ID]
	if !enrolled || known.Struck || known.Peer != beat.Peer || known.Zone != beat.Zone || known.Name != beat.Name || known.Life != beat.Life {
		if !s.waiting(func(e state.Entry) bool { put, ok := e.(state.EnrolStore); return ok && put.Store.ID == beat.ID }) {
			s.propose(change{entry: state.EnrolStore{Store: state.Store{ID: beat.ID, Zone: beat.Zone, Peer: beat.Peer, Name: beat.Name, Life: beat.Life}}}, now)
		}
		return
	}
	if s.flight == nil {
		s.Emit(machine.Send{To: from, Body: store.Welcome{Fleet: s.state.Fleet, Writer: known.Writer, Seq: s.state.Seq}})
	}
	s.complete(beat, now)
}

// impostor tells why a beat is not from the store it names: another process with
// the same identity lives elsewhere, or a newer life was heard before. Its disk
// would be taken for the trusted one.
func (s *Core) impostor(beat store.Beat, heard heardStore, known bool, now clock.Micros) string {
	if beat.Fleet != "" && s.vote.Fleet != "" && beat.Fleet != s.vote.Fleet {
		return fmt.Sprintf("it is of fleet %s, this is %s", beat.Fleet, s.vote.Fleet)
	}
	if known && heard.beat.Peer != beat.Peer && now-heard.at < s.set.StoreSilent/2 {
		return "a store of the same identity lives at " + heard.beat.Peer
	}
	if newest := s.state.Stores[beat.ID].Life; s.Serving() && beat.Life < newest {
		return fmt.Sprintf("life %d of this store was heard, this is life %d: the folder is an old copy", newest, beat.Life)
	}
	return ""
}

// replaced tells whether a store is struck and another one lives at its address.
func (s *Core) replaced(id string, now clock.Micros) bool {
	store := s.state.Stores[id]
	if !store.Struck {
		return false
	}
	for _, other := range s.state.At(store.Peer) {
		if _, living := s.storeLife(other, now); living && other != id {
			return true
		}
	}
	return false
}

// complete writes down which pairs are whole.
func (s *Core) complete(beat store.Beat, now clock.Micros) {
	if len(beat.Ready) == 0 || s.waiting(isPair) {
		return
	}
	done := map[int]replication.Assignment{}
	for slot, epoch := range beat.Ready {
		if slot < 0 || slot >= len(s.state.Slots) {
			continue
		}
		pairing := s.state.Slots[slot]
		if pairing.Epoch == epoch && !pairing.Complete && pairing.Primary.ID == beat.ID && pairing.Primary.Life == beat.Life {
			done[slot] = pairing.Completed()
		}
	}
	if len(done) > 0 {
		s.propose(change{entry: state.Pair{Slots: done}}, now)
	}
}

// storeLife tells whether a store is living, by its beats and by what the
// others think of it: silence alone counts only after twice the time.
// One that is struck is gone at once: its slots are paired anew (DESIGN §3.4).
func (s *Core) storeLife(id string, now clock.Micros) (uint64, bool) {
	heard, ok := s.stores[id]
	if !ok || s.state.Stores[id].Struck {
		return 0, false
	}
	silent := now - heard.at
	if silent > 2*s.set.StoreSilent || (silent > s.set.StoreSilent && s.suspects[id]) {
		return 0, false
	}
	return heard.beat.Life, true
}

// Fresh tells up to when this daemon's news include what most of the roll knew.
type Fresh struct{ At clock.Micros }

// Apply notes it.
func (f Fresh) Apply(s *Core, _ clock.Micros) { s.fresh = max(s.fresh, f.At) }

// reaches tells whether this core hears most of the roll: only then may it take
// somebody off it. Before the first plan there is nothing to keep apart. One that has
// served for long without hearing most of the roll takes those it does not hear for
// lost: otherwise a fleet that lost most of it at once would never come back.
func (s *Core) reaches(now clock.Micros) bool {
	return !s.state.Configured() || now-s.fresh <= s.set.Staleness || now-max(s.fresh, s.serving) > s.set.LostAfter
}

// strike takes a store off the roll that has been silent for long and that no slot
// depends on, so that lost ones do not come to be half of those who count.
func (s *Core) strike(now clock.Micros) {
	if !s.reaches(now) || !s.state.Configured() || now-s.serving < s.set.StrikeAfter {
		return
	}
	for _, id := range sortedIDs(s.state.Stores) {
		store := s.state.Stores[id]
		if store.Struck || store.Retired || now-s.stores[id].at < s.set.StrikeAfter || s.depends(id) > 0 {
			continue
		}
		store.Struck = true
		if !s.waiting(func(e state.Entry) bool { put, ok := e.(state.EnrolStore); return ok && put.Store.ID == id }) {
			s.Emit(machine.Explain{What: "a silent store no longer counts", Fields: map[string]any{"store": id}})
			s.propose(change{entry: state.EnrolStore{Store: store}}, now)
		}
	}
}

// lookFor is how long an ask that changes nothing may wait for its turn.
const lookFor = 2 * clock.Second

// retire takes in an ask to retire a store; it is judged at its turn.
func (s *Core) retire(call uint64, ask RetireAsk, now clock.Micros) {
	if !s.Serving() {
		s.notPrimary(call)
		return
	}
	if ask.Look && ask.Expiry == 0 {
		ask.Expiry = lookFor
	}
	s.propose(change{call: call, until: now + ask.Expiry, leave: &plannedRetire{ask}}, now)
}

// plannedRetire is an ask to retire a store that waits for its turn: two that come
// at once are judged one after the other.
type plannedRetire struct{ ask RetireAsk }

// entry marks a store as retiring, where the fleet can do without it (DESIGN §8.4, §12.7);
// nil where there is nothing to change.
func (p plannedRetire) entry(s *Core, now clock.Micros) (state.Entry, string, error) {
	store, known := s.state.Stores[p.ask.ID]
	if p.ask.ID == "" {
		if store, known = s.state.Named(p.ask.Name); !known {
			return nil, "", errs.New(errs.NotFound, "list the stores to see the names there are", "no store is called %q", p.ask.Name)
		}
	}
	if !known {
		return nil, "", errs.New(errs.NotFound, "list the stores to see the ids there are", "no store %q is enrolled", p.ask.ID)
	}
	if p.ask.Look || store.Retiring != p.ask.Back {
		return nil, store.ID, nil
	}
	if !p.ask.Back {
		if err := s.tooFewWithout(store.ID, now); err != nil {
			return nil, "", err
		}
	}
	return state.Retire{ID: store.ID, Back: p.ask.Back}, store.ID, nil
}

// tooFewWithout refuses a retirement that would leave fewer stores than a shard has
// copies, or too few zones.
func (s *Core) tooFewWithout(id string, now clock.Micros) error {
	left, zones := 0, map[string]bool{}
	for _, other := range s.willing(now) {
		if other != id {
			left++
			zones[s.state.Stores[other].Zone] = true
		}
	}
	copies := s.shardCopies()
	if left >= copies && len(zones) >= min(s.set.ShardZones, copies) {
		return nil
	}
	return errs.New(errs.Refused, "add a store first, in another zone if need be, or wait until those that are down are back",
		"without store %s there are %d living stores in %d zone(s); %d copies need %d stores in %d zone(s)", id, left, len(zones), copies, copies, min(s.set.ShardZones, copies))
}
