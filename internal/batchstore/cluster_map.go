package batchstore

import (
	"encoding/json"
	"strings"

	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// This file follows the cluster map: which shards this store is the primary of, and which
// it replicates (docs/DESIGN.md §6.1, §6.6).

// ClusterMap is the map of stores and shards as this store knows it.
func (s *Store) ClusterMap() state.Map { return s.clusterMap }

// HasClusterMap tells whether the store has received a map since its start.
func (s *Store) HasClusterMap() bool { return s.clusterMap.Seq > 0 }

// UpdateReceived is an update from gossip.
type UpdateReceived struct{ Update machine.Update }

// Apply takes a new map, and other writers' announcements.
func (u UpdateReceived) Apply(s *Store, now clock.Micros) {
	switch {
	case u.Update.Key == state.MapKey:
		s.handleMap(u.Update.Value, now)
	case strings.HasPrefix(u.Update.Key, token.KeyPrefix):
		s.handleAnnouncement(u.Update.Value)
	}
}

// handleMap takes a map that is newer than the last, of this store's fleet.
func (s *Store) handleMap(value []byte, now clock.Micros) {
	var received state.Map
	if json.Unmarshal(value, &received) != nil || received.Seq <= s.clusterMap.Seq {
		return
	}
	if fleet := s.identity.Fleet; fleet != "" && received.Fleet != fleet {
		return
	}
	previous := s.clusterMap
	s.clusterMap = received
	s.voidEndedLeases(previous)
	for shardIndex, assignment := range s.clusterMap.Shards {
		s.reconcile(shardIndex, assignment, now)
	}
}

// member is this store as a member of replication groups.
func (s *Store) member() replication.Member {
	return replication.Member{ID: s.self.ID, Incarnation: s.self.Incarnation}
}

// handleAnnouncement finishes positions of shards that moved to the writer: by its epoch it
// has decided which of their results are part of the shard.
func (s *Store) handleAnnouncement(value []byte) {
	if !s.positions.hasOrphans() {
		return
	}
	var announcement token.Announcement
	if json.Unmarshal(value, &announcement) != nil {
		return
	}
	for _, owned := range announcement.Shards {
		s.finishOrphans(owned.Shard, owned.Epoch)
	}
}

// voidEndedLeases voids the leases that this store granted to incarnations that have ended:
// a store that restarted has another incarnation, and the one before starts nothing any
// more (docs/DESIGN.md §4.4).
func (s *Store) voidEndedLeases(previous state.Map) {
	for shardIndex, assignment := range previous.Shards {
		group := s.groups.Group(Unit(shardIndex))
		primary := assignment.Primary
		if assignment.Epoch != group.Epoch || primary.ID == s.self.ID {
			continue
		}
		if s.clusterMap.Stores[primary.ID].Incarnation > primary.Incarnation {
			s.groups.VoidGrantedLease(group.Unit)
		}
	}
}

// transition is what a store does about a shard when it learns its assignment.
type transition int

const (
	// ignoreAssignment: it is older than what this store follows, or assigns nobody.
	ignoreAssignment transition = iota
	// continueEpoch: the epoch is the same; its group may have become complete.
	continueEpoch
	becomePrimary
	becomeReplica
	// releaseShard ends any role, but keeps the data: it may be needed to recover the shard.
	releaseShard
	// dropShard also deletes the data: a complete group elsewhere has it.
	dropShard
)

// transitionFor decides what a member does about an assignment, by the epoch of the shard
// that it follows so far.
func transitionFor(self replication.Member, assignment replication.Assignment, currentEpoch uint64) transition {
	switch {
	case assignment.IsZero() || assignment.Epoch < currentEpoch:
		return ignoreAssignment
	case assignment.Epoch == currentEpoch:
		return continueEpoch
	case assignment.Primary == self:
		return becomePrimary
	case assignment.IsReplica(self):
		return becomeReplica
	case assignment.Complete && !assignment.MustKeep(self.ID):
		return dropShard
	}
	return releaseShard
}

// reconcile makes this store follow the assignment of a shard.
func (s *Store) reconcile(shardIndex int, assignment replication.Assignment, now clock.Micros) {
	group := s.groups.Group(Unit(shardIndex))
	switch transitionFor(s.member(), assignment, group.Epoch) {
	case continueEpoch:
		s.handleSameEpoch(group, assignment, now)
	case becomePrimary:
		s.takeOver(group, assignment, now)
	case becomeReplica:
		primary := s.clusterMap.Stores[assignment.Primary.ID]
		s.groups.BecomeReplica(group.Unit, assignment.Epoch, primary.Peer, now)
		s.announcer.requestForShards()
	case releaseShard:
		s.groups.StepDown(group.Unit, assignment.Epoch, now)
	case dropShard:
		s.groups.Drop(group.Unit, assignment.Epoch, now)
	}
}

// handleSameEpoch begins to serve once the cores have recorded the group as complete, or drops
// the data if the complete group does not include this store.
func (s *Store) handleSameEpoch(group *replication.Group, assignment replication.Assignment, now clock.Micros) {
	if !assignment.Complete {
		return
	}
	self := s.member()
	if assignment.Primary == self && s.groups.CommitGroup(group.Unit, assignment.Epoch, now) {
		s.startServing(group, now)
	}
	if !assignment.MustKeep(self.ID) && group.Seq > 0 {
		s.groups.Drop(group.Unit, assignment.Epoch, now)
	}
}

// takeOver makes this store the shard's primary. It serves once every member has the state
// and the cores have recorded that (handleSameEpoch).
func (s *Store) takeOver(group *replication.Group, assignment replication.Assignment, now clock.Micros) {
	s.Takeovers++
	s.Emit(machine.LogEvent{Event: ShardOwned{
		Shard:      shardOfUnit(group.Unit),
		Epoch:      assignment.Epoch,
		Replicas:   assignment.IDs()[1:],
		FormerRole: group.Role.String(),
	}})
	s.groups.BecomePrimary(group.Unit, assignment.Epoch, s.peersOf(assignment.Replicas), now)
	s.announcer.requestForShards()
}

// peersOf are the addresses of some members of a group.
func (s *Store) peersOf(members []replication.Member) []string {
	var peers []string
	for _, member := range members {
		peers = append(peers, s.clusterMap.Stores[member.ID].Peer)
	}
	return peers
}

// startServing begins to list results and run items. Its positions lie above all that the
// shard has, so that each ownership span lies above the one before.
func (s *Store) startServing(group *replication.Group, now clock.Micros) {
	local := s.shard(group.Unit)
	local.formerOwnPosition = local.state.LastPositions[s.identity.Writer]
	s.unconfirmedReleases.takeUnit(group.Unit) // every member has this state
	s.positions.RaiseAbove(local.state.HighestPosition())
	s.reservePositions()
	s.finishOrphans(local.index, group.Epoch)
	s.announcer.requestForShards()
	s.startShardItems(group.Unit)
	s.Emit(machine.LogEvent{Event: ShardServing{
		Shard:         local.index,
		Epoch:         group.Epoch,
		FirstPosition: s.positions.Next(),
	}})
	s.listPendingResults(now)
}
