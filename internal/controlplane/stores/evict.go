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

// ToEvict lists the stores, in the order of their ids, that were not heard for long and that no shard
// depends on: evicted, they no longer count as voters for updates, so that lost ones do not come to
// be half of these.
func (t *Table) ToEvict(current *state.State, now clock.Micros) []state.Store {
	servedLongEnough := now-t.servingSince >= t.settings.EvictAfter
	if !t.HasQuorumContact(current, now) || !current.Configured() || !servedLongEnough {
		return nil
	}
	var out []state.Store
	for _, id := range slices.Sorted(maps.Keys(current.Stores)) {
		store := current.Stores[id]
		if store.Evicted || store.Retired || now-t.byID[id].heardAt < t.settings.EvictAfter {
			continue
		}
		if current.DependentShards(id) == 0 {
			out = append(out, store)
		}
	}
	return out
}
