package quota

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/membership"
)

// This file is the owner's view of the daemons: who may have work in use, and whose
// work others have taken over.

// knowsShardMap tells whether this daemon knows which stores there are.
func (q *Quota) knowsShardMap() bool {
	if q.ShardMap == nil {
		return true
	}
	_, known := q.ShardMap()
	return known
}

// peers are the addresses of the known daemons, by id.
func (q *Quota) peers() map[string]string {
	out := map[string]string{}
	for _, member := range q.members() {
		out[member.ID] = member.Peer
	}
	return out
}

// liveDaemons are all other daemons that may have work in use and are not known to be
// dead. Stores among them are remembered in knownStores.
func (q *Quota) liveDaemons() []string {
	var out []string
	for _, member := range q.members() {
		if member.Kind == membership.Store {
			q.knownStores[member.ID] = true
		}
		isOther := member.ID != q.self
		queuesWork := member.Kind != membership.Core
		if isOther && queuesWork && member.Status < membership.Dead {
			out = append(out, member.ID)
		}
	}
	return out
}

// expectedReporters are all daemons that may have work in use: the live ones, and the
// stores on the map that are neither evicted nor retired, whether this daemon has heard
// of them since its start or not.
func (q *Quota) expectedReporters() []string {
	out := q.liveDaemons()
	if q.ShardMap == nil {
		return out
	}
	m, _ := q.ShardMap()
	for _, id := range sortedKeys(m.Stores) {
		store := m.Stores[id]
		isLost := store.Evicted || store.Retired
		if isLost || id == q.self || slices.Contains(out, id) {
			continue
		}
		out = append(out, id)
		q.knownStores[id] = true
	}
	return out
}

// isStore tells whether a daemon is a store, or was one when it was last known.
func (q *Quota) isStore(daemonID string) bool {
	for _, member := range q.members() {
		if member.ID == daemonID {
			return member.Kind == membership.Store
		}
	}
	return q.knownStores[daemonID]
}

// stopWaitingForTheDead gives up the reports of daemons that are not alive.
func (q *Quota) stopWaitingForTheDead(a *Account, now clock.Micros) {
	live := q.liveDaemons()
	for _, id := range a.Unreported() {
		if !slices.Contains(live, id) {
			a.StopWaitingFor(id, now)
		}
	}
}

// releaseTransferred drops the leases of lost stores that own no shard any more: the
// stores that took their shards over report that work now.
func (q *Quota) releaseTransferred(now clock.Micros) {
	if q.ShardMap == nil {
		return
	}
	m, known := q.ShardMap()
	if !known {
		return
	}
	responsible := q.responsibleDaemons(m)
	for _, a := range q.accounts {
		for _, id := range a.LeaseHolders() {
			if q.knownStores[id] && !responsible[id] {
				a.ReleaseTransferred(id, now)
			}
		}
	}
}

// responsibleDaemons are those that are alive, own a shard, or may own one while its
// group has not been completed.
func (q *Quota) responsibleDaemons(m state.Map) map[string]bool {
	out := map[string]bool{}
	for _, assignment := range m.Shards {
		out[assignment.Primary.ID] = true
		if assignment.Complete {
			continue
		}
		for _, id := range assignment.Trusted {
			out[id] = true
		}
	}
	for _, member := range q.members() {
		if member.Status == membership.Alive {
			out[member.ID] = true
		}
	}
	return out
}
