package batchstore

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// sendHeartbeats sends a heartbeat to each core. The first one registers the store; later ones give the
// primary core the information that it needs to assign shards (docs/DESIGN.md §4.4).
func (s *Store) sendHeartbeats(now clock.Micros) {
	s.due.heartbeat = now + s.settings.HeartbeatEvery
	if len(s.cores) == 0 {
		return
	}
	heartbeat := s.heartbeat(now)
	for _, peer := range s.cores {
		s.Emit(machine.Send{To: peer, Body: heartbeat})
	}
}

func (s *Store) heartbeat(now clock.Micros) registration.Heartbeat {
	heartbeat := registration.Heartbeat{
		ID:          s.self.ID,
		Zone:        s.self.Zone,
		Peer:        s.self.Peer,
		Name:        s.self.Name,
		Incarnation: s.self.Incarnation,
		Fleet:       s.identity.Fleet,
		Draining:    s.draining,
		Stalled:     s.disk.checkStalled(now),
		Ready:       map[int]uint64{},
		Unreachable: map[int]registration.UnreachableReplicas{},
	}
	for _, group := range s.groups.All() {
		shardIndex := shardOfUnit(group.Unit)
		if peers := group.UnreachableReplicas(now); len(peers) > 0 {
			heartbeat.Unreachable[shardIndex] = registration.UnreachableReplicas{Epoch: group.Epoch, Peers: peers}
		}
		if group.Role == replication.AwaitingCommit {
			heartbeat.Ready[shardIndex] = group.Epoch
		}
		if group.IsPrimary() && s.shard(group.Unit).state.HasOpenBatch() {
			heartbeat.Busy = append(heartbeat.Busy, shardIndex)
		}
	}
	return heartbeat
}

// OwnedShards returns the number of shards of which this store is the primary.
func (s *Store) OwnedShards() int {
	count := 0
	for _, group := range s.groups.All() {
		if group.IsPrimary() {
			count++
		}
	}
	return count
}

// UnderReplicated returns the number of shards of which this store is the primary but which it does not
// serve yet, and how long the oldest unconfirmed entry has been waiting to become durable on all
// members, in microseconds.
func (s *Store) UnderReplicated(now clock.Micros) (shards int64, oldest clock.Micros) {
	for _, group := range s.groups.All() {
		if group.IsPrimary() && group.Role != replication.Serving {
			shards++
		}
		oldest = max(oldest, group.OldestUnconfirmed(now))
	}
	return shards, oldest
}

// Drain starts the graceful shutdown: the store accepts no new batches, and the cores move its shards
// to other stores.
type Drain struct{}

// Apply notifies the cores immediately.
func (Drain) Apply(s *Store, now clock.Micros) {
	s.draining = true
	s.sendHeartbeats(now)
}
