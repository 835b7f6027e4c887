package placement

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/replication"
)

// Store is one store as the primary core sees it.
type Store struct {
	Zone string
	Peer string // its address
	// Incarnation is the one that the store runs in now; only where it is Live.
	Incarnation  uint64
	Live         bool
	Retiring     bool         // an operator wants it emptied
	Draining     bool         // its process is about to stop
	Stalled      bool         // its disk holds writes back
	HeardAt      clock.Micros // its latest heartbeat; 0: none
	FirstHeardAt clock.Micros // the first heartbeat of this incarnation
	// Unreachable are, by shard that it is the primary of, the replicas that don't answer it.
	Unreachable map[int]registration.UnreachableReplicas
	// Busy are the shards that it is the primary of and whose batches are open.
	Busy []int
}

// mustEvacuate tells whether shards have to move off the store although it runs.
func (s Store) mustEvacuate() bool { return s.Retiring || s.Draining || s.Stalled }

// ClusterView is all that a placement depends on, at one moment.
type ClusterView struct {
	Now clock.Micros
	// ServingSince is since when the primary core hears the stores without a pause: a store that it
	// did not hear before may still live.
	ServingSince clock.Micros
	Shards       []replication.Assignment
	Stores       map[string]Store // by id; all that a shard refers to are among them
}

// Eligible lists the stores that take shards, in the order of their ids.
func (v ClusterView) Eligible() []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(v.Stores)) {
		if store := v.Stores[id]; store.Live && !store.mustEvacuate() {
			out = append(out, id)
		}
	}
	return out
}

// ZoneCount counts the zones that some stores are in.
func (v ClusterView) ZoneCount(ids []string) int {
	zones := map[string]bool{}
	for _, id := range ids {
		zones[v.Stores[id].Zone] = true
	}
	return len(zones)
}

// incarnation is the one that a store runs in now; false where it is taken for lost.
func (v ClusterView) incarnation(id string) (uint64, bool) {
	store := v.Stores[id]
	return store.Incarnation, store.Live
}

// isLive tells whether a store is not taken for lost.
func (v ClusterView) isLive(id string) bool { return v.Stores[id].Live }

// mustEvacuate tells whether shards have to move off a store although it runs.
func (v ClusterView) mustEvacuate(id string) bool { return v.Stores[id].mustEvacuate() }

// missingFor is for how long every lost member of a group has been missing at least. One
// that runs again in another incarnation is no longer missing.
func (v ClusterView) missingFor(assignment replication.Assignment) clock.Micros {
	missing := v.Now - v.ServingSince
	for _, member := range assignment.Members() {
		if !v.isLive(member.ID) {
			missing = min(missing, v.Now-v.Stores[member.ID].HeardAt)
		}
	}
	return missing
}
