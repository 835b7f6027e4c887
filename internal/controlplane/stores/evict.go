package stores

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
)

// HasQuorumContact reports whether this core is in contact with a majority of the voters for
// updates, which it needs to change the set of voters. Before the first configuration it always
// is, as there is nothing to protect yet. A core that has served for AssumeLostAfter without
// contact to a majority considers the voters that it does not hear lost: otherwise a fleet that
// lost most of its daemons at once would never recover.
func (t *Table) HasQuorumContact(current *state.State, now clock.Micros) bool {
	if !current.Configured() || now-t.freshUntil <= t.settings.MaxStaleness {
		return true
	}
	return now-max(t.freshUntil, t.servingSince) > t.settings.AssumeLostAfter
}

// ToEvict returns the stores, sorted by id, that are lost and that no shard depends on. Once
// evicted, they no longer count as voters for updates, so that lost stores cannot add up to half
// of the voters.
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

// isLost reports whether this core, while serving, has not heard a store for long enough to
// evict it. The timeout is shorter if another store has taken over the store's machine, because
// with frequent restarts of cores no primary may serve for as long as EvictAfter.
func (t *Table) isLost(current *state.State, store state.Store, now clock.Micros) bool {
	timeout := t.settings.EvictAfter
	if t.hasSuccessor(current, store, now) {
		timeout = max(t.settings.ListenDelay, t.settings.Timeout)
	}
	return now-max(t.byID[store.ID].heardAt, t.servingSince) >= timeout
}

// hasSuccessor reports whether a live store was registered later under the same machine name.
func (t *Table) hasSuccessor(current *state.State, store state.Store, now clock.Micros) bool {
	newest, known := current.StoreNamed(store.Name)
	if !known || newest.ID == store.ID {
		return false
	}
	_, live := t.Incarnation(current, newest.ID, now)
	return live
}
