package batchstore

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// announcementUpdate returns the update with the announcement of a writer that owns a shard.
func announcementUpdate(writer, shardIndex int, epoch uint64) UpdateReceived {
	value, _ := json.Marshal(token.Announcement{Writer: writer, Shards: []token.OwnedShard{{Shard: shardIndex, Epoch: epoch}}})
	return UpdateReceived{Update: machine.Update{Key: token.Key(writer), Value: value}}
}

func TestAnnouncementsFollowChangesAndAreRateLimited(t *testing.T) {
	const interval = 150 * clock.Millisecond
	var a announcer
	if a.beginIfDue(0, interval) {
		t.Fatal("announced without a change")
	}
	a.requestPositionAnnouncement()
	a.requestPositionAnnouncement()
	if !a.beginIfDue(clock.Second, interval) || a.seq != 1 {
		t.Fatal("a change was not announced")
	}
	if a.beginIfDue(clock.Second+interval, interval) {
		t.Fatal("announced again without another change")
	}
	a.requestPositionAnnouncement()
	if a.beginIfDue(clock.Second+interval-1, interval) {
		t.Fatal("announced again before the interval had passed")
	}
	if !a.beginIfDue(clock.Second+interval, interval) || a.seq != 2 {
		t.Fatal("not announced again once the interval had passed")
	}
}

// Changed shards are announced within shardAnnounceInterval, even if the interval for positions is longer.
func TestShardsAreAnnouncedSoonerThanPositions(t *testing.T) {
	const interval = clock.Second
	var a announcer
	a.requestPositionAnnouncement()
	a.beginIfDue(clock.Second, interval)
	a.requestShardAnnouncement()
	if a.beginIfDue(clock.Second+shardAnnounceInterval-1, interval) {
		t.Fatal("announced again before shardAnnounceInterval had passed")
	}
	if !a.beginIfDue(clock.Second+shardAnnounceInterval, interval) {
		t.Fatal("changed shards were not announced after shardAnnounceInterval")
	}
	a.requestPositionAnnouncement()
	if a.beginIfDue(clock.Second+2*shardAnnounceInterval, interval) {
		t.Fatal("a changed position was announced after shardAnnounceInterval already")
	}
}

func TestAnnouncementNamesServedShards(t *testing.T) {
	c := newCluster(t)
	c.advance(clock.Second)
	if got := c.announced; got.Writer != 1 || got.Store != "a" || len(got.Shards) != 1 || got.Shards[0].Epoch != 1 {
		t.Fatalf("announced %+v", got)
	}
}
