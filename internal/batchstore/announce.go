package batchstore

import (
	"encoding/json"
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// announcer tells when the next announcement is due: soon after something changed, but not
// more often than the settings allow.
type announcer struct {
	requested bool // something changed since the last announcement
	seq       uint64
	notBefore clock.Micros
}

// request makes an announcement due as soon as it may be.
func (a *announcer) request() { a.requested = true }

// begin begins an announcement if one is due, and tells whether it is.
func (a *announcer) begin(now, interval clock.Micros) bool {
	if !a.requested || now < a.notBefore {
		return false
	}
	a.requested = false
	a.notBefore = now + interval
	a.seq++
	return true
}

// announce publishes to the reading daemons, when it is due, this writer's persisted-up-to
// position and the shards that it serves (docs/DESIGN.md §6.5).
func (s *Store) announce(now clock.Micros) {
	if s.identity.Writer == 0 || !s.announcer.begin(now, s.settings.AnnounceEvery) {
		return
	}
	value, _ := json.Marshal(s.announcement())
	s.Emit(machine.Publish{Update: machine.Update{
		Key:   token.Key(s.identity.Writer),
		Epoch: s.self.Incarnation,
		Seq:   s.announcer.seq,
		Value: value,
	}})
}

func (s *Store) announcement() token.Announcement {
	announcement := token.Announcement{
		Writer:        s.identity.Writer,
		Store:         s.self.ID,
		Peer:          s.self.Peer,
		PersistedUpTo: s.positions.PersistedUpTo(),
	}
	for _, group := range s.groups.All() {
		if group.Role == replication.Serving {
			announcement.Shards = append(announcement.Shards, s.announcedShard(group))
		}
	}
	return announcement
}

func (s *Store) announcedShard(group *replication.Group) token.OwnedShard {
	local := s.shard(group.Unit)
	formerWriters := maps.Clone(local.state.LastPositions)
	delete(formerWriters, s.identity.Writer)
	return token.OwnedShard{
		Shard:         local.index,
		Epoch:         group.Epoch,
		LastPositions: formerWriters,
		Ownerships:    slices.Clone(local.state.Ownerships),
	}
}
