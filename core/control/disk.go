package control

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
)

// This file is what a core does while its disk takes no writes (DESIGN §5): nothing
// that others could count on. It neither greets nor grants, takes no entries and
// leads nobody, as if it were frozen, so that the other cores go on without it. What
// it had decided before waits for its disk, in order, and is acknowledged by nobody
// until it is synced.

// diskProof is how long a disk has to take writes again before its core does more
// than listen.
const diskProof = clock.Second

// diskDuty is what a core knows of its disk.
type diskDuty struct {
	ill    bool
	reason string
	wellAt clock.Micros // when an ill disk took writes again; 0: it was never ill, or the proof is over
}

// DiskChanged is the shell's word on the disk.
type DiskChanged struct{ State machine.DiskState }

// Apply notes it. Operators who wait are told at once that the outcome is not known,
// so that they ask another core.
func (d DiskChanged) Apply(s *Core, now clock.Micros) {
	if d.State.Writable == !s.disk.ill {
		s.disk.reason = d.State.Reason
		return
	}
	s.disk = diskDuty{ill: !d.State.Writable, reason: d.State.Reason}
	if !s.disk.ill {
		s.disk.wellAt = now
		s.Emit(machine.Explain{What: "the disk takes writes again", Fields: map[string]any{"duties_after_us": diskProof}})
		return
	}
	s.Emit(machine.Explain{What: "giving up all duties for the disk's sake", Fields: map[string]any{"reason": d.State.Reason, "role": s.group().Role.String()}})
	s.releaseCallers()
}

// releaseCallers answers all who wait for a change. Those whose change was not taken
// up yet are not kept for later.
func (s *Core) releaseCallers() {
	if s.flight != nil {
		s.unknown(s.flight.call)
		s.flight.call = 0
	}
	kept := s.queue[:0]
	for _, c := range s.queue {
		if c.call == 0 {
			kept = append(kept, c)
			continue
		}
		s.unknown(c.call)
	}
	s.queue = kept
}

// FoldAgain asks for a view of now: the last one could not be written.
type FoldAgain struct{}

// Apply has the view made with this step's effects.
func (FoldAgain) Apply(s *Core, _ clock.Micros) { s.writes = s.set.FoldAfter }

// withheld tells whether a command is passed over for the disk's sake. The disk's own
// words are not, nor what only makes this core know more.
func (s *Core) withheld(command Command, now clock.Micros) bool {
	if !s.disk.ill && s.disk.wellAt == 0 {
		return false
	}
	if !s.disk.ill && now-s.disk.wellAt >= diskProof {
		s.resumeDuties(now)
		return false
	}
	switch c := command.(type) {
	case Stored, DiskChanged, FoldAgain, Suspicion, Listed, Fresh:
		return false
	case Letter:
		_, greeting := c.Body.(Heartbeat)
		return !greeting
	case Call:
		if _, ok := c.Body.(ShowAsk); ok {
			return false
		}
		s.Emit(machine.Answer{Call: c.Number, Err: errs.Later(errs.NotReady, clock.Second, "ask another core; this one is back once its disk takes writes", "core %s can't write: %s", s.self.ID, s.disk.reason)})
	}
	return true
}

// resumeDuties begins anew to listen: this core has heard no store meanwhile, and
// judges none before it had the time to.
func (s *Core) resumeDuties(now clock.Micros) {
	s.disk = diskDuty{}
	if s.Serving() {
		s.serving = now
	}
	s.Emit(machine.Explain{What: "taking up its duties again", Fields: map[string]any{"role": s.group().Role.String()}})
}
