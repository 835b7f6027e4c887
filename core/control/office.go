package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/replication"
	"tuliprudder/ledger/store"
)

// This file is what the primary does for the fleet (DESIGN §5.4, §6.6, §8).

// Call is an ask that came in.
type Call struct {
	Number uint64
	Body   any
}

// Apply answers the ask by its type.
func (c Call) Apply(s *Core, now clock.Micros) {
	switch ask := c.Body.(type) {
	case PutPlanAsk:
		s.putPlan(c.Number, ask, now)
	case PlansAsk:
		s.plans(c.Number, ask, now)
	case RetireAsk:
		s.retire(c.Number, ask, now)
	case ShowAsk:
		shown := Shown{Core: s.self, Role: s.group().Role.String(), Epoch: s.group().Epoch, Oath: s.oath}
		shown.Map, _ = json.Marshal(s.state.Map())
		if latest, ok := s.state.Latest(); ok {
			shown.Plan = latest.Number
		}
		s.Emit(machine.Answer{Call: c.Number, Body: shown})
	default:
		s.Emit(machine.Answer{Call: c.Number, Err: errs.New(errs.BadInput, "run the same release on all daemons", "a core knows no such ask: %T", ask)})
	}
}

func (s *Core) notPrimary(call uint64) {
	s.Emit(machine.Answer{Call: call, Err: errs.Later(errs.NotReady, clock.Second, "ask again; the cores are agreeing on a primary", "this core is not primary (%s)", s.group().Role)})
}

func (s *Core) putPlan(call uint64, ask PutPlanAsk, now clock.Micros) {
	if !s.Serving() {
		s.notPrimary(call)
		return
	}
	if s.set.CheckPlan != nil {
		if err := s.set.CheckPlan(ask.Body); err != nil {
			s.Emit(machine.Answer{Call: call, Err: err})
			return
		}
	}
	if len(s.queue) >= 64 {
		s.Emit(machine.Answer{Call: call, Err: errs.Later(errs.Busy, clock.Second, "send it again; it was not put", "too many plans wait")})
		return
	}
	s.queue = append(s.queue, change{call: call, until: now + ask.Expiry, put: &plannedPut{ask, now}})
	s.advance(now)
}

// plannedPut is a plan that waits for its turn; it gets its number then.
type plannedPut struct {
	ask PutPlanAsk
	at  clock.Micros
}

// known tells whether the chart has a version of the operator's own number.
func (p plannedPut) known(s *Core) bool {
	_, known := s.state.Version(p.ask.Number)
	return p.ask.Number != 0 && known
}

// entry numbers the plan, or turns it away where its base is not in force or its
// number is not above the one in force (DESIGN §8.1, §12.7). A version that is there
// already is not written again: nil.
func (p plannedPut) entry(s *Core) (state.Entry, uint64, error) {
	latest, _ := s.state.Latest()
	number := p.ask.Number
	if p.known(s) {
		if known, _ := s.state.Version(number); !sameDocument(known.Body, p.ask.Body) {
			return nil, 0, errs.New(errs.StaleBase, "read the plan in force, merge, and put with its version as base and a number above it", "version %d is there already and has another document", number)
		}
		return nil, number, nil
	}
	if p.ask.HasBase && p.ask.Base != latest.Number {
		return nil, 0, errs.New(errs.StaleBase, "read the plan in force, merge, and put with its version as base", "the plan in force is version %d, not %d", latest.Number, p.ask.Base)
	}
	if number == 0 {
		number = latest.Number + 1
	}
	if number <= latest.Number {
		return nil, 0, errs.New(errs.BadPlan, fmt.Sprintf("number the plan above %d", latest.Number), "version %d is not above the one in force, %d", p.ask.Number, latest.Number)
	}
	return state.PutPlan{Version: state.Version{Number: number, Body: p.ask.Body, By: p.ask.By, At: p.at}}, number, nil
}

// sameDocument compares two documents as the chart writes them: compact.
func sameDocument(one, other json.RawMessage) bool {
	a, errA := json.Marshal(one)
	b, errB := json.Marshal(other)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// settle judges an operator's ask at its turn: what is to be written, and the answer.
func (c *change) settle(s *Core, now clock.Micros) error {
	switch {
	case c.put != nil:
		entry, number, err := c.put.entry(s)
		c.entry, c.body = entry, func() any { return PlanReceipt{Version: number} }
		return err
	case c.leave != nil:
		entry, id, err := c.leave.entry(s, now)
		c.entry, c.body = entry, func() any {
			return RetireReceipt{ID: id, Done: s.state.Stores[id].Retired, Left: s.depends(id)}
		}
		return err
	}
	return nil
}

func (s *Core) propose(c change, now clock.Micros) {
	s.queue = append(s.queue, c)
	s.advance(now)
}

// advance takes one change at a time through the pair, so that two operators'
// plans stand in one order.
func (s *Core) advance(now clock.Micros) {
	for s.flight == nil && len(s.queue) > 0 && s.Serving() {
		c := s.queue[0]
		s.queue = s.queue[1:]
		if err := c.settle(s, now); err != nil {
			s.Emit(machine.Answer{Call: c.call, Err: err})
			continue
		}
		if c.entry == nil {
			// Nothing to write; all in the chart is confirmed, as nothing is in flight.
			s.answer(c)
			continue
		}
		s.Changes++
		data := state.Encode(c.entry)
		if err := s.state.Play(data); err != nil {
			s.BadRecord = err
			return
		}
		s.flight = &c
		s.groups.Append(unitCore, data, now)
	}
}

// plans reads back what is confirmed. The latest is told only under a fresh lease: a
// primary deposed without knowing would take an older one for it.
func (s *Core) plans(call uint64, ask PlansAsk, now clock.Micros) {
	if !s.Serving() || ask.Latest && !s.soundOwner(now) {
		s.notPrimary(call)
		return
	}
	confirmed := s.state.Plans
	if s.flight != nil && s.flight.put != nil {
		confirmed = confirmed[:len(confirmed)-1]
	}
	if ask.Latest {
		if len(confirmed) == 0 {
			s.Emit(machine.Answer{Call: call, Err: errs.New(errs.NotFound, "put a plan", "no plan was ever put")})
			return
		}
		s.Emit(machine.Answer{Call: call, Body: Plans{Versions: confirmed[len(confirmed)-1:]}})
		return
	}
	var out Plans
	for _, version := range confirmed {
		switch {
		case ask.Version == 0:
			version.Body = nil
			out.Versions = append(out.Versions, version)
		case ask.Version == version.Number:
			out.Versions = append(out.Versions, version)
		}
	}
	if ask.Version != 0 && len(out.Versions) == 0 {
		s.Emit(machine.Answer{Call: call, Err: errs.New(errs.NotFound, "list the versions there are", "no plan version %d", ask.Version)})
		return
	}
	s.Emit(machine.Answer{Call: call, Body: out})
}

// publish hands what is confirmed to the acquaintance.
func (s *Core) publish() {
	if !s.Serving() || s.flight != nil || s.state.Fleet == "" {
		return
	}
	if latest, ok := s.state.Latest(); ok && latest.Number > s.published.plan {
		s.published.plan = latest.Number
		s.Emit(machine.Publish{Rumour: planNews(latest)})
	}
	if s.state.Seq > s.published.seq {
		s.published.seq = s.state.Seq
		value, _ := json.Marshal(s.state.Map())
		s.Emit(machine.Publish{Rumour: machine.Rumour{Key: state.MapKey, Seq: s.state.Seq, Value: value}})
	}
	if epoch := s.group().Epoch; epoch > s.published.epoch {
		s.published.epoch = epoch
		core := state.CoreNews{Fleet: s.state.Fleet, Epoch: epoch, Primary: s.self.ID, Peer: s.self.Peer, Backup: s.oath.Done.Backup.ID}
		for _, ref := range s.oath.Cores {
			core.Cores, core.Seats = append(core.Cores, ref.Peer), append(core.Seats, ref.ID)
		}
		value, _ := json.Marshal(core)
		s.Emit(machine.Publish{Rumour: machine.Rumour{Key: state.CoreKey, Epoch: epoch, Value: value}})
	}
}

func planNews(version state.Version) machine.Rumour {
	value, _ := json.Marshal(version)
	return machine.Rumour{Key: state.PlanKey, Seq: version.Number, Value: value}
}

// storeBeat hears a store; the primary enrols it and tells it its writer id.
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
	if beat.Fleet != "" && s.oath.Fleet != "" && beat.Fleet != s.oath.Fleet {
		return fmt.Sprintf("it is of fleet %s, this is %s", beat.Fleet, s.oath.Fleet)
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

func (s *Core) waiting(match func(state.Entry) bool) bool {
	if s.flight != nil && s.flight.entry != nil && match(s.flight.entry) {
		return true
	}
	for _, c := range s.queue {
		if c.entry != nil && match(c.entry) {
			return true
		}
	}
	return false
}

func isPair(e state.Entry) bool { _, ok := e.(state.Pair); return ok }

func isRetire(e state.Entry) bool { _, ok := e.(state.Retire); return ok }

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
		if pairing.Epoch == epoch && !pairing.Complete && pairing.Owner.ID == beat.ID && pairing.Owner.Life == beat.Life {
			pairing.Complete = true
			pairing.Trusted = [2]string{pairing.Owner.ID, pairing.Backup.ID}
			done[slot] = pairing
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
func (f Fresh) Apply(s *Core, now clock.Micros) { s.fresh = max(s.fresh, f.At) }

// reaches tells whether this core hears most of the roll: only then may it take
// somebody off it. Before the first plan there is nothing to keep apart. One that has
// served for long without hearing most of the roll takes those it does not hear for
// lost: otherwise a fleet that lost most of it at once would never come back.
func (s *Core) reaches(now clock.Micros) bool {
	return len(s.state.Plans) == 0 || now-s.fresh <= s.set.Staleness || now-max(s.fresh, s.serving) > s.set.LostAfter
}

// strike takes a store off the roll that has been silent for long and that no slot
// depends on, so that lost ones do not come to be half of those who count.
func (s *Core) strike(now clock.Micros) {
	if !s.reaches(now) || len(s.state.Plans) == 0 || now-s.serving < s.set.StrikeAfter {
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
		zones := map[string]bool{}
		for _, id := range s.willing(now) {
			if id != store.ID {
				zones[s.state.Stores[id].Zone] = true
			}
		}
		if len(zones) < 2 {
			return nil, "", errs.New(errs.Refused, "add a store in another zone first, or wait until those that are down are back",
				"without store %s the living stores are in %d zone(s); two copies need two", store.ID, len(zones))
		}
	}
	return state.Retire{ID: store.ID, Back: p.ask.Back}, store.ID, nil
}

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
