package reader

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// A page that tells a position that was not announced yet is as good as an announcement: a read that
// found nothing reads once more, up to there.
func TestNewerPositionInResponseTriggersSecondRead(t *testing.T) {
	for name, maxWait := range map[string]clock.Micros{"a read that waits": 30 * clock.Second, "one that doesn't": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.read(Request{ID: "n", BatchID: "one", MaxWait: maxWait, ByIndex: true, FromIndex: 3})
			open := batchstore.ReadResponse{State: string(shard.Open), Items: 9, Index: 3, Writer: 1, PersistedUpTo: 8}
			f.calls.ReplyReceived(f.nextRequest().Token, open, nil, f.now)
			second := f.nextRequest()
			if second == nil || second.Body.(batchstore.ReadRequest).Bound[0][1] != 8 {
				t.Fatalf("after the new position it sent %+v", second)
			}
			open.Results = []shard.Result{{Writer: 1, Position: 7}}
			f.calls.ReplyReceived(second.Token, open, nil, f.now)
			if len(f.pages) != 1 || len(f.pages[0].Results) != 1 {
				t.Fatalf("%+v", f.pages)
			}
		})
	}
}

// A position that falls, or is another writer's, changes nothing.
func TestOnlyHigherPositionOfKnownWriterIsUsed(t *testing.T) {
	for _, response := range []batchstore.ReadResponse{{Writer: 1, PersistedUpTo: 5}, {Writer: 1, PersistedUpTo: 4}, {Writer: 9, PersistedUpTo: 70}, {}} {
		f := newFixture(t)
		f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true})
		response.State = string(shard.Open)
		f.calls.ReplyReceived(f.nextRequest().Token, response, nil, f.now)
		if request := f.nextRequest(); request != nil {
			t.Errorf("after %+v it sent %+v", response, request)
		}
		if got := f.positions.ReadableInShard(0)[1]; got != 5 {
			t.Errorf("after %+v the position is %d", response, got)
		}
	}
}

// Where stores announce seldom, a read that waits is polled in between.
func TestPendingReadIsPolledWithoutAnnouncement(t *testing.T) {
	f := newFixture(t)
	f.PollInterval = 200 * clock.Millisecond
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true})
	for range 3 {
		request := f.nextRequest()
		if request == nil {
			t.Fatal("it is not polled")
		}
		f.calls.ReplyReceived(request.Token, batchstore.ReadResponse{State: string(shard.Open), Items: 9, Writer: 1, PersistedUpTo: 5}, nil, f.now)
		f.now += f.PollInterval - 1
		f.Tick(f.now)
		if request := f.nextRequest(); request != nil {
			t.Fatal("it is polled too soon")
		}
		f.now++
		f.Tick(f.now)
	}
	if len(f.pages) > 0 || f.Pending() != 1 {
		t.Errorf("%d pages, %d pending", len(f.pages), f.Pending())
	}
}
