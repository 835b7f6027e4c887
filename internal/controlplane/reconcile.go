package controlplane

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/placement"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
)

// reconcileInterval is the time between two comparisons of the shard map with the live stores.
const reconcileInterval = 100 * clock.Millisecond

func (c *Core) reconcileWhenDue(now clock.Micros) {
	if now >= c.nextReconcileAt {
		c.nextReconcileAt = now + reconcileInterval
		c.reconcileShards(now)
	}
}

// reconcileShards compares the shard map with the live stores, and reassigns shards where they
// differ (DESIGN §5.4). It makes one such change at a time, as the next decision depends on its
// outcome.
func (c *Core) reconcileShards(now clock.Micros) {
	mayAssign := c.HoldsLease(now) && c.state.Fleet != "" && c.stores.HasHeardEnough(c.state, now)
	if !mayAssign || c.queue.HasEntry(assignsShards) {
		return
	}
	c.evictUnreachableStores(now)
	decision := placement.Decide(c.settings.placement(), c.stores.Cluster(c.state, now), c.plannerState)
	c.plannerState = decision.NextState
	for _, event := range decision.Events {
		c.Emit(machine.LogEvent{Event: event})
	}
	if len(decision.Assignments) > 0 {
		c.propose(state.AssignShards{Shards: decision.Assignments}, now)
		return
	}
	// A store is retired only once every group is complete and all earlier requests are decided.
	if decision.AllComplete && c.queue.IsIdle() && c.stores.HasQuorumContact(c.state, now) {
		c.finishRetirement(now)
	}
}

// finishRetirement marks a retiring store as retired once nothing depends on it any more, one
// store at a time.
func (c *Core) finishRetirement(now clock.Micros) {
	for _, id := range slices.Sorted(maps.Keys(c.state.Stores)) {
		store := c.state.Stores[id]
		if store.Retiring && !store.Retired && c.state.DependentShards(id) == 0 {
			c.Emit(machine.LogEvent{Event: StoreRetired{Store: id}})
			c.propose(state.Retire{ID: id, Done: true}, now)
			return
		}
	}
}
