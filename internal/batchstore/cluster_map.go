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

// This file applies the cluster map, which assigns the shards that this store is the primary or a
// replica of (docs/DESIGN.md §6.1, §6.6).

// ClusterMap returns the latest map of stores and shards that this store has received.
func (s *Store) ClusterMap() state.Map { return s.clusterMap }

// HasClusterMap reports whether the store has received a map since its start.
func (s *Store) HasClusterMap() bool { return s.clusterMap.Seq > 0 }

// UpdateReceived delivers an update from gossip.
type UpdateReceived struct{ Update machine.Update }

// Apply handles a cluster map or another writer's announcement.
func (u UpdateReceived) Apply(s *Store, now clock.Micros) {
	switch {
	case u.Update.Key == state.MapKey:
		s.handleMap(u.Update.Value, now)
	case strings.HasPrefix(u.Update.Key, token.KeyPrefix):
		s.handleAnnouncement(u.Update.Value)
	}
}

// handleMap applies a map of this store's fleet if it is newer than the previous one.
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
	s.voidLeasesOfEndedIncarnations(previous)
	for shardIndex, assignment := range s.clusterMap.Shards {
		s.reconcile(shardIndex, assignment, now)
	}
}

// member identifies this store as a member of replication groups.
func (s *Store) member() replication.Member {
	return replication.Member{ID: s.self.ID, Incarnation: s.self.Incarnation}
}

// handleAnnouncement finishes the orphaned positions of shards that have moved to the announcing
// writer. A writer that serves a shard under a later epoch has decided which of their results are
// part of the shard.
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

// voidLeasesOfEndedIncarnations voids the leases that this store granted to incarnations that have
// ended. A store that restarted has a new incarnation, and the former one can no longer start any work
// (docs/DESIGN.md §4.4).
func (s *Store) voidLeasesOfEndedIncarnations(previous state.Map) {
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

// transition is the action that a store takes for a shard when it receives the shard's assignment.
type transition int

const (
	// ignoreAssignment: the assignment is empty, or older than the epoch that this store follows.
	ignoreAssignment transition = iota
	// continueEpoch: the epoch is unchanged, but the group may have been recorded as complete.
	continueEpoch
	becomePrimary
	becomeReplica
	// releaseShard ends any role but keeps the data, which may be needed to recover the shard.
	releaseShard
	// dropShard also deletes the data, because another, complete group has it.
	dropShard
)

// transitionFor returns the transition of a member that receives an assignment and follows
// currentEpoch of the shard.
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

// reconcile brings this store's role in a shard in line with the shard's assignment.
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
		s.announcer.requestShardAnnouncement()
	case releaseShard:
		s.groups.StepDown(group.Unit, assignment.Epoch, now)
	case dropShard:
		s.groups.Drop(group.Unit, assignment.Epoch, now)
	}
}

// handleSameEpoch starts serving once the cores have recorded the group as complete, or drops the data
// if this store need not keep it for the complete group.
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

// takeOver makes this store the shard's primary. It starts serving once every member has the state and
// the cores have recorded the group as complete (handleSameEpoch).
func (s *Store) takeOver(group *replication.Group, assignment replication.Assignment, now clock.Micros) {
	s.Takeovers++
	s.Emit(machine.LogEvent{Event: ShardOwned{
		Shard:      shardOfUnit(group.Unit),
		Epoch:      assignment.Epoch,
		Replicas:   assignment.IDs()[1:],
		FormerRole: group.Role.String(),
	}})
	s.groups.BecomePrimary(group.Unit, assignment.Epoch, s.peerAddresses(assignment.Replicas), now)
	s.announcer.requestShardAnnouncement()
}

// peerAddresses returns the addresses of the given members of a group.
func (s *Store) peerAddresses(members []replication.Member) []string {
	var peers []string
	for _, member := range members {
		peers = append(peers, s.clusterMap.Stores[member.ID].Peer)
	}
	return peers
}

// startServing starts running the shard's items and listing their results. New positions are higher than
// all positions in the shard, so that each ownership span is above the previous one.
func (s *Store) startServing(group *replication.Group, now clock.Micros) {
	local := s.shard(group.Unit)
	local.ownPositionAtTakeover = local.state.LastPositions[s.identity.Writer]
	s.unconfirmedReleases.takeUnit(group.Unit) // every member has this state
	s.positions.RaiseAbove(local.state.HighestPosition())
	s.reservePositions()
	s.finishOrphans(local.index, group.Epoch)
	s.announcer.requestShardAnnouncement()
	s.startShardItems(group.Unit)
	s.Emit(machine.LogEvent{Event: ShardServing{
		Shard:         local.index,
		Epoch:         group.Epoch,
		FirstPosition: s.positions.Next(),
	}})
	s.listPendingResults(now)
}
