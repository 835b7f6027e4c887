package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// This file is what a core does while its disk takes no writes (DESIGN §5): nothing
// that others could depend on. It sends no heartbeat, grants no vote, takes no entries and
// leads nobody, as if it were frozen, so that the other cores go on without it. What
// it had decided before waits for its disk, in order, and is acknowledged by nobody
// until it is synced.

// probationPeriod is how long a disk has to take writes again before its core does more
// than listen.
const probationPeriod = clock.Second

// diskProbation is what a core knows of its disk.
type diskProbation struct {
	unwritable    bool
	reason        string
	writableSince clock.Micros // since when the disk takes writes again; 0: it always did, or the probation is over
}

// isOver tells whether the core may do all its duties.
func (p diskProbation) isOver() bool { return !p.unwritable && p.writableSince == 0 }

// DiskStateChanged tells whether the disk takes writes.
type DiskStateChanged struct{ State machine.DiskState }

// Apply records it. Operators who wait are told at once that the outcome is not known,
// so that they ask another core.
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

// CompactAgain asks for another snapshot: the last one could not be written.
type CompactAgain struct{}

// Apply has the snapshot made with this step's effects.
func (CompactAgain) Apply(c *Core, _ clock.Micros) {
	c.recordsSinceCompaction = c.settings.CompactAfter
}

// rejectWhileUnwritable tells whether a command is ignored, as the disk takes no writes or is on
// probation.
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
			"ask another core; this one is back once its disk takes writes", "core %s can't write: %s", c.self.ID, c.disk.reason)})
	}
	return true
}

// isAllowedWithoutDisk tells whether a command is handled while the disk takes no writes:
// what the disk itself tells, and what only makes this core know more.
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

// resumeRoles ends the probation. This core has heard no store meanwhile, and
// listens anew until it decides on any.
func (c *Core) resumeRoles(now clock.Micros) {
	c.disk = diskProbation{}
	if c.IsServing() {
		c.stores.StartServing(now)
	}
	c.Emit(machine.LogEvent{Event: RolesResumed{Role: c.group().Role.String()}})
}
