package requests

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// commitRequests are a submission and an end of a batch with a deadline.
func commitRequests(deadline clock.Micros) map[string]any {
	return map[string]any{
		"submission": SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: forwardedItems("x"), Deadline: deadline},
		"end":        ForwardedBatchStatusRequest{Batch: "mine", Cancel: true, Deadline: deadline},
	}
}

// timeOut lets a request's time pass without a response, and returns what follows.
func (b *harness) timeOut(request *machine.Request) (*machine.Request, *machine.Reply) {
	b.now += request.Timeout
	b.machineCalls.ReplyReceived(request.Token, nil, errs.New(errs.OutcomeUnknown, "", "no answer in time"), b.now)
	return b.effects()
}

// Where stores never answer, the caller has its answer at its deadline, or after the usual time; until then
// the request goes to the shard's owner again, who may have changed.
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
					t.Fatalf("%s, %d: attempt %d may take %d", name, span, sent, request.Timeout)
				}
				request, response = b.timeOut(request)
			}
			if response == nil || !errs.Is(response.Err, errs.OutcomeUnknown) || b.now != deadline || sent > maxCommitAttempts {
				t.Errorf("%s, %d: after %d attempts, %d before the deadline: %+v", name, span, sent, deadline-b.now, response)
			}
			b.now = deadline - min(span, b.commitCallTimeout()) // the other request has the same time
		}
	}
}

// A store gives up before the edge does: its answer says more than a time-out.
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
			t.Errorf("%s: the store has %d, the edge waits for %d", name, timeout, request.Timeout)
		}
	}
}

// Once an attempt may have been committed, a rejection by another store is no assurance any more; an
// acknowledgement is.
func TestRejectionAfterUnknownOutcomeStaysUnknown(t *testing.T) {
	for _, kind := range []errs.Kind{errs.NotReady, errs.OverQuota, errs.UnknownRoute, errs.NotFound, errs.Busy} {
		for name, body := range commitRequests(5 * clock.Second) {
			b := newHarness(t)
			first, _ := b.submit(body)
			second, _ := b.timeOut(first)
			if second == nil {
				t.Fatalf("%s is not sent again", name)
			}
			b.machineCalls.ReplyReceived(second.Token, nil, errs.New(kind, "", "rejected"), b.now)
			if _, response := b.effects(); response == nil || !errs.Is(response.Err, errs.OutcomeUnknown) {
				t.Errorf("%s, %s: replied %+v", name, kind, response)
			}
			first, _ = b.submit(body)
			b.machineCalls.ReplyReceived(first.Token, nil, errs.New(kind, "", "rejected"), b.now)
			if _, response := b.effects(); response == nil || !errs.Is(response.Err, kind) {
				t.Errorf("%s, %s at once: replied %+v", name, kind, response)
			}
			first, _ = b.submit(body)
			second, _ = b.timeOut(first)
			b.machineCalls.ReplyReceived(second.Token, batchstore.SubmitResponse{Batch: "mine"}, nil, b.now)
			if _, response := b.effects(); response == nil || response.Err != nil {
				t.Errorf("%s, acknowledged: replied %+v", name, response)
			}
		}
	}
}
