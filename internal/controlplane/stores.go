package controlplane

import (
	"fmt"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file is what the primary hears from stores: enrolment, liveness, retirement (DESIGN §6.6, §8.4).

// handleStoreHeartbeat hears a store; the primary enrols it and tells it its writer id.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (s *Core) handleStoreHeartbeat(from string, heartbeat batchstore.Heartbeat, now clock.Micros) {
	heard, ok := s.stores[heartbeat.ID]
	if reason := s.storeObjection(heartbeat, heard, ok, now); reason != "" {
		s.Emit(machine.LogEvent{Event: StoreRejected{
			Store:       heartbeat.ID,
			Peer:        heartbeat.Peer,
			Incarnation: heartbeat.Incarnation,
			Reason:      reason,
		}})
		s.Emit(machine.Send{To: from, Body: batchstore.RegistrationRejected{ID: heartbeat.ID, Incarnation: heartbeat.Incarnation, Reason: reason}})
		return
	}
	if s.isReplacedStore(heartbeat.ID, now) {
		return // a beat that was on its way when its store was replaced
	}
	if !ok || heard.heartbeat.Incarnation != heartbeat.Incarnation {
		heard.firstHeardAt = now
	}
	heard.heartbeat, heard.heardAt = heartbeat, now
	s.stores[heartbeat.ID] = heard
	if !s.IsServing() || s.state.Fleet == "" {
		return
	}
	known, enrolled := s.state.Stores[heartbeat.ID]
	if !enrolled || known.Evicted || known.Peer != heartbeat.Peer || known.Zone != heartbeat.Zone || known.Name != heartbeat.Name || known.Incarnation != heartbeat.Incarnation {
		if !s.hasQueuedChange(func(e state.Entry) bool {
			put, ok := e.(state.RegisterStore)
			return ok && put.Store.ID == heartbeat.ID
		}) {
			s.propose(change{entry: state.RegisterStore{Store: state.Store{ID: heartbeat.ID, Zone: heartbeat.Zone, Peer: heartbeat.Peer, Name: heartbeat.Name, Incarnation: heartbeat.Incarnation}}}, now)
		}
		return
	}
	if s.inFlight == nil {
		s.Emit(machine.Send{To: from, Body: batchstore.Registered{Fleet: s.state.Fleet, Writer: known.Writer, Seq: s.state.Seq}})
	}
	s.commitReadyShards(heartbeat, now)
}

// storeObjection tells why a beat is not from the store it names: another process with
// the same identity lives elsewhere, or a newer life was heard before. Its disk
// would be taken for the trusted one.
func (s *Core) storeObjection(heartbeat batchstore.Heartbeat, heard storeContact, known bool, now clock.Micros) string {
	if heartbeat.Fleet != "" && s.vote.Fleet != "" && heartbeat.Fleet != s.vote.Fleet {
		return fmt.Sprintf("it is of fleet %s, this is %s", heartbeat.Fleet, s.vote.Fleet)
	}
	if known && heard.heartbeat.Peer != heartbeat.Peer && now-heard.heardAt < s.set.StoreTimeout/2 {
		return "a store of the same identity lives at " + heard.heartbeat.Peer
	}
	if newest := s.state.Stores[heartbeat.ID].Incarnation; s.IsServing() && heartbeat.Incarnation < newest {
		return fmt.Sprintf("life %d of this store was heard, this is life %d: the folder is an old copy", newest, heartbeat.Incarnation)
	}
	return ""
}

// isReplacedStore tells whether a store is struck and another one lives at its address.
func (s *Core) isReplacedStore(id string, now clock.Micros) bool {
	store := s.state.Stores[id]
	if !store.Evicted {
		return false
	}
	for _, other := range s.state.StoresAt(store.Peer) {
		if _, living := s.storeIncarnation(other, now); living && other != id {
			return true
		}
	}
	return false
}

// commitReadyShards writes down which pairs are whole.
func (s *Core) commitReadyShards(heartbeat batchstore.Heartbeat, now clock.Micros) {
	if len(heartbeat.Ready) == 0 || s.hasQueuedChange(assignsShards) {
		return
	}
	done := map[int]replication.Assignment{}
	for shard, epoch := range heartbeat.Ready {
		if shard < 0 || shard >= len(s.state.Shards) {
			continue
		}
		assignment := s.state.Shards[shard]
		if assignment.Epoch == epoch && !assignment.Complete && assignment.Primary.ID == heartbeat.ID && assignment.Primary.Incarnation == heartbeat.Incarnation {
			done[shard] = assignment.Completed()
		}
	}
	if len(done) > 0 {
		s.propose(change{entry: state.AssignShards{Shards: done}}, now)
	}
}

// storeIncarnation tells whether a store is living, by its beats and by what the
// others think of it: silence alone counts only after twice the time.
// One that is struck is gone at once: its shards are paired anew (DESIGN §3.4).
func (s *Core) storeIncarnation(id string, now clock.Micros) (uint64, bool) {
	heard, ok := s.stores[id]
	if !ok || s.state.Stores[id].Evicted {
		return 0, false
	}
	unreachable := now - heard.heardAt
	if unreachable > 2*s.set.StoreTimeout || (unreachable > s.set.StoreTimeout && s.suspects[id]) {
		return 0, false
	}
	return heard.heartbeat.Incarnation, true
}

// FreshnessAdvanced tells up to when this daemon's updates include what most of the roll knew.
type FreshnessAdvanced struct{ At clock.Micros }

// Apply notes it.
func (f FreshnessAdvanced) Apply(s *Core, _ clock.Micros) { s.freshUntil = max(s.freshUntil, f.At) }

// hasQuorumContact tells whether this core hears most of the roll: only then may it take
// somebody off it. Before the first configuration there is nothing to keep apart. One that has
// served for long without hearing most of the roll takes those it does not hear for
// lost: otherwise a fleet that lost most of it at once would never come back.
func (s *Core) hasQuorumContact(now clock.Micros) bool {
	return !s.state.Configured() || now-s.freshUntil <= s.set.MaxStaleness || now-max(s.freshUntil, s.servingSince) > s.set.AssumeLostAfter
}

// evictUnreachableStores takes a store off the roll that has been silent for long and that no shard
// depends on, so that lost ones do not come to be half of those who count.
func (s *Core) evictUnreachableStores(now clock.Micros) {
	if !s.hasQuorumContact(now) || !s.state.Configured() || now-s.servingSince < s.set.EvictAfter {
		return
	}
	for _, id := range sortedIDs(s.state.Stores) {
		store := s.state.Stores[id]
		if store.Evicted || store.Retired || now-s.stores[id].heardAt < s.set.EvictAfter || s.dependentShards(id) > 0 {
			continue
		}
		store.Evicted = true
		if !s.hasQueuedChange(func(e state.Entry) bool { put, ok := e.(state.RegisterStore); return ok && put.Store.ID == id }) {
			s.Emit(machine.LogEvent{Event: StoreEvicted{Store: id}})
			s.propose(change{entry: state.RegisterStore{Store: store}}, now)
		}
	}
}

// readOnlyTimeout is how long an ask that changes nothing may wait for its turn.
const readOnlyTimeout = 2 * clock.Second

// retire takes in an ask to retire a store; it is judged at its turn.
func (s *Core) retire(call uint64, request RetireRequest, now clock.Micros) {
	if !s.IsServing() {
		s.rejectNotPrimary(call)
		return
	}
	if request.ReadOnly && request.Timeout == 0 {
		request.Timeout = readOnlyTimeout
	}
	s.propose(change{call: call, deadline: now + request.Timeout, retire: &pendingRetire{request}}, now)
}

// pendingRetire is an ask to retire a store that waits for its turn: two that come
// at once are judged one after the other.
type pendingRetire struct{ request RetireRequest }

// decide marks a store as retiring, where the fleet can do without it (DESIGN §8.4, §12.7);
// nil where there is nothing to change.
func (p pendingRetire) decide(s *Core, now clock.Micros) (state.Entry, string, error) {
	store, known := s.state.Stores[p.request.ID]
	if p.request.ID == "" {
		if store, known = s.state.StoreNamed(p.request.Name); !known {
			return nil, "", errs.New(errs.NotFound, "list the stores to see the names there are", "no store is called %q", p.request.Name)
		}
	}
	if !known {
		return nil, "", errs.New(errs.NotFound, "list the stores to see the ids there are", "no store %q is enrolled", p.request.ID)
	}
	if p.request.ReadOnly || store.Retiring != p.request.Cancel {
		return nil, store.ID, nil
	}
	if !p.request.Cancel {
		if err := s.checkStoresSuffice(store.ID, now); err != nil {
			return nil, "", err
		}
	}
	return state.Retire{ID: store.ID, Cancel: p.request.Cancel}, store.ID, nil
}

// checkStoresSuffice refuses a retirement that would leave fewer stores than a shard has
// copies, or too few zones.
func (s *Core) checkStoresSuffice(id string, now clock.Micros) error {
	remaining, zones := 0, map[string]bool{}
	for _, other := range s.eligibleStores(now) {
		if other != id {
			remaining++
			zones[s.state.Stores[other].Zone] = true
		}
	}
	copies := s.shardCopies()
	if remaining >= copies && len(zones) >= min(s.set.ShardZones, copies) {
		return nil
	}
	return errs.New(errs.Rejected, "add a store first, in another zone if need be, or wait until those that are down are back",
		"without store %s there are %d living stores in %d zone(s); %d copies need %d stores in %d zone(s)", id, remaining, len(zones), copies, copies, min(s.set.ShardZones, copies))
}
