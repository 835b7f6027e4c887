package control

import (
	"slices"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
)

// This file takes the changes of the control state through the group one at a time (DESIGN §5.4).

// change is one change that waits for its turn, or is on its way to the replicas.
// The core's own changes have an entry from the start; what an operator asks for
// gets one when it is judged.
type change struct {
	entry state.Entry
	put   *pendingConfiguration
	leave *plannedRetire
	call  uint64
	body  func() any
	until clock.Micros
}

// settle judges an operator's ask at its turn: what is to be written, and the answer.
func (c *change) settle(s *Core, now clock.Micros) error {
	switch {
	case c.put != nil:
		entry, number, err := c.put.judge(s.state)
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

// advance takes one change at a time through the group, so that two operators'
// configurations stand in one order. Nothing is judged without a fresh lease.
func (s *Core) advance(now clock.Micros) {
	for s.flight == nil && s.Leading(now) {
		at := s.nextChange()
		if at < 0 {
			return
		}
		c := s.queue[at]
		s.queue = slices.Delete(s.queue, at, at+1)
		if err := c.settle(s, now); err != nil {
			s.Emit(machine.Answer{Call: c.call, Err: err})
			continue
		}
		if c.entry == nil {
			// Nothing to write; all in the state is confirmed, as nothing is in flight.
			s.answer(c)
			continue
		}
		s.Changes++
		data := state.Encode(c.entry)
		if err := s.state.Play(data); err != nil {
			s.damaged(err)
			return
		}
		s.flight = &c
		s.groups.Append(unitCore, data, now)
	}
}

// nextChange is the place in the queue of the change whose turn it is; -1 where all
// wait. A configuration waits for the one that it is built on, where that waits, too.
func (s *Core) nextChange() int {
	for at := range s.queue {
		c := &s.queue[at]
		if c.put != nil && s.baseWaits(c.put) {
			continue
		}
		return at
	}
	return -1
}

// baseWaits tells whether the configuration that another is built on waits here, or may
// yet come: its order may have overtaken that one on the way.
func (s *Core) baseWaits(put *pendingConfiguration) bool {
	return put.baseToCome(s.state) || slices.ContainsFunc(s.queue, func(other change) bool {
		return other.put != nil && put.dependsOn(other.put)
	})
}

// answer tells who asked for a change that it is confirmed. A configuration is in
// force once most of the roll know it (DESIGN §8.2): then the acknowledgement.
func (s *Core) answer(c change) {
	if c.call == 0 {
		return
	}
	if latest, ok := s.state.Latest(); ok && c.put != nil {
		s.published.plan = max(s.published.plan, latest.Number)
		s.Emit(machine.Broadcast{Update: planNews(latest), Call: c.call, Body: c.body(), Expiry: spreadFor})
		return
	}
	s.Emit(machine.Answer{Call: c.call, Body: c.body()})
}

// expire answers those whose time is over while they waited.
func (s *Core) expire(now clock.Micros) {
	if s.flight != nil && now >= s.flight.until && s.flight.call != 0 {
		s.unknown(s.flight.call)
		s.flight.call = 0
	}
	waiting := s.queue
	s.queue = nil
	var over []change
	for _, c := range waiting {
		if c.call != 0 && now >= c.until {
			over = append(over, c)
		} else {
			s.queue = append(s.queue, c)
		}
	}
	for _, c := range over {
		if s.mayBeTaken(c) {
			s.unknown(c.call)
			continue
		}
		s.Emit(machine.Answer{Call: c.call, Err: errs.Later(errs.NotReady, 2*clock.Second, "send it again; it was not put", "the cores had no complete group in time")})
	}
}

// mayBeTaken tells whether the very same was or may yet be taken at another's call.
func (s *Core) mayBeTaken(c change) bool {
	if c.put == nil {
		return s.flight != nil && isRetire(s.flight.entry)
	}
	if _, taken := c.put.taken(s.state); taken || c.put.forgotten(s.state) {
		return true
	}
	return slices.ContainsFunc(s.queue, func(other change) bool { return other.put != nil && c.put.same(other.put) })
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
