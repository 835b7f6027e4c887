package requests

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/errs"
)

// A batch without a route is submitted again if its shard has it, under the route that the shard
// names and with the content that came; this edge needs to know nothing of either.
func TestBatchOfRemovedRouteIsResubmittedIfAccepted(t *testing.T) {
	b := newHarness(t)
	first, _ := b.submit(SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: forwardedItems("x", "y")})
	accepted := first.Body.(batchstore.SubmitRequest).Batch
	query, response := b.submit(ResubmitForwardedBatchRequest{ID: "mine", Items: forwardedItems("x", "y")})
	if query == nil {
		t.Fatalf("the shard isn't asked: %+v", response)
	}
	if status := query.Body.(batchstore.BatchStatusRequest); status.Batch != "mine" || status.By != anyTenant || status.Operator {
		t.Fatalf("asked %+v", status)
	}
	b.machineCalls.ReplyReceived(query.Token, batchstore.BatchStatus{Batch: "mine", Route: "r"}, nil, b.now)
	again, response := b.effects()
	if again == nil {
		t.Fatalf("it isn't submitted: %+v", response)
	}
	if batch := again.Body.(batchstore.SubmitRequest).Batch; batch.ID != "mine" || batch.Hash != accepted.Hash || batch.Route != "r" {
		t.Fatalf("submitted %+v, accepted was %+v", batch, accepted)
	}
	b.machineCalls.ReplyReceived(again.Token, batchstore.SubmitResponse{Batch: "mine", Repeated: true}, nil, b.now)
	if _, response := b.effects(); response == nil || !response.Body.(batchstore.SubmitResponse).Repeated {
		t.Fatalf("replied %+v", response)
	}
}

// A batch without a route that its shard doesn't have is rejected for good; while the shard can't
// tell, the caller is told to come back.
func TestUnknownBatchWithoutRouteIsRejected(t *testing.T) {
	for kind, want := range map[errs.Kind]errs.Kind{errs.NotFound: errs.UnknownRoute, errs.NotReady: errs.NotReady, errs.OutcomeUnknown: errs.NotReady} {
		b := newHarness(t)
		query, _ := b.submit(ResubmitForwardedBatchRequest{ID: "mine", Items: forwardedItems("x")})
		b.machineCalls.ReplyReceived(query.Token, nil, errs.New(kind, "", "%s", kind), b.now)
		if request, response := b.effects(); request != nil || response == nil || !errs.Is(response.Err, want) {
			t.Errorf("%s: requested %+v, replied %+v", kind, request, response)
		}
	}
	b := newHarness(t)
	b.expectRejected(errs.BadInput, ResubmitForwardedBatchRequest{Items: forwardedItems("x")})
}
