package control

import (
	"encoding/json"
	"fmt"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
)

// This file is how configurations are put, read back and published (DESIGN §8.1, §8.2).

// Call is an ask that came in.
type Call struct {
	Number uint64
	Body   any
}

// Apply answers the ask by its type.
func (c Call) Apply(s *Core, now clock.Micros) {
	switch ask := c.Body.(type) {
	case PutPlanAsk:
		s.putConfiguration(c.Number, ask, now)
	case PlansAsk:
		s.readConfigurations(c.Number, ask, now)
	case RetireAsk:
		s.retire(c.Number, ask, now)
	case ShowAsk:
		shown := Shown{Core: s.self, Role: s.group().Role.String(), Epoch: s.group().Epoch, Vote: s.vote}
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

// mostWaiting is how many changes wait for their turn.
const mostWaiting = 64

func (s *Core) putConfiguration(call uint64, ask PutPlanAsk, now clock.Micros) {
	if !s.Serving() {
		s.notPrimary(call)
		return
	}
	digest, err := state.DigestOf(ask.Body)
	if err != nil {
		s.Emit(machine.Answer{Call: call, Err: errs.New(errs.BadPlan, "send one whole JSON document", "the configuration can't be read: %v", err)})
		return
	}
	if s.set.CheckPlan != nil {
		if err := s.set.CheckPlan(ask.Body); err != nil {
			s.Emit(machine.Answer{Call: call, Err: err})
			return
		}
	}
	if len(s.queue) >= mostWaiting {
		s.Emit(machine.Answer{Call: call, Err: errs.Later(errs.Busy, clock.Second, "send it again; it was not put", "too many configurations wait")})
		return
	}
	s.queue = append(s.queue, change{call: call, until: now + ask.Expiry, put: &pendingConfiguration{ask: ask, digest: digest, at: now}})
	s.advance(now)
}

// pendingConfiguration is a configuration that waits for its turn; it is judged then.
type pendingConfiguration struct {
	ask    PutPlanAsk
	digest state.Digest
	at     clock.Micros
}

// same tells whether two orders are one order that was sent twice.
func (p *pendingConfiguration) same(other *pendingConfiguration) bool {
	return p.ask.Number == other.ask.Number && p.ask.HasBase == other.ask.HasBase && p.ask.Base == other.ask.Base && p.digest == other.digest
}

// dependsOn tells whether an order is built on top of another one that waits, too.
func (p *pendingConfiguration) dependsOn(other *pendingConfiguration) bool {
	return p.ask.HasBase && p.ask.Number > p.ask.Base && other.ask.Number == p.ask.Base
}

// taken finds the version that this order became, whether that is confirmed or on
// its way. An order of the operator's own number is recognised by the number and
// the document; one that the core numbered by the document and its base.
func (p *pendingConfiguration) taken(c *state.State) (uint64, bool) {
	var order state.Order
	var known bool
	switch {
	case p.ask.Number != 0:
		order, known = c.Orders.Find(p.ask.Number)
	case p.ask.HasBase:
		order, known = c.Orders.BuiltOn(p.ask.Base)
	}
	return order.Number, known && order.Digest == p.digest
}

// forgotten tells whether it is no longer known what became of such an order: it
// is older than all that the table of orders recognises.
func (p *pendingConfiguration) forgotten(c *state.State) bool {
	oldest := c.Orders.Forgotten()
	if p.ask.Number != 0 {
		return p.ask.Number <= oldest
	}
	return p.ask.HasBase && p.ask.Base < oldest
}

// baseToCome tells whether an order is built on a version above the one in force, which
// somebody may have put and nobody has brought here yet. No verdict on it would be final.
func (p *pendingConfiguration) baseToCome(c *state.State) bool {
	latest, _ := c.Latest()
	return p.ask.HasBase && p.ask.Base > latest.Number && (p.ask.Number == 0 || p.ask.Number > p.ask.Base)
}

// judge numbers the configuration, or turns it away where its base is not in force
// or its number is not above the one in force (DESIGN §8.1, §12.7). The entry is nil
// where the very same order was taken before: it is not written again. A refusal is
// final: numbers in force only rise, so an order that is refused once would be
// refused at any later time. (One built on a version that is yet to come waits, and is
// not judged.)
func (p *pendingConfiguration) judge(c *state.State) (state.Entry, uint64, error) {
	if number, taken := p.taken(c); taken {
		return nil, number, nil
	}
	if p.forgotten(c) {
		return nil, 0, errs.New(errs.OutcomeUnknown, "read back what is in force; put what is missing under a new number",
			"more than %d configurations were put since: it is no longer known whether this one was among them", state.MostOrders)
	}
	latest, _ := c.Latest()
	number := p.ask.Number
	if _, other := c.Orders.Find(number); other {
		return nil, 0, errs.New(errs.StaleBase, "read the configuration in force, merge, and put with its version as base and a number above it", "version %d is there already and has another document", number)
	}
	if p.ask.HasBase && p.ask.Base != latest.Number {
		return nil, 0, errs.New(errs.StaleBase, "read the configuration in force, merge, and put with its version as base", "the configuration in force is version %d, not %d", latest.Number, p.ask.Base)
	}
	if number == 0 {
		number = latest.Number + 1
	}
	if number <= latest.Number {
		return nil, 0, errs.New(errs.BadPlan, fmt.Sprintf("number the configuration above %d", latest.Number), "version %d is not above the one in force, %d", number, latest.Number)
	}
	return state.PutPlan{Version: state.Version{Number: number, Body: p.ask.Body, By: p.ask.By, At: p.at}}, number, nil
}

// readConfigurations reads back what is confirmed, under a fresh lease only: a
// primary that was deposed without knowing would take an older one for the newest.
func (s *Core) readConfigurations(call uint64, ask PlansAsk, now clock.Micros) {
	if !s.Leading(now) {
		s.notPrimary(call)
		return
	}
	body, err := readBack(s.confirmed(), ask)
	s.Emit(machine.Answer{Call: call, Body: body, Err: err})
}

// confirmedOrders is what of the state every replica has on disk.
type confirmedOrders struct {
	versions []state.Version
	orders   []state.Order
}

func (s *Core) confirmed() confirmedOrders {
	c := confirmedOrders{versions: s.state.Versions, orders: s.state.Orders.All()}
	if s.flight != nil && s.flight.put != nil {
		c.versions = c.versions[:len(c.versions)-1]
		c.orders = c.orders[:len(c.orders)-1]
	}
	return c
}

func readBack(c confirmedOrders, ask PlansAsk) (any, error) {
	switch {
	case ask.Latest && len(c.versions) == 0:
		return nil, errs.New(errs.NotFound, "put a configuration", "no configuration was ever put")
	case ask.Latest:
		return Plans{Versions: c.versions[len(c.versions)-1:]}, nil
	case ask.Version == 0:
		return listed(c), nil
	}
	for _, version := range c.versions {
		if version.Number == ask.Version {
			return Plans{Versions: []state.Version{version}}, nil
		}
	}
	for _, order := range c.orders {
		if order.Number == ask.Version {
			return nil, errs.New(errs.NotFound, "read one of the newest versions, or look where you keep your configurations; the list tells this one's digest",
				"version %d was confirmed, but its document is no longer kept", ask.Version)
		}
	}
	return nil, errs.New(errs.NotFound, "list the versions there are", "no configuration version %d", ask.Version)
}

// listed lists the versions that can be read back, without their documents, and
// every order that is still recognised.
func listed(c confirmedOrders) Plans {
	out := Plans{Orders: c.orders}
	for _, version := range c.versions {
		version.Body = nil
		out.Versions = append(out.Versions, version)
	}
	return out
}

// publish hands what is confirmed to the membership's news.
func (s *Core) publish() {
	if !s.Serving() || s.flight != nil || s.state.Fleet == "" {
		return
	}
	if latest, ok := s.state.Latest(); ok && latest.Number > s.published.plan {
		s.published.plan = latest.Number
		s.Emit(machine.Publish{Update: planNews(latest)})
	}
	if s.state.Seq > s.published.seq {
		s.published.seq = s.state.Seq
		value, _ := json.Marshal(s.state.Map())
		s.Emit(machine.Publish{Update: machine.Update{Key: state.MapKey, Seq: s.state.Seq, Value: value}})
	}
	if epoch := s.group().Epoch; epoch > s.published.epoch {
		s.published.epoch = epoch
		core := state.CoreNews{Fleet: s.state.Fleet, Epoch: epoch, Primary: s.self.ID, Peer: s.self.Peer, Replicas: s.vote.Committed.IDs()[1:]}
		for _, ref := range s.vote.Voters {
			core.Cores, core.Seats = append(core.Cores, ref.Peer), append(core.Seats, ref.ID)
		}
		value, _ := json.Marshal(core)
		s.Emit(machine.Publish{Update: machine.Update{Key: state.CoreKey, Epoch: epoch, Value: value}})
	}
}

func planNews(version state.Version) machine.Update {
	value, _ := json.Marshal(version)
	return machine.Update{Key: state.PlanKey, Seq: version.Number, Value: value}
}
