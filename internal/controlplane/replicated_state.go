package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file has the callbacks of the replication group (replication.StateMachine). A core has
// one group, so the unit argument is always the same.

// Snapshot returns the complete state, which is small.
func (c *Core) Snapshot(unit string) replication.Snapshot {
	return replication.Parts(c.LocalSnapshot(unit))
}

// LocalSnapshot returns the same parts as Snapshot, as a core archives nothing.
func (c *Core) LocalSnapshot(string) [][]byte {
	if c.faults.SkipRequestTable {
		stripped := *c.state
		stripped.Requests = state.RequestTable{}
		return stripped.Snapshot()
	}
	return c.state.Snapshot()
}

// Install replaces the state with the primary's snapshot.
func (c *Core) Install(unit string, parts [][]byte) [][]byte {
	c.Restore(unit, parts)
	return parts
}

// Restore replaces the state with a snapshot.
func (c *Core) Restore(_ string, parts [][]byte) {
	restored, err := state.Restore(parts)
	if err != nil {
		c.haltOnCorruption(err)
		return
	}
	c.state = restored
}

// ApplyEntry applies a change on a replica, or when it is read from disk.
func (c *Core) ApplyEntry(_ string, data []byte) {
	if err := c.state.ApplyEntry(data); err != nil {
		c.haltOnCorruption(err)
	}
}

// haltOnCorruption records that stored data can't be read, and stops the daemon: continuing would
// mean answering from a state that this core does not have.
func (c *Core) haltOnCorruption(err error) {
	if c.BadRecord == nil {
		c.BadRecord = err
	}
	c.Emit(machine.Halt{Err: err})
}

// Confirmed answers the caller whose change every replica has on disk, and starts the next change.
func (c *Core) Confirmed(_ string, _ uint64, now clock.Micros) {
	if confirmed, ok := c.queue.Confirm(); ok {
		c.replyToChange(confirmed)
		c.replyWithPermits(confirmed)
	}
	c.updateDecidedUsage()
	c.publish()
	c.processQueue(now)
}

// GroupReady lets the voters commit the term, as every member of its group has the state.
func (c *Core) GroupReady(_ string, epoch uint64, _ clock.Micros) { c.election.GroupReady(epoch) }

// Deposed answers all waiting callers with an unknown outcome: this core is no longer primary.
func (c *Core) Deposed(_ string, epoch uint64, _ clock.Micros) {
	c.election.Deposed()
	for _, call := range c.queue.Clear() {
		c.replyUnknown(call)
	}
	c.rejectPermitRequests(c.permitRequests.clear())
	c.Emit(machine.LogEvent{Event: LostPrimary{Epoch: epoch}})
}

// startServing is called when this core begins to serve as the primary of a committed term.
func (c *Core) startServing(now clock.Micros) {
	c.stores.StartServing(now)
	c.arbiter.Start(c.group().Epoch, now)
	c.startUsage(now)
	c.startAutoscale(now)
	if c.state.Fleet == "" {
		c.propose(state.Bootstrap{Fleet: c.Vote().Fleet, Shards: c.settings.Shards}, now)
	}
	c.publish()
	c.processQueue(now)
}
