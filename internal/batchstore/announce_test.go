package batchstore

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// announcementUpdate is the update with the announcement of a writer that owns a shard.
func announcementUpdate(writer, shardIndex int, epoch uint64) UpdateReceived {
	value, _ := json.Marshal(token.Announcement{Writer: writer, Shards: []token.OwnedShard{{Shard: shardIndex, Epoch: epoch}}})
	return UpdateReceived{Update: machine.Update{Key: token.Key(writer), Value: value}}
}

func TestAnnouncementsFollowChangesAndAreRateLimited(t *testing.T) {
	const interval = 150 * clock.Millisecond
	var a announcer
	if a.beginIfDue(0, interval) {
		t.Fatal("announced without a request")
	}
	a.requestPositionAnnouncement()
	a.requestPositionAnnouncement()
	if !a.beginIfDue(clock.Second, interval) || a.seq != 1 {
		t.Fatal("not announced on request")
	}
	if a.beginIfDue(clock.Second+interval, interval) {
		t.Fatal("announced again without a request")
	}
	a.requestPositionAnnouncement()
	if a.beginIfDue(clock.Second+interval-1, interval) {
		t.Fatal("announced again too early")
	}
	if !a.beginIfDue(clock.Second+interval, interval) || a.seq != 2 {
		t.Fatal("not announced again in time")
	}
}

// Readers learn soon of shards that move, however seldom positions are announced.
func TestShardsAreAnnouncedSoonerThanPositions(t *testing.T) {
	const interval = clock.Second
	var a announcer
	a.requestPositionAnnouncement()
	a.beginIfDue(clock.Second, interval)
	a.requestShardAnnouncement()
	if a.beginIfDue(clock.Second+minAnnounceInterval-1, interval) {
		t.Fatal("announced again too early")
	}
	if !a.beginIfDue(clock.Second+minAnnounceInterval, interval) {
		t.Fatal("not announced soon")
	}
	a.requestPositionAnnouncement()
	if a.beginIfDue(clock.Second+2*minAnnounceInterval, interval) {
		t.Fatal("a position is announced as soon as shards are")
	}
}

func TestAnnouncementNamesServedShards(t *testing.T) {
	c := newCluster(t)
	c.advance(clock.Second)
	if got := c.announced; got.Writer != 1 || got.Store != "a" || len(got.Shards) != 1 || got.Shards[0].Epoch != 1 {
		t.Fatalf("announced %+v", got)
	}
}
