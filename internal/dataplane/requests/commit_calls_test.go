package requests

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// commitRequests returns a submission and a cancellation of a batch with the given deadline.
func commitRequests(deadline clock.Micros) map[string]any {
	return map[string]any{
		"submission": SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: forwardedItems("x"), Deadline: deadline},
		"end":        ForwardedBatchStatusRequest{Batch: "mine", Cancel: true, Deadline: deadline},
	}
}

// timeOut lets a request time out and returns the resulting request or reply.
func (b *harness) timeOut(request *machine.Request) (*machine.Request, *machine.Reply) {
	b.now += request.Timeout
	b.machineCalls.ReplyReceived(request.Token, nil, errs.New(errs.OutcomeUnknown, "", "no answer in time"), b.now)
	return b.effects()
}

// If stores never answer, the caller gets its answer at its deadline or after the default timeout, whichever
// is earlier. Until then the request is sent again to the shard's owner, which may have changed.
func TestCommitEndsAtDeadline(t *testing.T) {
	for _, span := range []clock.Micros{300 * clock.Millisecond, 1500 * clock.Millisecond, 4 * clock.Second, 20 * clock.Second} {
		b := newHarness(t)
		for name, body := range commitRequests(b.now + span) {
			deadline := b.now + min(span, b.commitCallTimeout())
			request, response := b.submit(body)
			sent := 0
			for request != nil {
				sent++
				if request.Timeout <= 0 || b.now+request.Timeout > deadline {
					t.Fatalf("%s with deadline in %d us: attempt %d has a timeout of %d us", name, span, sent, request.Timeout)
				}
				request, response = b.timeOut(request)
			}
			if response == nil || !errs.Is(response.Err, errs.OutcomeUnknown) || b.now != deadline || sent > maxCommitAttempts {
				t.Errorf("%s with deadline in %d us: after %d attempts, %d us before the deadline, replied %+v", name, span, sent, deadline-b.now, response)
			}
			b.now = deadline - min(span, b.commitCallTimeout()) // the other request starts at the same time
		}
	}
}

// A store times out before the edge does, because its answer is more informative than a timeout.
func TestStoreTimesOutBeforeEdge(t *testing.T) {
	b := newHarness(t)
	for name, body := range commitRequests(b.now + 2*clock.Second) {
		request, _ := b.submit(body)
		timeout := clock.Micros(0)
		switch r := request.Body.(type) {
		case batchstore.SubmitRequest:
			timeout = r.Timeout
		case batchstore.EndRequest:
			timeout = r.Timeout
		}
		if timeout <= 0 || timeout >= request.Timeout {
			t.Errorf("%s: the store's timeout is %d us, not below the edge's of %d us", name, timeout, request.Timeout)
		}
	}
}

// Once an attempt may have been committed, a rejection by another store no longer proves that nothing was
// committed, so the outcome stays unknown. An acknowledgement is still conclusive.
func TestRejectionAfterUnknownOutcomeStaysUnknown(t *testing.T) {
	for _, kind := range []errs.Kind{errs.NotReady, errs.OverQuota, errs.UnknownRoute, errs.NotFound, errs.Busy} {
		for name, body := range commitRequests(5 * clock.Second) {
			b := newHarness(t)
			first, _ := b.submit(body)
			second, _ := b.timeOut(first)
			if second == nil {
				t.Fatalf("%s is not sent again after a timeout", name)
			}
			b.machineCalls.ReplyReceived(second.Token, nil, errs.New(kind, "", "rejected"), b.now)
			if _, response := b.effects(); response == nil || !errs.Is(response.Err, errs.OutcomeUnknown) {
				t.Errorf("%s, %s after an unknown outcome: replied %+v", name, kind, response)
			}
			first, _ = b.submit(body)
			b.machineCalls.ReplyReceived(first.Token, nil, errs.New(kind, "", "rejected"), b.now)
			if _, response := b.effects(); response == nil || !errs.Is(response.Err, kind) {
				t.Errorf("%s, %s to the first attempt: replied %+v", name, kind, response)
			}
			first, _ = b.submit(body)
			second, _ = b.timeOut(first)
			b.machineCalls.ReplyReceived(second.Token, batchstore.SubmitResponse{Batch: "mine"}, nil, b.now)
			if _, response := b.effects(); response == nil || response.Err != nil {
				t.Errorf("%s, acknowledged after an unknown outcome: replied %+v", name, response)
			}
		}
	}
}
