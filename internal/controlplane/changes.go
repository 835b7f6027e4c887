package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/changequeue"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/placement"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// This file replicates the changes of the control state through the replication group, one at a
// time (DESIGN §5.4).

// broadcastTimeout limits how long a configuration may take to reach a majority of the voters
// for updates.
const broadcastTimeout = 2 * clock.Second

// propose queues a change that the core itself makes.
func (c *Core) propose(entry state.Entry, now clock.Micros) {
	c.queue.Add(changequeue.Change{Entry: entry})
	c.processQueue(now)
}

// processQueue replicates one change at a time, so that the configurations of several operators
// are totally ordered. Nothing is decided without the lease. A permit request is decided after
// each change, and whenever no change can be started.
func (c *Core) processQueue(now clock.Micros) {
	for !c.queue.HasInFlight() && c.HoldsLease(now) {
		if c.permitRequests.isNext && c.decideOnPermits(now) {
			continue
		}
		changeTaken, ok := c.startNextChange(now)
		if !ok || !changeTaken && !c.decideOnPermits(now) {
			return
		}
	}
}

// startNextChange decides the next change and sends it to the replicas. changeTaken is false if no
// change can be started yet, ok is false if the state is damaged.
func (c *Core) startNextChange(now clock.Micros) (changeTaken, ok bool) {
	checks := changequeue.Checks{
		CanRetire: func(id string) error { return c.canRetire(id, now) },
		Document:  c.settings.CheckConfiguration,
	}
	change, changeTaken, err := c.queue.Next(c.state, checks)
	switch {
	case !changeTaken:
		return false, true
	case err != nil:
		c.Emit(machine.Reply{Call: change.Call, Err: err})
		return true, true
	case change.Entry == nil:
		// Nothing to write. The complete state is confirmed, as no change is in flight.
		c.replyToChange(change)
		return true, true
	}
	c.permitRequests.isNext = true
	return true, c.replicate(change, now)
}

// replicate applies a change locally and sends it to the replicas; it returns false if the change
// can't be applied.
func (c *Core) replicate(change changequeue.Change, now clock.Micros) bool {
	c.Changes++
	data := state.Encode(change.Entry)
	if err := c.state.ApplyEntry(data); err != nil {
		c.haltOnCorruption(err)
		return false
	}
	c.queue.Start(change)
	c.groups.Append(election.GroupUnit, data, now)
	return true
}

// canRetire returns the reason why a store can't be retired; nil if it can.
func (c *Core) canRetire(id string, now clock.Micros) error {
	return placement.CheckRetirement(c.settings.placement(), c.stores.Cluster(c.state, now), id)
}

// replyToChange notifies the caller that its change is confirmed. A configuration is in force once
// a majority of the voters for updates know it, and is acknowledged only then (DESIGN §8.2).
func (c *Core) replyToChange(change changequeue.Change) {
	if change.Call == 0 {
		return
	}
	if change.Configuration != nil {
		c.broadcastConfiguration(change)
		return
	}
	id := change.Retirement.StoreID()
	c.Emit(machine.Reply{Call: change.Call, Body: RetireResponse{
		ID:         id,
		Done:       c.state.Stores[id].Retired,
		ShardsLeft: c.state.DependentShards(id),
	}})
}

// broadcastConfiguration broadcasts the configuration in force and then acknowledges the requested
// version; a repeated request may refer to an earlier version than the one in force.
func (c *Core) broadcastConfiguration(change changequeue.Change) {
	latest, _ := c.state.Latest()
	c.published.configuration = max(c.published.configuration, latest.Number)
	c.Emit(machine.Broadcast{
		Update:  configurationUpdate(latest),
		Call:    change.Call,
		Body:    PutConfigurationResponse{Version: change.Configuration.Version()},
		Timeout: broadcastTimeout,
	})
}

// expireChanges answers the callers whose deadlines passed while their changes were queued or in
// flight.
func (c *Core) expireChanges(now clock.Micros) {
	c.rejectPermitRequests(c.permitRequests.expire(now))
	for _, timedOut := range c.queue.Expire(c.state, now) {
		if timedOut.MayBeApplied {
			c.replyUnknown(timedOut.Call)
			continue
		}
		c.Emit(machine.Reply{Call: timedOut.Call, Err: errs.NewWithRetry(errs.NotReady, 2*clock.Second,
			"send it again; nothing was changed", "the cores had no complete replication group before the deadline")})
	}
}

// replyUnknown notifies a caller that its change may or may not be applied.
func (c *Core) replyUnknown(call uint64) {
	c.UnknownOutcomes++
	c.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.OutcomeUnknown, clock.Second,
		"read back what is in force before you send it again", "it is not known whether the change was made durable")})
}

// assignsShards reports whether an entry assigns shards.
func assignsShards(e state.Entry) bool {
	_, ok := e.(state.AssignShards)
	return ok
}

// registersStore returns a predicate for entries that register the given store.
func registersStore(id string) func(state.Entry) bool {
	return func(e state.Entry) bool {
		registration, ok := e.(state.RegisterStore)
		return ok && registration.Store.ID == id
	}
}
