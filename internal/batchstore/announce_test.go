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
	const interval = 15 * clock.Millisecond
	var a announcer
	if a.begin(0, interval) {
		t.Fatal("announced without a request")
	}
	a.request()
	a.request()
	if !a.begin(clock.Second, interval) || a.seq != 1 {
		t.Fatal("not announced on request")
	}
	if a.begin(clock.Second+interval, interval) {
		t.Fatal("announced again without a request")
	}
	a.request()
	if a.begin(clock.Second+interval-1, interval) {
		t.Fatal("announced again too early")
	}
	if !a.begin(clock.Second+interval, interval) || a.seq != 2 {
		t.Fatal("not announced again in time")
	}
}

func TestAnnouncementNamesServedShards(t *testing.T) {
	c := newCluster(t)
	c.advance(clock.Second)
	if got := c.announced; got.Writer != 1 || got.Store != "a" || len(got.Shards) != 1 || got.Shards[0].Epoch != 1 {
		t.Fatalf("announced %+v", got)
	}
}
