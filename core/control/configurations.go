package control

import (
	"bytes"
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
		s.putPlan(c.Number, ask, now)
	case PlansAsk:
		s.plans(c.Number, ask, now)
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
		s.Emit(machine.Publish{Update: planNews(latest)})
	}
	if s.state.Seq > s.published.seq {
		s.published.seq = s.state.Seq
		value, _ := json.Marshal(s.state.Map())
		s.Emit(machine.Publish{Update: machine.Update{Key: state.MapKey, Seq: s.state.Seq, Value: value}})
	}
	if epoch := s.group().Epoch; epoch > s.published.epoch {
		s.published.epoch = epoch
		core := state.CoreNews{Fleet: s.state.Fleet, Epoch: epoch, Primary: s.self.ID, Peer: s.self.Peer, Backup: s.vote.Done.Backup.ID}
		for _, ref := range s.vote.Cores {
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
