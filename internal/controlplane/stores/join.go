package stores

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
)

// JoinRules are what a store's heartbeat is held against.
type JoinRules struct {
	Fleet string // the fleet of this core; "" before it has one
	// NewestIncarnation is the newest one that the store was registered with; 0 where this core is
	// not primary, as its state may be old.
	NewestIncarnation uint64
}

// RejectionReason is why a heartbeat is not from the store it names; "" when it may be: another process with
// the same identity runs elsewhere, or a newer incarnation was heard before. The disk of such
// a process would be taken for the trusted one.
func (t *Table) RejectionReason(h registration.Heartbeat, rules JoinRules, now clock.Micros) string {
	if h.Fleet != "" && rules.Fleet != "" && h.Fleet != rules.Fleet {
		return fmt.Sprintf("it is of fleet %s, this is %s", h.Fleet, rules.Fleet)
	}
	heard, known := t.byID[h.ID]
	if known && heard.heartbeat.Peer != h.Peer && now-heard.heardAt < t.settings.Timeout/2 {
		return "a store of the same identity runs at " + heard.heartbeat.Peer
	}
	if h.Incarnation < rules.NewestIncarnation {
		return fmt.Sprintf("incarnation %d of this store was heard, this is incarnation %d: the folder is an old copy", rules.NewestIncarnation, h.Incarnation)
	}
	return ""
}

// IsReplaced tells whether a store is evicted and another one runs at its address. A
// heartbeat that was under way at that time does not bring it back.
func (t *Table) IsReplaced(current *state.State, id string, now clock.Micros) bool {
	store := current.Stores[id]
	if !store.Evicted {
		return false
	}
	for _, other := range current.StoresAt(store.Peer) {
		if _, live := t.Incarnation(current, other, now); live && other != id {
			return true
		}
	}
	return false
}

// Registration is what has to be written down of a store that sent a heartbeat; false when the
// state says it already.
func Registration(current *state.State, h registration.Heartbeat) (state.Store, bool) {
	store := state.Store{ID: h.ID, Zone: h.Zone, Peer: h.Peer, Name: h.Name, Incarnation: h.Incarnation}
	known, isRegistered := current.Stores[h.ID]
	isUnchanged := known.Peer == store.Peer && known.Zone == store.Zone && known.Name == store.Name && known.Incarnation == store.Incarnation
	return store, !isRegistered || known.Evicted || !isUnchanged
}

// CompletedShards are the assignments, by shard, that become complete by a primary's report that
// every member of its group holds the shard. A report of another epoch or incarnation counts
// for nothing.
func CompletedShards(current *state.State, h registration.Heartbeat) map[int]replication.Assignment {
	completed := map[int]replication.Assignment{}
	primary := replication.Member{ID: h.ID, Incarnation: h.Incarnation}
	for shard, epoch := range h.Ready {
		if shard < 0 || shard >= len(current.Shards) {
			continue
		}
		assignment := current.Shards[shard]
		if assignment.Epoch == epoch && !assignment.Complete && assignment.Primary == primary {
			completed[shard] = assignment.Completed()
		}
	}
	return completed
}
