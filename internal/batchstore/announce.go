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

// announcer schedules announcements. A change of the shards that this store serves is announced after
// shardAnnounceInterval at the latest; a change of its position no more often than the settings allow.
type announcer struct {
	positionChanged bool // since the last announcement
	shardsChanged   bool
	seq             uint64
	lastAt          clock.Micros
}

// shardAnnounceInterval is the minimum interval between announcements once shards have changed, unless
// the settings allow an even shorter one.
const shardAnnounceInterval = 15 * clock.Millisecond

// requestPositionAnnouncement requests an announcement because the position has changed.
func (a *announcer) requestPositionAnnouncement() { a.positionChanged = true }

// requestShardAnnouncement requests an announcement because the shards served by this store have changed.
// Readers can't locate these shards until it is published.
func (a *announcer) requestShardAnnouncement() { a.shardsChanged = true }

// beginIfDue starts an announcement if one is due, and reports whether it did.
func (a *announcer) beginIfDue(now, positionInterval clock.Micros) bool {
	interval := positionInterval
	if a.shardsChanged {
		interval = min(interval, shardAnnounceInterval)
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

// announce publishes this writer's persisted-up-to position and the shards that it serves to the
// reading daemons, if an announcement is due (docs/DESIGN.md §6.5).
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
