package reader

import (
	"encoding/json"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// fixture is a reader with one shard, whose store is the test.
type fixture struct {
	*Reader
	t     *testing.T
	calls *machine.Calls
	now   clock.Micros
	seq   uint64
	pages []Page
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, calls: machine.NewCalls(), now: clock.Second}
	f.Reader = New(f.calls)
	m, _ := json.Marshal(state.Map{Fleet: "f", Seq: 1, Shards: []replication.Assignment{{Epoch: 1}}})
	f.Receive(machine.Update{Key: state.MapKey, Seq: 1, Value: m}, f.now)
	f.announce(5)
	return f
}

// announce is the writer's word.
func (f *fixture) announce(upTo int64) {
	f.seq++
	value, _ := json.Marshal(token.Announcement{Writer: 1, Peer: "keeper", PersistedUpTo: upTo, Shards: []token.OwnedShard{{Shard: 0, Epoch: 1}}})
	f.Receive(machine.Update{Key: token.Key(1), Epoch: 1, Seq: f.seq, Value: value}, f.now)
}

func (f *fixture) read(request Request) {
	f.Start(request, f.now, func(page Page, err error, _ clock.Micros) {
		if err != nil {
			f.t.Fatal(err)
		}
		f.pages = append(f.pages, page)
	})
}

// nextRequest is what the store is asked; nil for nothing.
func (f *fixture) nextRequest() *machine.Request {
	for _, effect := range f.calls.Drain() {
		if request, ok := effect.(machine.Request); ok {
			return &request
		}
	}
	return nil
}

// A held read by index ends as soon as there is a row, asks again no sooner than
// it may, and never asks past the last position seen.
func TestAPendingReadByIndex(t *testing.T) {
	f := newFixture(t)
	f.MinPollInterval = 7 * clock.Millisecond
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true, FromIndex: 3, MaxBytes: 99, Limit: 10, AnyTenant: true})
	first := f.nextRequest()
	request := first.Body.(batchstore.ReadRequest)
	if !request.Indexed || request.From != 3 || request.MaxBytes != 99 || request.Limit != 10 || !request.AnyTenant || request.Bound[0][1] != 5 {
		t.Fatalf("the keeper was asked %+v", request)
	}
	f.calls.ReplyReceived(first.Token, batchstore.ReadResponse{State: string(shard.Open), Items: 9, Index: 3}, nil, f.now)
	if len(f.pages) > 0 {
		t.Fatalf("it did not wait: %+v", f.pages)
	}
	f.announce(6)
	f.now += 6 * clock.Millisecond
	f.Tick(f.now)
	if request := f.nextRequest(); request != nil {
		t.Fatal("it asked again too soon")
	}
	f.now += clock.Millisecond
	f.Tick(f.now)
	second := f.nextRequest()
	if second == nil || second.Body.(batchstore.ReadRequest).Bound[0][1] != 6 {
		t.Fatalf("after the writer's word it asked %+v", second)
	}
	f.calls.ReplyReceived(second.Token, batchstore.ReadResponse{Results: []shard.Result{{Writer: 1, Position: 6}}, State: string(shard.Open), Items: 9, Index: 3}, nil, f.now)
	if len(f.pages) != 1 || len(f.pages[0].Results) != 1 || f.pages[0].FirstIndex != 3 || f.pages[0].ItemCount != 9 || f.pages[0].NextToken != "" {
		t.Fatalf("%+v", f.pages)
	}
}

// A settled list's end is told at once.
func TestTheEndOfACompleteListIsReportedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true, FromIndex: 9, AnyTenant: true})
	f.calls.ReplyReceived(f.nextRequest().Token, batchstore.ReadResponse{State: string(shard.Done), Items: 9, Index: 9}, nil, f.now)
	if len(f.pages) != 1 || f.pages[0].State != string(shard.Done) || f.pages[0].ItemCount != 9 || f.Pending() != 0 {
		t.Fatalf("%+v", f.pages)
	}
}
