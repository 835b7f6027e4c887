package reader

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// A pending read by index ends as soon as there is a result, respects MinPollInterval, and never
// requests results above the announced positions.
func TestPendingReadByIndexEndsWithFirstResult(t *testing.T) {
	f := newFixture(t)
	f.MinPollInterval = 7 * clock.Millisecond
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true, FromIndex: 3, MaxBytes: 99, Limit: 10, Access: batchstore.Access{AnyTenant: true}})
	first := f.nextRequest()
	request := first.Body.(batchstore.ReadRequest)
	if !request.Indexed || request.From != 3 || request.MaxBytes != 99 || request.Limit != 10 || !request.By.AnyTenant || request.Bound[0][1] != 5 {
		t.Fatalf("request to the store is %+v", request)
	}
	f.calls.ReplyReceived(first.Token, batchstore.ReadResponse{State: string(shard.Open), Items: 9, Index: 3}, nil, f.now)
	if len(f.pages) > 0 {
		t.Fatalf("the read did not wait: %+v", f.pages)
	}
	f.announce(6)
	f.now += 6 * clock.Millisecond
	f.Tick(f.now)
	if request := f.nextRequest(); request != nil {
		t.Fatal("the read was polled again before MinPollInterval had passed")
	}
	f.now += clock.Millisecond
	f.Tick(f.now)
	second := f.nextRequest()
	if second == nil || second.Body.(batchstore.ReadRequest).Bound[0][1] != 6 {
		t.Fatalf("after the announcement the reader sent %+v", second)
	}
	f.calls.ReplyReceived(second.Token, batchstore.ReadResponse{Results: []shard.Result{{Writer: 1, Position: 6}}, State: string(shard.Open), Items: 9, Index: 3}, nil, f.now)
	if len(f.pages) != 1 || len(f.pages[0].Results) != 1 || f.pages[0].FirstIndex != 3 || f.pages[0].ItemCount != 9 || f.pages[0].NextToken != "" {
		t.Fatalf("%+v", f.pages)
	}
}

// A read of a batch that will have no more results does not wait.
func TestReadPastEndOfFinishedBatchReturnsImmediately(t *testing.T) {
	f := newFixture(t)
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true, FromIndex: 9, Access: batchstore.Access{AnyTenant: true}})
	f.calls.ReplyReceived(f.nextRequest().Token, batchstore.ReadResponse{State: string(shard.Done), Items: 9, Index: 9}, nil, f.now)
	if len(f.pages) != 1 || f.pages[0].State != string(shard.Done) || f.pages[0].ItemCount != 9 || f.Pending() != 0 {
		t.Fatalf("%+v", f.pages)
	}
}

// A read whose deadline passes ends with the outcome of one last poll.
func TestPendingReadEndsAtDeadline(t *testing.T) {
	f := newFixture(t)
	f.read(Request{ID: "n", BatchID: "one", MaxWait: clock.Second, ByIndex: true})
	empty := batchstore.ReadResponse{State: string(shard.Open), Items: 9}
	f.calls.ReplyReceived(f.nextRequest().Token, empty, nil, f.now)
	f.now += clock.Second
	f.Tick(f.now)
	if f.Pending() != 0 || len(f.pages) != 0 {
		t.Fatalf("%d reads pending, pages are %+v", f.Pending(), f.pages)
	}
	f.calls.ReplyReceived(f.nextRequest().Token, empty, nil, f.now)
	if len(f.pages) != 1 || f.pages[0].ItemCount != 9 {
		t.Fatalf("%+v", f.pages)
	}
}

// A stopping daemon ends the reads that wait, with what can be read then, and holds no further one: they were cut as it
// stopped.
func TestStoppingDaemonHoldsNoReads(t *testing.T) {
	empty := batchstore.ReadResponse{State: string(shard.Open), Items: 9}
	f := newFixture(t)
	f.read(Request{ID: "waits", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true})
	f.calls.ReplyReceived(f.nextRequest().Token, empty, nil, f.now)
	f.read(Request{ID: "polls", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true})
	polling := f.nextRequest()
	f.EndWaits(f.now)
	last := f.nextRequest()
	f.read(Request{ID: "late", BatchID: "one", MaxWait: 30 * clock.Second, ByIndex: true})
	late := f.nextRequest()
	for i, request := range []*machine.Request{polling, last, late} {
		if request == nil {
			t.Fatalf("read %d is not polled", i)
		}
		f.calls.ReplyReceived(request.Token, empty, nil, f.now)
		if len(f.pages) != i+1 || f.pages[i].ItemCount != 9 {
			t.Fatalf("after %d responses the pages are %+v", i+1, f.pages)
		}
	}
	if f.Pending() != 0 {
		t.Errorf("%d reads are still held", f.Pending())
	}
}

// A store that doesn't respond is polled again, with a longer time-out each time up to the limit.
func TestPollTimeoutDoublesAfterFailure(t *testing.T) {
	f := newFixture(t)
	f.read(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second})
	for _, want := range []clock.Micros{initialPollTimeout, 2 * initialPollTimeout, 4 * initialPollTimeout, maxPollTimeout, maxPollTimeout} {
		request := f.nextRequest()
		if request == nil || request.Timeout != want {
			t.Fatalf("the reader sent %+v, want a request with a time-out of %d us", request, want)
		}
		f.now += want
		f.calls.ReplyReceived(request.Token, nil, errs.New(errs.OutcomeUnknown, "retry", "timed out"), f.now)
		f.now += notReadyPollInterval
		f.Tick(f.now)
	}
}

// A read whose caller disconnected ends immediately.
func TestCancelReadEndsPendingRead(t *testing.T) {
	f := newFixture(t)
	var ended error
	f.Start(Request{ID: "n", BatchID: "one", MaxWait: 30 * clock.Second}, f.now, func(_ Page, err error, _ clock.Micros) { ended = err })
	f.calls.ReplyReceived(f.nextRequest().Token, batchstore.ReadResponse{State: string(shard.Open)}, nil, f.now)
	f.CancelRead(CallerDisconnected{RequestID: "n"})
	if !errs.Is(ended, errs.NotReady) || f.Pending() != 0 {
		t.Fatalf("read ended with %v, %d reads pending", ended, f.Pending())
	}
}

// A read ends within a second of its deadline even if its store never responds, so that its caller
// does not wait much longer. It used to take up to four seconds (issue 26, hypothesis C).
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
			t.Errorf("read with a MaxWait of %d us ended after %d us with %v", wait, took, ended)
		}
	}
}
