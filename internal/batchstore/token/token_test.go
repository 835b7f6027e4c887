package token

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

func TestTokenKeepsEveryPosition(t *testing.T) {
	for _, v := range []Vector{{}, {1: 7}, {1: 7, 2: 7, 3: 7}, {1: 100, 2: 3, 5: 1 << 40}, {4: 9}} {
		token := NewToken("fleet", v)
		back, err := Parse("fleet", token.String())
		if err != nil {
			t.Fatalf("%v: %v", v, err)
		}
		for writer := 1; writer <= 8; writer++ {
			if back.At(writer) != v[writer] {
				t.Fatalf("%v: writer %d is at %d", v, writer, back.At(writer))
			}
		}
	}
}

// The token is a minimum and pairs only for the writers ahead of it.
func TestTokenNamesOnlyTheWritersAhead(t *testing.T) {
	token := NewToken("fleet", Vector{1: 50, 2: 50, 3: 61, 4: 50})
	if token.Minimum != 50 || len(token.Ahead) != 1 || token.Ahead[3] != 61 {
		t.Fatalf("token is %+v", token)
	}
}

// A writer enrolled after the token was made counts from nothing, not from the
// minimum: its rows may lie below it.
func TestAWriterAfterTheToken(t *testing.T) {
	token := NewToken("fleet", Vector{1: 1000, 2: 2000})
	back, err := Parse("fleet", token.String())
	if err != nil {
		t.Fatal(err)
	}
	if at := back.At(3); at != 0 {
		t.Fatalf("writer 3 came later and counts from %d", at)
	}
	if at := back.At(1); at != 1000 {
		t.Fatalf("writer 1 counts from %d", at)
	}
}

func TestBadTokensAreTurnedAway(t *testing.T) {
	good := NewToken("fleet", Vector{1: 5, 2: 9}).String()
	if from, err := Parse("fleet", ""); err != nil || from.At(1) != 0 {
		t.Fatalf("the empty token is the start: %v", err)
	}
	for i := range good {
		changed := []byte(good)
		if changed[i] == 'A' {
			changed[i] = 'B'
		} else {
			changed[i] = 'A'
		}
		if _, err := Parse("fleet", string(changed)); !errs.Is(err, errs.BadToken) {
			t.Fatalf("letter %d changed: %v", i, err)
		}
		if _, err := Parse("fleet", good[:i]); i > 0 && !errs.Is(err, errs.BadToken) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
	if _, err := Parse("another", good); !errs.Is(err, errs.BadToken) {
		t.Fatalf("a foreign token: %v", err)
	}
}

func said(seq uint64, a Announcement) machine.Update {
	value, _ := json.Marshal(a)
	return machine.Update{Key: Key(a.Writer), Epoch: 1, Seq: seq, Value: value}
}

func twoWriters() *PositionView {
	v := NewPositionView()
	v.SetMap([]uint64{1, 1})
	v.Receive(said(1, Announcement{Writer: 1, PersistedUpTo: 10, Shards: []OwnedShard{{Shard: 0, Epoch: 1}}}))
	v.Receive(said(1, Announcement{Writer: 2, PersistedUpTo: 3, Shards: []OwnedShard{{Shard: 1, Epoch: 1}}}))
	return v
}

// An idle writer holds nobody back: taking the minimum over all would.
func TestIdleWriter(t *testing.T) {
	v := twoWriters()
	v.Receive(said(2, Announcement{Writer: 1, PersistedUpTo: 25, Shards: []OwnedShard{{Shard: 0, Epoch: 1}}}))
	upTo, complete := v.ReadableUpTo()
	if !complete || upTo[1] != 25 || upTo[2] != 3 {
		t.Fatalf("up to %v, whole %v", upTo, complete)
	}
}

// A lost notice is mended by the next one; one that comes late changes nothing.
func TestLostAndLateNotices(t *testing.T) {
	v := twoWriters()
	v.Receive(said(4, Announcement{Writer: 1, PersistedUpTo: 40, Shards: []OwnedShard{{Shard: 0, Epoch: 1}}}))
	if v.Receive(said(3, Announcement{Writer: 1, PersistedUpTo: 30})) {
		t.Fatal("a late notice was taken")
	}
	if upTo, _ := v.ReadableUpTo(); upTo[1] != 40 {
		t.Fatalf("writer 1 is at %d", upTo[1])
	}
}

// A shard that passed on is read to the end its new writer settled, and the old
// writer's own rows elsewhere only up to its own word.
func TestPassage(t *testing.T) {
	v := twoWriters()
	v.SetMap([]uint64{2, 1})
	if _, ok := v.Owner(0); ok {
		t.Fatal("slot 0 is in passage and has an owner")
	}
	if _, complete := v.ReadableUpTo(); complete {
		t.Fatal("the feed is whole while a slot is in passage")
	}
	v.Receive(said(2, Announcement{Writer: 2, PersistedUpTo: 30, Shards: []OwnedShard{{Shard: 0, Epoch: 2, LastPositions: map[int]int64{1: 14}, Ownerships: []shard.Ownership{{Writer: 1, First: 2, Last: 14}, {Writer: 2, First: 21, Last: 29}}}, {Shard: 1, Epoch: 1}}}))
	if got := v.ReadableInShard(0); got[1] != 14 || got[2] != 30 {
		t.Fatalf("slot 0 may be read to %v", got)
	}
	upTo, complete := v.ReadableUpTo()
	if !complete || upTo[1] != 14 || upTo[2] != 30 {
		t.Fatalf("writer 1 serves nothing any more: up to %v, whole %v", upTo, complete)
	}
}

// While another shard of the old writer has not settled, the successor is held
// below its first position, so that no batch's order is turned round.
func TestSuccessorIsHeldUntilThePredecessorIsRead(t *testing.T) {
	v := NewPositionView()
	v.SetMap([]uint64{1, 1, 1})
	v.Receive(said(1, Announcement{Writer: 1, PersistedUpTo: 10, Shards: []OwnedShard{{Shard: 0, Epoch: 1}, {Shard: 1, Epoch: 1}}}))
	v.Receive(said(1, Announcement{Writer: 2, PersistedUpTo: 3, Shards: []OwnedShard{{Shard: 2, Epoch: 1}}}))
	v.SetMap([]uint64{2, 2, 1})
	v.Receive(said(2, Announcement{Writer: 2, PersistedUpTo: 30, Shards: []OwnedShard{{Shard: 0, Epoch: 2, LastPositions: map[int]int64{1: 14}, Ownerships: []shard.Ownership{{Writer: 1, First: 2, Last: 14}, {Writer: 2, First: 21, Last: 29}}}, {Shard: 2, Epoch: 1}}}))
	upTo, complete := v.ReadableUpTo()
	if complete || upTo[1] != 10 || upTo[2] != 20 {
		t.Fatalf("up to %v, whole %v; writer 2 has to stay below 21", upTo, complete)
	}
	v.Receive(said(3, Announcement{Writer: 2, PersistedUpTo: 30, Shards: []OwnedShard{{Shard: 0, Epoch: 2, LastPositions: map[int]int64{1: 14}, Ownerships: []shard.Ownership{{Writer: 1, First: 2, Last: 14}, {Writer: 2, First: 21, Last: 29}}}, {Shard: 1, Epoch: 2, LastPositions: map[int]int64{1: 12}, Ownerships: []shard.Ownership{{Writer: 1, First: 1, Last: 12}}}, {Shard: 2, Epoch: 1}}}))
	upTo, complete = v.ReadableUpTo()
	if !complete || upTo[1] != 14 || upTo[2] != 30 {
		t.Fatalf("all settled: up to %v, whole %v", upTo, complete)
	}
}

// A shard that passed on twice: the middle writer, who serves another shard, is
// held too while the first one's rows can't be read.
func TestEveryLaterTenureIsHeld(t *testing.T) {
	v := NewPositionView()
	v.SetMap([]uint64{3, 1, 2})
	v.Receive(said(1, Announcement{Writer: 1, PersistedUpTo: 10}))
	v.Receive(said(1, Announcement{Writer: 2, PersistedUpTo: 90, Shards: []OwnedShard{{Shard: 1, Epoch: 1}}}))
	v.Receive(said(1, Announcement{Writer: 3, PersistedUpTo: 200, Shards: []OwnedShard{{Shard: 0, Epoch: 3, LastPositions: map[int]int64{1: 14, 2: 40},
		Ownerships: []shard.Ownership{{Writer: 1, First: 2, Last: 14}, {Writer: 2, First: 21, Last: 40}, {Writer: 3, First: 120, Last: 130}}}}}))
	upTo, complete := v.ReadableUpTo()
	if complete || upTo[1] != 10 || upTo[2] != 20 || upTo[3] != 119 {
		t.Fatalf("slot 2 is in passage: up to %v, whole %v", upTo, complete)
	}
}
