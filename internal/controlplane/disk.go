package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// This file defines what a core does while its disk accepts no writes (DESIGN §5): nothing
// that others could depend on. It sends no heartbeats, grants no votes, accepts no entries and
// does not act as primary, as if it were frozen, so that the other cores continue without it.
// Changes that it decided before wait for its disk, in order, and are not acknowledged until
// they are synced.

// probationPeriod is how long a disk must accept writes again before its core does more than
// receive heartbeats.
const probationPeriod = clock.Second

// diskProbation is the state of a core's disk.
type diskProbation struct {
	unwritable    bool
	reason        string
	writableSince clock.Micros // when the disk began to accept writes again; 0: it never stopped, or the probation is over
}

// isOver reports whether the core may perform all its roles.
func (p diskProbation) isOver() bool { return !p.unwritable && p.writableSince == 0 }

// DiskStateChanged reports whether the disk accepts writes.
type DiskStateChanged struct{ State machine.DiskState }

// Apply records the state of the disk. If it accepts no writes, waiting callers are notified at
// once that the outcome is unknown, so that they ask another core.
func (d DiskStateChanged) Apply(c *Core, now clock.Micros) {
	if d.State.Writable == !c.disk.unwritable {
		c.disk.reason = d.State.Reason
		return
	}
	c.disk = diskProbation{unwritable: !d.State.Writable, reason: d.State.Reason}
	if d.State.Writable {
		c.disk.writableSince = now
		c.Emit(machine.LogEvent{Event: DiskWritable{ResumesAfterUS: probationPeriod}})
		return
	}
	c.Emit(machine.LogEvent{Event: DiskUnwritable{Reason: d.State.Reason, Role: c.group().Role.String()}})
	for _, call := range c.queue.ReleaseCalls() {
		c.replyUnknown(call)
	}
	c.rejectPermitRequests(c.permitRequests.clear())
}

// CompactAgain requests another snapshot, because the last one could not be written.
type CompactAgain struct{}

// Apply makes Do add the snapshot to the effects of this command.
func (CompactAgain) Apply(c *Core, _ clock.Micros) {
	c.recordsSinceCompaction = c.settings.CompactAfter
}

// rejectWhileUnwritable reports whether a command is ignored because the disk accepts no writes or is
// on probation; it answers an ignored call with an error.
func (c *Core) rejectWhileUnwritable(command Command, now clock.Micros) bool {
	if c.disk.isOver() {
		return false
	}
	if !c.disk.unwritable && now-c.disk.writableSince >= probationPeriod {
		c.resumeRoles(now)
		return false
	}
	if isAllowedWithoutDisk(command) {
		return false
	}
	if call, ok := command.(Call); ok {
		c.Emit(machine.Reply{Call: call.Number, Err: errs.NewWithRetry(errs.NotReady, clock.Second,
			"send it to another core; this one resumes once its disk accepts writes", "core %s can't write to its disk: %s", c.self.ID, c.disk.reason)})
	}
	return true
}

// isAllowedWithoutDisk reports whether a command is handled while the disk accepts no writes:
// results and states of the disk itself, and inputs that only add to what this core knows.
func isAllowedWithoutDisk(command Command) bool {
	switch command := command.(type) {
	case Persisted, DiskStateChanged, CompactAgain, StoreHealth, EdgeHealth, DurableUpdate, FreshnessAdvanced:
		return true
	case Message:
		_, isHeartbeat := command.Body.(election.Heartbeat)
		return isHeartbeat
	case Call:
		_, isStatus := command.Body.(StatusRequest)
		return isStatus
	}
	return false
}

// resumeRoles ends the probation. This core has received no store heartbeats meanwhile, so it
// listens for them again before it decides on any store.
func (c *Core) resumeRoles(now clock.Micros) {
	c.disk = diskProbation{}
	if c.IsServing() {
		c.stores.StartServing(now)
	}
	c.Emit(machine.LogEvent{Event: RolesResumed{Role: c.group().Role.String()}})
}
