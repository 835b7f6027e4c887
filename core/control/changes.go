package control

import (
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
)

// This file takes the changes of the control state through the group one at a time (DESIGN §5.4).

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
	for s.flight == nil && len(s.queue) > 0 && s.Leading(now) {
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
