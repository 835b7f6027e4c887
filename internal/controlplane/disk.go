package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// This file is what a core does while its disk takes no writes (DESIGN §5): nothing
// that others could count on. It neither greets nor grants, takes no entries and
// leads nobody, as if it were frozen, so that the other cores go on without it. What
// it had decided before waits for its disk, in order, and is acknowledged by nobody
// until it is synced.

// diskProbation is how long a disk has to take writes again before its core does more
// than listen.
const diskProbation = clock.Second

// diskProbationState is what a core knows of its disk.
type diskProbationState struct {
	unwritable    bool
	reason        string
	writableSince clock.Micros // when an ill disk took writes again; 0: it was never ill, or the proof is over
}

// DiskStateChanged is the shell's word on the disk.
type DiskStateChanged struct{ State machine.DiskState }

// Apply notes it. Operators who wait are told at once that the outcome is not known,
// so that they ask another core.
func (d DiskStateChanged) Apply(s *Core, now clock.Micros) {
	if d.State.Writable == !s.disk.unwritable {
		s.disk.reason = d.State.Reason
		return
	}
	s.disk = diskProbationState{unwritable: !d.State.Writable, reason: d.State.Reason}
	if !s.disk.unwritable {
		s.disk.writableSince = now
		s.Emit(machine.LogEvent{Event: DiskWritable{ResumesAfterUS: diskProbation}})
		return
	}
	s.Emit(machine.LogEvent{Event: DiskUnwritable{Reason: d.State.Reason, Role: s.group().Role.String()}})
	s.replyUnknownToAll()
}

// replyUnknownToAll answers all who wait for a change. Those whose change was not taken
// up yet are not kept for later.
func (s *Core) replyUnknownToAll() {
	if s.inFlight != nil {
		s.replyUnknown(s.inFlight.call)
		s.inFlight.call = 0
	}
	kept := s.queue[:0]
	for _, c := range s.queue {
		if c.call == 0 {
			kept = append(kept, c)
			continue
		}
		s.replyUnknown(c.call)
	}
	s.queue = kept
}

// CompactAgain asks for a view of now: the last one could not be written.
type CompactAgain struct{}

// Apply has the view made with this step's effects.
func (CompactAgain) Apply(s *Core, _ clock.Micros) { s.recordsSinceCompaction = s.set.CompactAfter }

// rejectedForDisk tells whether a command is passed over for the disk's sake. The disk's own
// words are not, nor what only makes this core know more.
func (s *Core) rejectedForDisk(command Command, now clock.Micros) bool {
	if !s.disk.unwritable && s.disk.writableSince == 0 {
		return false
	}
	if !s.disk.unwritable && now-s.disk.writableSince >= diskProbation {
		s.resumeDuties(now)
		return false
	}
	switch c := command.(type) {
	case Persisted, DiskStateChanged, CompactAgain, Suspicion, EndpointUpdate, FreshnessAdvanced:
		return false
	case Message:
		_, greeting := c.Body.(Heartbeat)
		return !greeting
	case Call:
		if _, ok := c.Body.(StatusRequest); ok {
			return false
		}
		s.Emit(machine.Reply{Call: c.Number, Err: errs.NewWithRetry(errs.NotReady, clock.Second, "ask another core; this one is back once its disk takes writes", "core %s can't write: %s", s.self.ID, s.disk.reason)})
	}
	return true
}

// resumeDuties begins anew to listen: this core has heard no store meanwhile, and
// judges none before it had the time to.
func (s *Core) resumeDuties(now clock.Micros) {
	s.disk = diskProbationState{}
	if s.IsServing() {
		s.servingSince = now
	}
	s.Emit(machine.LogEvent{Event: DutiesResumed{Role: s.group().Role.String()}})
}
