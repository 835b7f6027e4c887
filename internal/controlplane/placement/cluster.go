package placement

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/replication"
)

// Store is the primary core's view of one store.
type Store struct {
	Zone string
	Peer string // address
	// Incarnation is the store's current incarnation. It is valid only if the store is Live.
	Incarnation  uint64
	Live         bool
	Retiring     bool         // an operator has requested its retirement
	Draining     bool         // its process is about to exit
	Stalled      bool         // its disk is not accepting writes or is too slow
	HeardAt      clock.Micros // time of the latest heartbeat; 0 if there was none
	FirstHeardAt clock.Micros // time of the first heartbeat of this incarnation
	// Unreachable lists, for each shard of which the store is the primary, the replicas that do not
	// answer it.
	Unreachable map[int]registration.UnreachableReplicas
	// Busy lists the shards of which the store is the primary and that have open batches.
	Busy []int
}

// mustEvacuate reports whether shards must move off the store although it is running.
func (s Store) mustEvacuate() bool { return s.Retiring || s.Draining || s.Stalled }

// ClusterView is a snapshot of everything that placement depends on.
type ClusterView struct {
	Now clock.Micros
	// ServingSince is the time since which the primary core has received heartbeats without
	// interruption. A store that it had not heard before that time may still be alive.
	ServingSince clock.Micros
	Shards       []replication.Assignment
	Stores       map[string]Store // by id; includes every store that a shard refers to
}

// Eligible returns the ids of the stores that can take shards, sorted.
func (v ClusterView) Eligible() []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(v.Stores)) {
		if store := v.Stores[id]; store.Live && !store.mustEvacuate() {
			out = append(out, id)
		}
	}
	return out
}

// ZoneCount returns the number of distinct zones of the given stores.
func (v ClusterView) ZoneCount(ids []string) int {
	zones := map[string]bool{}
	for _, id := range ids {
		zones[v.Stores[id].Zone] = true
	}
	return len(zones)
}

// incarnation returns a store's current incarnation, or false if the store is considered lost.
func (v ClusterView) incarnation(id string) (uint64, bool) {
	store := v.Stores[id]
	return store.Incarnation, store.Live
}

// isLive reports whether a store is not considered lost.
func (v ClusterView) isLive(id string) bool { return v.Stores[id].Live }

// mustEvacuate reports whether shards must move off a store although it is running.
func (v ClusterView) mustEvacuate(id string) bool { return v.Stores[id].mustEvacuate() }

// missingFor returns the time for which all lost members of a group have been missing: the shortest
// of their times since the last heartbeat, but at most the time since ServingSince. A member that
// runs again in another incarnation is not missing.
func (v ClusterView) missingFor(assignment replication.Assignment) clock.Micros {
	missing := v.Now - v.ServingSince
	for _, member := range assignment.Members() {
		if !v.isLive(member.ID) {
			missing = min(missing, v.Now-v.Stores[member.ID].HeardAt)
		}
	}
	return missing
}
