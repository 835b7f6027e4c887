package stores

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
)

// HasQuorumContact tells whether this core hears a majority of the voters for updates: only then may
// it change who they are. Before the first configuration there is nothing to keep apart. One that has
// served for long without hearing a majority takes those it does not hear for
// lost: otherwise a fleet that lost most of its daemons at once would never come back.
func (t *Table) HasQuorumContact(current *state.State, now clock.Micros) bool {
	if !current.Configured() || now-t.freshUntil <= t.settings.MaxStaleness {
		return true
	}
	return now-max(t.freshUntil, t.servingSince) > t.settings.AssumeLostAfter
}

// ToEvict lists the stores, in the order of their ids, that are lost and that no shard depends on:
// evicted, they no longer count as voters for updates, so that lost ones do not come to be half of
// these.
func (t *Table) ToEvict(current *state.State, now clock.Micros) []state.Store {
	if !t.HasQuorumContact(current, now) || !current.Configured() {
		return nil
	}
	var out []state.Store
	for _, id := range slices.Sorted(maps.Keys(current.Stores)) {
		store := current.Stores[id]
		if store.Evicted || store.Retired || !t.isLost(current, store, now) {
			continue
		}
		if current.DependentShards(id) == 0 {
			out = append(out, store)
		}
	}
	return out
}

// isLost tells whether this core, since it serves, has not heard a store for long enough to
// evict it. That is sooner where another store has taken its machine over: where cores restart
// often, no primary may serve for EvictAfter.
func (t *Table) isLost(current *state.State, store state.Store, now clock.Micros) bool {
	timeout := t.settings.EvictAfter
	if t.hasSuccessor(current, store, now) {
		timeout = max(t.settings.ListenDelay, t.settings.Timeout)
	}
	return now-max(t.byID[store.ID].heardAt, t.servingSince) >= timeout
}

// hasSuccessor tells whether a live store was registered later under the same machine's name.
func (t *Table) hasSuccessor(current *state.State, store state.Store, now clock.Micros) bool {
	newest, known := current.StoreNamed(store.Name)
	if !known || newest.ID == store.ID {
		return false
	}
	_, live := t.Incarnation(current, newest.ID, now)
	return live
}
