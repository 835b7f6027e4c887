package stores

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/replication"
)

// JoinRules are the values that a store's heartbeat is checked against.
type JoinRules struct {
	Fleet string // this core's fleet; "" before it has one
	// NewestIncarnation is the newest incarnation that the store was registered with. It is 0 if
	// this core is not primary, because its state may be out of date.
	NewestIncarnation uint64
}

// RejectionReason returns why a heartbeat must be rejected, or "". It is rejected if it is from
// another fleet, if another process with the same identity runs elsewhere, or if a newer
// incarnation was registered. In the last two cases the disk of the process would be mistaken for
// the trusted one.
func (t *Table) RejectionReason(h registration.Heartbeat, rules JoinRules, now clock.Micros) string {
	if h.Fleet != "" && rules.Fleet != "" && h.Fleet != rules.Fleet {
		return fmt.Sprintf("the store belongs to fleet %s, this core to %s", h.Fleet, rules.Fleet)
	}
	heard, known := t.byID[h.ID]
	if known && heard.heartbeat.Peer != h.Peer && now-heard.heardAt < t.settings.Timeout/2 {
		return "a store with the same identity runs at " + heard.heartbeat.Peer
	}
	if h.Incarnation < rules.NewestIncarnation {
		return fmt.Sprintf("incarnation %d of this store was registered, the heartbeat is of incarnation %d: the data folder is an old copy", rules.NewestIncarnation, h.Incarnation)
	}
	return ""
}

// IsReplaced reports whether a store is evicted and another one runs at its address. A late
// heartbeat of such a store must not register it again.
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

// Registration returns the store to register after a heartbeat, or false if the state already has
// it unchanged.
func Registration(current *state.State, h registration.Heartbeat) (state.Store, bool) {
	store := state.Store{ID: h.ID, Zone: h.Zone, Peer: h.Peer, Name: h.Name, Incarnation: h.Incarnation}
	known, isRegistered := current.Stores[h.ID]
	isUnchanged := known.Peer == store.Peer && known.Zone == store.Zone && known.Name == store.Name && known.Incarnation == store.Incarnation
	return store, !isRegistered || known.Evicted || !isUnchanged
}

// CompletedShards returns the assignments, by shard, that become complete because their primary
// reports that every member of the group has the shard. A report of another epoch or incarnation
// is ignored.
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
