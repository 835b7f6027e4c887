package requests

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/errs"
)

// A batch whose route was removed is submitted again if its shard has it, with the route stored in the
// shard and the content of the new submission. The edge keeps neither of them.
func TestBatchOfRemovedRouteIsResubmittedIfAccepted(t *testing.T) {
	b := newHarness(t)
	first, _ := b.submit(SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: forwardedItems("x", "y")})
	accepted := first.Body.(batchstore.SubmitRequest).Batch
	query, response := b.submit(ResubmitForwardedBatchRequest{ID: "mine", Items: forwardedItems("x", "y")})
	if query == nil {
		t.Fatalf("the batch's status is not requested from its shard: replied %+v", response)
	}
	if status := query.Body.(batchstore.BatchStatusRequest); status.Batch != "mine" || status.By != anyTenant || status.Operator {
		t.Fatalf("unexpected status request %+v", status)
	}
	b.machineCalls.ReplyReceived(query.Token, batchstore.BatchStatus{Batch: "mine", Route: "r"}, nil, b.now)
	again, response := b.effects()
	if again == nil {
		t.Fatalf("the batch is not submitted: replied %+v", response)
	}
	if batch := again.Body.(batchstore.SubmitRequest).Batch; batch.ID != "mine" || batch.Hash != accepted.Hash || batch.Route != "r" {
		t.Fatalf("submitted %+v, want the accepted batch %+v", batch, accepted)
	}
	b.machineCalls.ReplyReceived(again.Token, batchstore.SubmitResponse{Batch: "mine", Repeated: true}, nil, b.now)
	if _, response := b.effects(); response == nil || !response.Body.(batchstore.SubmitResponse).Repeated {
		t.Fatalf("replied %+v", response)
	}
}

// A batch without a route that its shard does not have is permanently rejected. While the shard can't
// be read, the caller is told to retry.
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
