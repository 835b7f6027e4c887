package batchstore

import (
	"encoding/json"
	"strings"

	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file follows the map: which shards this store leads or replicates (DESIGN §6.1, §6.6).

// Persisted is the disk's word.
type Persisted struct{ Token uint64 }

// Apply passes the word on to the pair.
func (s Persisted) Apply(k *Store, now clock.Micros) {
	delete(k.writesInFlight, s.Token)
	k.groups.Persisted(s.Token, now)
	k.listPendingResults(now)
}

// Message is a message that came in.
type Message struct {
	From string
	Body any
}

// Apply takes the pair's messages and the core's welcome.
func (l Message) Apply(k *Store, now clock.Micros) {
	if k.ignoresWhileUnwritable(l.Body) || k.groups.HandleMessage(l.From, l.Body, now) {
		return
	}
	if rejection, ok := l.Body.(RegistrationRejected); ok && rejection.ID == k.self.ID && rejection.Incarnation == k.self.Incarnation {
		k.Emit(machine.Halt{Err: errs.New(errs.WrongFolder, "start with an empty data folder, which the fleet fills from the pairs, or correct -seeds", "this data folder does not belong here: %s", rejection.Reason)})
		return
	}
	if registered, ok := l.Body.(Registered); ok && registered.Writer > 0 {
		if k.fleet != "" && k.fleet != registered.Fleet {
			k.Emit(machine.LogEvent{Event: ForeignCoreIgnored{Peer: l.From, Fleet: registered.Fleet, Remedy: "check -seeds"}})
			return
		}
		if k.writer == 0 {
			k.fleet, k.writer = registered.Fleet, registered.Writer
			body, _ := json.Marshal(registration{k.fleet, k.writer})
			k.groups.Persist([]machine.Record{{Unit: unitSelf, Kind: kindWriter, Body: body}}, nil)
			k.reservePositions()
			k.announceNeeded = true
		}
	}
}

func (k *Store) reservePositions() {
	wanted := k.positions.NextReservation()
	if wanted == 0 || k.reserving || k.writer == 0 {
		return
	}
	k.reserving = true
	k.groups.Persist([]machine.Record{{Unit: unitSelf, Kind: kindReserved, Seq: uint64(wanted)}}, func(now clock.Micros) {
		k.reserving = false
		k.positions.ConfirmReservation(wanted)
		k.listPendingResults(now)
	})
}

// CorePeers tells the store the cores' addresses.
type CorePeers struct{ Peers []string }

// Apply notes them.
func (c CorePeers) Apply(k *Store, _ clock.Micros) { k.cores = c.Peers }

// UpdateReceived is an update from gossip.
type UpdateReceived struct{ Update machine.Update }

// Apply takes a new map, and the announcements that settle orphans.
func (n UpdateReceived) Apply(k *Store, now clock.Micros) {
	if n.Update.Key == state.MapKey {
		var m state.Map
		if json.Unmarshal(n.Update.Value, &m) == nil && m.Seq > k.clusterMap.Seq && (k.fleet == "" || m.Fleet == k.fleet) {
			was := k.clusterMap
			k.clusterMap = m
			k.voidEndedLeases(was)
			k.reconcileRoles(now)
		}
		return
	}
	var a token.Announcement
	if strings.HasPrefix(n.Update.Key, token.KeyPrefix) && len(k.orphanedPositions) > 0 && json.Unmarshal(n.Update.Value, &a) == nil {
		for _, claimed := range a.Shards {
			k.finishOrphans(claimed.Shard, claimed.Epoch)
		}
	}
}

func (k *Store) finishOrphans(shard int, epoch uint64) {
	kept := k.orphanedPositions[:0]
	for _, o := range k.orphanedPositions {
		if o.shard == shard && epoch > o.epoch {
			for _, position := range o.positions {
				k.positions.Finish(position)
			}
			k.announceNeeded = true
			continue
		}
		kept = append(kept, o)
	}
	k.orphanedPositions = kept
}

// voidEndedLeases gives up the leases granted to lives that have ended: a store that has started
// again is another life, and the one before starts nothing more (DESIGN §4.4).
func (k *Store) voidEndedLeases(was state.Map) {
	for shard, assignment := range was.Shards {
		group := k.groups.Group(Unit(shard))
		if assignment.Epoch == group.Epoch && assignment.Primary.ID != k.self.ID && k.clusterMap.Stores[assignment.Primary.ID].Incarnation > assignment.Primary.Incarnation {
			k.groups.VoidGrantedLease(group.Unit)
		}
	}
}

// reconcileRoles works out the difference between the map and what this store does.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (k *Store) reconcileRoles(now clock.Micros) {
	me := replication.Member{ID: k.self.ID, Incarnation: k.self.Incarnation}
	for shard, assignment := range k.clusterMap.Shards {
		unit := Unit(shard)
		group := k.groups.Group(unit)
		switch {
		case assignment.Epoch < group.Epoch || assignment.IsZero():
		case assignment.Epoch == group.Epoch:
			if assignment.Primary == me && assignment.Complete && k.groups.CommitGroup(unit, assignment.Epoch, now) {
				k.startServing(unit, now)
			}
			if assignment.Complete && !assignment.MustKeep(k.self.ID) && group.Seq > 0 {
				k.groups.Drop(unit, assignment.Epoch, now)
			}
		case assignment.Primary == me:
			k.Takeovers++
			k.Emit(machine.LogEvent{Event: ShardOwned{
				Shard:      shard,
				Epoch:      assignment.Epoch,
				Replicas:   assignment.IDs()[1:],
				FormerRole: group.Role.String(),
			}})
			k.groups.BecomePrimary(unit, assignment.Epoch, k.peers(assignment.Replicas), now)
			k.announceNeeded = true
		case assignment.IsReplica(me):
			k.groups.BecomeReplica(unit, assignment.Epoch, k.clusterMap.Stores[assignment.Primary.ID].Peer, now)
			k.announceNeeded = true
		case assignment.MustKeep(k.self.ID):
			k.groups.Release(unit, assignment.Epoch, now)
		case assignment.Complete:
			k.groups.Drop(unit, assignment.Epoch, now)
		default:
			k.groups.Release(unit, assignment.Epoch, now)
		}
	}
}

// peers are the addresses of members of a group.
func (k *Store) peers(members []replication.Member) []string {
	var out []string
	for _, member := range members {
		out = append(out, k.clusterMap.Stores[member.ID].Peer)
	}
	return out
}

// startServing begins to confirm, list and start work under a complete pair.
func (k *Store) startServing(unit string, now clock.Micros) {
	p := k.shard(unit)
	k.positions.RaiseAbove(p.state.HighestPosition())
	k.reservePositions()
	k.finishOrphans(p.shard, k.groups.Group(unit).Epoch)
	k.announceNeeded = true
	for _, id := range sortedBatches(p.state) {
		k.startItems(unit, id)
	}
	k.Emit(machine.LogEvent{Event: ShardServing{
		Shard:         p.shard,
		Epoch:         k.groups.Group(unit).Epoch,
		FirstPosition: k.positions.Next(),
	}})
	k.listPendingResults(now)
}
