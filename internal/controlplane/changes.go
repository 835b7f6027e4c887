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

// This file takes the changes of the control state through the replication group, one at a
// time (DESIGN §5.4).

// broadcastTimeout is how long a configuration may take until a majority of the voters for
// updates know it.
const broadcastTimeout = 2 * clock.Second

// propose queues a change of the core's own.
func (c *Core) propose(entry state.Entry, now clock.Micros) {
	c.queue.Add(changequeue.Change{Entry: entry})
	c.processQueue(now)
}

// processQueue takes one change at a time through the group, so that two operators'
// configurations have one order. Nothing is decided without the lease. A request for permits has
// its turn after each change, and when no change can be started.
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

// startNextChange decides the next change and sends it to the replicas. isTaken is false where all wait,
// ok where the state is damaged.
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
		// Nothing to write; all in the state is confirmed, as nothing is in flight.
		c.replyToChange(change)
		return true, true
	}
	c.permitRequests.isNext = true
	return true, c.replicate(change, now)
}

// replicate applies a change here and sends it to the replicas; false when it can't be applied.
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

// canRetire is why a store can't be retired; nil when it can.
func (c *Core) canRetire(id string, now clock.Micros) error {
	return placement.CheckRetirement(c.settings.placement(), c.stores.Cluster(c.state, now), id)
}

// replyToChange tells who asked for a change that it is confirmed. A configuration is in
// force once a majority of the voters for updates know it (DESIGN §8.2): only then it is acknowledged.
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

// broadcastConfiguration spreads the configuration in force and then acknowledges the one that
// was asked for; a repeated request may be about an earlier one.
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

// expireChanges answers those whose deadlines passed while they waited.
func (c *Core) expireChanges(now clock.Micros) {
	c.rejectPermitRequests(c.permitRequests.expire(now))
	for _, timedOut := range c.queue.Expire(c.state, now) {
		if timedOut.MayBeApplied {
			c.replyUnknown(timedOut.Call)
			continue
		}
		c.Emit(machine.Reply{Call: timedOut.Call, Err: errs.NewWithRetry(errs.NotReady, 2*clock.Second,
			"send it again; it was not put", "the cores had no complete group in time")})
	}
}

// replyUnknown tells a caller that its change may or may not be applied.
func (c *Core) replyUnknown(call uint64) {
	c.UnknownOutcomes++
	c.Emit(machine.Reply{Call: call, Err: errs.NewWithRetry(errs.OutcomeUnknown, clock.Second,
		"read back what is in force before you send it again", "it is not known whether this was made durable")})
}

// assignsShards tells whether an entry assigns shards.
func assignsShards(e state.Entry) bool {
	_, ok := e.(state.AssignShards)
	return ok
}

// registersStore tells of an entry whether it registers a store.
func registersStore(id string) func(state.Entry) bool {
	return func(e state.Entry) bool {
		registration, ok := e.(state.RegisterStore)
		return ok && registration.Store.ID == id
	}
}
