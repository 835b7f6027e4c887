package reader

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// A response may contain a position that was not announced yet. It has the effect of an announcement:
// a read that found nothing reads a second time, up to the new position.
func TestNewerPositionInResponseTriggersSecondRead(t *testing.T) {
	for name, maxWait := range map[string]clock.Micros{"a read that waits": 30 * clock.Second, "a read that doesn't wait": 0} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.read(Request{ID: "n", BatchID: "one", MaxWait: maxWait, ByIndex: true, FromIndex: 3})
			open := batchstore.ReadResponse{State: string(shard.Open), Items: 9, Index: 3, Writer: 1, PersistedUpTo: 8}
			f.calls.ReplyReceived(f.nextRequest().Token, open, nil, f.now)
			second := f.nextRequest()
			if second == nil || second.Body.(batchstore.ReadRequest).Bound[0][1] != 8 {
				t.Fatalf("after the higher position the reader sent %+v", second)
			}
			open.Results = []shard.Result{{Writer: 1, Position: 7}}
			f.calls.ReplyReceived(second.Token, open, nil, f.now)
			if len(f.pages) != 1 || len(f.pages[0].Results) != 1 {
				t.Fatalf("%+v", f.pages)
			}
		})
	}
}

// A position that is not higher, or that is of an unknown writer, is ignored.
func TestOnlyHigherPositionOfKnownWriterIsUsed(t *testing.T) {
	for _, response := range []batchstore.ReadResponse{{Writer: 1, PersistedUpTo: 5}, {Writer: 1, PersistedUpTo: 4}, {Writer: 9, PersistedUpTo: 70}, {}} {
		f := newFixture(t)
		f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true})
		response.State = string(shard.Open)
		f.calls.ReplyReceived(f.nextRequest().Token, response, nil, f.now)
		if request := f.nextRequest(); request != nil {
			t.Errorf("after the response %+v the reader sent %+v", response, request)
		}
		if got := f.positions.ReadableInShard(0)[1]; got != 5 {
			t.Errorf("after the response %+v the position is %d", response, got)
		}
	}
}

// With a PollInterval, a pending read is polled between the announcements, which may be rare.
func TestPendingReadIsPolledWithoutAnnouncement(t *testing.T) {
	f := newFixture(t)
	f.PollInterval = 200 * clock.Millisecond
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true})
	for range 3 {
		request := f.nextRequest()
		if request == nil {
			t.Fatal("the pending read was not polled")
		}
		f.calls.ReplyReceived(request.Token, batchstore.ReadResponse{State: string(shard.Open), Items: 9, Writer: 1, PersistedUpTo: 5}, nil, f.now)
		f.now += f.PollInterval - 1
		f.Tick(f.now)
		if request := f.nextRequest(); request != nil {
			t.Fatal("the pending read was polled before the interval had passed")
		}
		f.now++
		f.Tick(f.now)
	}
	if len(f.pages) > 0 || f.Pending() != 1 {
		t.Errorf("%d pages, %d pending", len(f.pages), f.Pending())
	}
}
