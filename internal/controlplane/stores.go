package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/controlplane/stores"
	"tuliprudder/internal/machine"
)

// handleStoreHeartbeat handles a store's heartbeat; the primary registers the store and sends it its
// writer ID (DESIGN §6.6, §8.4).
func (c *Core) handleStoreHeartbeat(from string, heartbeat registration.Heartbeat, now clock.Micros) {
	if reason := c.stores.RejectionReason(heartbeat, c.joinRules(heartbeat.ID), now); reason != "" {
		c.rejectStore(from, heartbeat, reason)
		return
	}
	if c.stores.IsReplaced(c.state, heartbeat.ID, now) {
		return
	}
	c.stores.Record(heartbeat, now)
	if !c.IsServing() || c.state.Fleet == "" {
		return
	}
	if store, changed := stores.Registration(c.state, heartbeat); changed {
		if !c.queue.HasEntry(registersStore(store.ID)) {
			c.propose(state.RegisterStore{Store: store}, now)
		}
		return
	}
	if !c.queue.HasInFlight() {
		c.Emit(machine.Send{To: from, Body: registration.Registered{
			Fleet:  c.state.Fleet,
			Writer: c.state.Stores[heartbeat.ID].Writer,
			Seq:    c.state.Seq,
		}})
	}
	c.commitCompletedShards(heartbeat, now)
}

// joinRules returns the rules that a store's heartbeat is checked against. Only the primary's state
// is certain to be the newest.
func (c *Core) joinRules(id string) stores.JoinRules {
	rules := stores.JoinRules{Fleet: c.Vote().Fleet}
	if c.IsServing() {
		rules.NewestIncarnation = c.state.Stores[id].Incarnation
	}
	return rules
}

func (c *Core) rejectStore(from string, heartbeat registration.Heartbeat, reason string) {
	c.Emit(machine.LogEvent{Event: StoreRejected{
		Store:       heartbeat.ID,
		Peer:        heartbeat.Peer,
		Incarnation: heartbeat.Incarnation,
		Reason:      reason,
	}})
	c.Emit(machine.Send{To: from, Body: registration.Rejected{
		ID:          heartbeat.ID,
		Incarnation: heartbeat.Incarnation,
		Reason:      reason,
	}})
}

// commitCompletedShards proposes to mark the groups that became complete.
func (c *Core) commitCompletedShards(heartbeat registration.Heartbeat, now clock.Micros) {
	if len(heartbeat.Ready) == 0 || c.queue.HasEntry(assignsShards) {
		return
	}
	if completed := stores.CompletedShards(c.state, heartbeat); len(completed) > 0 {
		c.propose(state.AssignShards{Shards: completed}, now)
	}
}

// evictUnreachableStores proposes to evict unreachable stores, which then no longer count as voters
// for updates.
func (c *Core) evictUnreachableStores(now clock.Micros) {
	if c.faults.SkipStoreEviction {
		return
	}
	for _, store := range c.stores.ToEvict(c.state, now) {
		if c.queue.HasEntry(registersStore(store.ID)) {
			continue
		}
		store.Evicted = true
		c.Emit(machine.LogEvent{Event: StoreEvicted{Store: store.ID}})
		c.propose(state.RegisterStore{Store: store}, now)
	}
}
