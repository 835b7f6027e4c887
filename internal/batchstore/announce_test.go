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

func TestAnnouncementsAreMadeOnRequestAndNotTooOften(t *testing.T) {
	const interval = 150 * clock.Millisecond
	var a announcer
	if a.begin(0, interval) {
		t.Fatal("announced without a request")
	}
	a.requestForPosition()
	a.requestForPosition()
	if !a.begin(clock.Second, interval) || a.seq != 1 {
		t.Fatal("not announced on request")
	}
	if a.begin(clock.Second+interval, interval) {
		t.Fatal("announced again without a request")
	}
	a.requestForPosition()
	if a.begin(clock.Second+interval-1, interval) {
		t.Fatal("announced again too early")
	}
	if !a.begin(clock.Second+interval, interval) || a.seq != 2 {
		t.Fatal("not announced again in time")
	}
}

// Readers learn soon of shards that move, however seldom positions are announced.
func TestShardsAreAnnouncedSoonerThanPositions(t *testing.T) {
	const interval = clock.Second
	var a announcer
	a.requestForPosition()
	a.begin(clock.Second, interval)
	a.requestForShards()
	if a.begin(clock.Second+minAnnounceInterval-1, interval) {
		t.Fatal("announced again too early")
	}
	if !a.begin(clock.Second+minAnnounceInterval, interval) {
		t.Fatal("not announced soon")
	}
	a.requestForPosition()
	if a.begin(clock.Second+2*minAnnounceInterval, interval) {
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
