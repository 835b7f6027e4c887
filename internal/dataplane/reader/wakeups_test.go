package reader

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// A pending read by index ends as soon as there is a result, polls no sooner than it
// may, and never asks for more than was announced.
func TestPendingReadByIndexEndsWithFirstResult(t *testing.T) {
	f := newFixture(t)
	f.MinPollInterval = 7 * clock.Millisecond
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true, FromIndex: 3, MaxBytes: 99, Limit: 10, Access: batchstore.Access{AnyTenant: true}})
	first := f.nextRequest()
	request := first.Body.(batchstore.ReadRequest)
	if !request.Indexed || request.From != 3 || request.MaxBytes != 99 || request.Limit != 10 || !request.By.AnyTenant || request.Bound[0][1] != 5 {
		t.Fatalf("the store was asked %+v", request)
	}
	f.calls.ReplyReceived(first.Token, batchstore.ReadResponse{State: string(shard.Open), Items: 9, Index: 3}, nil, f.now)
	if len(f.pages) > 0 {
		t.Fatalf("it did not wait: %+v", f.pages)
	}
	f.announce(6)
	f.now += 6 * clock.Millisecond
	f.Tick(f.now)
	if request := f.nextRequest(); request != nil {
		t.Fatal("it polled again too soon")
	}
	f.now += clock.Millisecond
	f.Tick(f.now)
	second := f.nextRequest()
	if second == nil || second.Body.(batchstore.ReadRequest).Bound[0][1] != 6 {
		t.Fatalf("after the announcement it sent %+v", second)
	}
	f.calls.ReplyReceived(second.Token, batchstore.ReadResponse{Results: []shard.Result{{Writer: 1, Position: 6}}, State: string(shard.Open), Items: 9, Index: 3}, nil, f.now)
	if len(f.pages) != 1 || len(f.pages[0].Results) != 1 || f.pages[0].FirstIndex != 3 || f.pages[0].ItemCount != 9 || f.pages[0].NextToken != "" {
		t.Fatalf("%+v", f.pages)
	}
}

// A batch that will have no more results is reported at once.
func TestReadPastEndOfFinishedBatchReturnsImmediately(t *testing.T) {
	f := newFixture(t)
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true, FromIndex: 9, Access: batchstore.Access{AnyTenant: true}})
	f.calls.ReplyReceived(f.nextRequest().Token, batchstore.ReadResponse{State: string(shard.Done), Items: 9, Index: 9}, nil, f.now)
	if len(f.pages) != 1 || f.pages[0].State != string(shard.Done) || f.pages[0].ItemCount != 9 || f.Pending() != 0 {
		t.Fatalf("%+v", f.pages)
	}
}

// A read whose time is up ends with what there is then.
func TestPendingReadEndsAtDeadline(t *testing.T) {
	f := newFixture(t)
	f.read(Request{ID: "n", BatchID: "one", MaxWait: clock.Second, ByIndex: true})
	empty := batchstore.ReadResponse{State: string(shard.Open), Items: 9}
	f.calls.ReplyReceived(f.nextRequest().Token, empty, nil, f.now)
	f.now += clock.Second
	f.Tick(f.now)
	if f.Pending() != 0 || len(f.pages) != 0 {
		t.Fatalf("%d pending, pages %+v", f.Pending(), f.pages)
	}
	f.calls.ReplyReceived(f.nextRequest().Token, empty, nil, f.now)
	if len(f.pages) != 1 || f.pages[0].ItemCount != 9 {
		t.Fatalf("%+v", f.pages)
	}
}

// A store that doesn't answer is asked again, with a longer time-out each time.
func TestPollTimeoutDoublesAfterFailure(t *testing.T) {
	f := newFixture(t)
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second})
	for _, want := range []clock.Micros{initialPollTimeout, 2 * initialPollTimeout, 4 * initialPollTimeout, maxPollTimeout, maxPollTimeout} {
		request := f.nextRequest()
		if request == nil || request.Timeout != want {
			t.Fatalf("sent %+v, not a request with a time-out of %d us", request, want)
		}
		f.now += want
		f.calls.ReplyReceived(request.Token, nil, errs.New(errs.OutcomeUnknown, "retry", "timed out"), f.now)
		f.now += notReadyPollInterval
		f.Tick(f.now)
	}
}

// The read of a caller that disconnected ends at once.
func TestCancelReadEndsPendingRead(t *testing.T) {
	f := newFixture(t)
	var ended error
	f.Start(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second}, f.now, func(_ Page, err error, _ clock.Micros) { ended = err })
	f.calls.ReplyReceived(f.nextRequest().Token, batchstore.ReadResponse{State: string(shard.Open)}, nil, f.now)
	f.CancelRead(CallerDisconnected{RequestID: "n"})
	if !errs.Is(ended, errs.NotReady) || f.Pending() != 0 {
		t.Fatalf("ended with %v, %d pending", ended, f.Pending())
	}
}

// A read ends within a second of its deadline, also where its store never answers: its caller does
// not wait much longer. (Issue 26, hypothesis C: it took up to four seconds.)
func TestReadEndsWithinOneSecondOfDeadline(t *testing.T) {
	for _, wait := range []clock.Micros{0, 400 * clock.Millisecond, clock.Second, 5 * clock.Second} {
		f := newFixture(t)
		began := f.now
		var ended error
		f.Start(Request{ID: "n", BatchID: "one", MaxWait: wait, ByIndex: true}, f.now, func(_ Page, err error, _ clock.Micros) { ended = err })
		var request *machine.Request
		timeoutAt := clock.Micros(0)
		for ended == nil && f.now < began+60*clock.Second {
			if sent := f.nextRequest(); sent != nil {
				request, timeoutAt = sent, f.now+sent.Timeout
			}
			f.now += 10 * clock.Millisecond
			if request != nil && f.now >= timeoutAt {
				token := request.Token
				request = nil
				f.calls.ReplyReceived(token, nil, errs.New(errs.OutcomeUnknown, "retry", "timed out"), f.now)
			}
			f.Tick(f.now)
		}
		took := f.now - began
		if !errs.Is(ended, errs.NotReady) || took < wait || took > wait+clock.Second+50*clock.Millisecond {
			t.Errorf("a read that waits for %d us ended after %d us with %v", wait, took, ended)
		}
	}
}
