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

// announcer tells when the next announcement is due: at once after a change of the shards that
// this store serves, and after a change of its position not more often than the settings allow.
type announcer struct {
	positionChanged bool // since the last announcement
	shardsChanged   bool
	seq             uint64
	lastAt          clock.Micros
}

// minAnnounceInterval is the shortest time between two announcements, whatever changed.
const minAnnounceInterval = 15 * clock.Millisecond

// requestPositionAnnouncement makes an announcement of a new position due.
func (a *announcer) requestPositionAnnouncement() { a.positionChanged = true }

// requestShardAnnouncement makes an announcement of the shards served here due: readers don't find these
// until then.
func (a *announcer) requestShardAnnouncement() { a.shardsChanged = true }

// beginIfDue begins an announcement if one is due, and tells whether it is.
func (a *announcer) beginIfDue(now, positionInterval clock.Micros) bool {
	interval := positionInterval
	if a.shardsChanged {
		interval = min(interval, minAnnounceInterval)
	}
	isFirst := a.seq == 0
	if !a.positionChanged && !a.shardsChanged || !isFirst && now < a.lastAt+interval {
		return false
	}
	a.positionChanged, a.shardsChanged = false, false
	a.lastAt = now
	a.seq++
	return true
}

// announce publishes to the reading daemons, when it is due, this writer's persisted-up-to
// position and the shards that it serves (docs/DESIGN.md §6.5).
func (s *Store) announce(now clock.Micros) {
	if s.identity.Writer == 0 || !s.announcer.beginIfDue(now, s.settings.AnnounceEvery) {
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
	if local.ownPositionAtTakeover > 0 {
		formerWriters[s.identity.Writer] = local.ownPositionAtTakeover
	}
	return token.OwnedShard{
		Shard:         local.index,
		Epoch:         group.Epoch,
		LastPositions: formerWriters,
		Ownerships:    slices.Clone(local.state.Ownerships),
	}
}
