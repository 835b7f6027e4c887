package requests

import (
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
)

// A batch of opaque requests is submitted under its own ID for its route, and a different body under
// the same ID has a different hash.
func TestForwardedBatchIsSubmittedForItsRoute(t *testing.T) {
	b := newHarness(t)
	hashes := map[string]bool{}
	for _, bodies := range [][]string{{"x", "y"}, {"x", "y"}, {"x", "z"}} {
		request, _ := b.submit(SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: forwardedItems(bodies...)})
		if request == nil || request.To != "store" {
			t.Fatalf("requested %+v", request)
		}
		batch := request.Body.(batchstore.SubmitRequest).Batch
		if batch.ID != "mine" || batch.Tenant != "r" || batch.Route != "r" || batch.Key != "" || batch.ConfigurationVersion != 3 || len(batch.Items) != 2 || batch.Items[1].ID != "1" {
			t.Fatalf("%+v", batch)
		}
		hashes[batch.Hash] = true
		b.machineCalls.ReplyReceived(request.Token, batchstore.SubmitResponse{Batch: "mine"}, nil, b.now)
		if _, response := b.effects(); response == nil || response.Body.(batchstore.SubmitResponse).Batch != "mine" {
			t.Fatalf("replied %+v", response)
		}
	}
	if len(hashes) != 2 {
		t.Fatalf("two different batches have %d hashes, want 2", len(hashes))
	}
	b.expectRejected(errs.UnknownRoute, SubmitForwardedBatchRequest{Route: "none", ID: "mine", Items: forwardedItems("x")})
	b.expectRejected(errs.UnknownRoute, SubmitForwardedBatchRequest{Route: "chat", ID: "mine", Items: forwardedItems("x")})
	b.expectRejected(errs.UnknownRoute, SubmitForwardedBatchRequest{Route: "live", ID: "mine", Items: forwardedItems("x")})
	b.expectRejected(errs.BadInput, SubmitForwardedBatchRequest{Route: "r", Items: forwardedItems("x")})
	b.expectRejected(errs.BadInput, SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: []shard.Item{{Input: "x"}}})
}

// A tenant's batch or live request, sent with an API key, can't forward opaque requests, neither by
// its route nor by an item.
func TestTenantCallersCannotForwardRequests(t *testing.T) {
	b := newHarness(t)
	b.expectRejected(errs.UnknownRoute, SubmitBatchRequest{APIKey: "k", Route: "r", IdempotencyKey: "1", Items: []shard.Item{{Input: "x"}}})
	b.expectRejected(errs.UnknownRoute, LiveRequest{APIKey: "k", Route: "live", Input: "x"})
	b.expectRejected(errs.BadInput, SubmitBatchRequest{APIKey: "k", Route: "chat", IdempotencyKey: "1", Items: forwardedItems("x")})
	if request, response := b.submit(SubmitBatchRequest{APIKey: "k", Route: "chat", IdempotencyKey: "1", Items: []shard.Item{{Input: "x"}}}); request == nil {
		t.Fatalf("a batch of inputs was rejected: %+v", response)
	}
	request, _ := b.submit(PageRequest{APIKey: "k", Read: reader.Request{BatchID: "one", Access: batchstore.Access{AnyTenant: true}}})
	if read := request.Body.(batchstore.ReadRequest); read.By != (batchstore.Access{Tenant: "c"}) {
		t.Fatalf("read with access %+v, want that of tenant c", read)
	}
}

// Without an API key, a batch's status, cancellation, results and item bodies are requested by its ID.
// If no store answers a read, the error is errs.NotReady, which makes no statement about the batch.
func TestForwardedBatchIsAddressedByID(t *testing.T) {
	b := newHarness(t)
	timeoutErr := errs.New(errs.OutcomeUnknown, "ask again", "no answer in time")
	notFoundErr := errs.New(errs.NotFound, "check the name", "no such batch")
	for _, test := range []struct {
		body      any
		matches   func(any) bool
		onTimeout errs.Kind
	}{
		{ForwardedBatchStatusRequest{Batch: "one"}, func(a any) bool {
			s, ok := a.(batchstore.BatchStatusRequest)
			return ok && s.Batch == "one" && s.By == anyTenant && !s.Operator
		}, errs.NotReady},
		{ForwardedBatchStatusRequest{Batch: "one", Cancel: true}, func(a any) bool {
			s, ok := a.(batchstore.EndRequest)
			return ok && s.Batch == "one" && s.By == anyTenant
		}, errs.OutcomeUnknown},
		{ItemBodyRequest{Batch: "one", Item: "i"}, func(a any) bool {
			s, ok := a.(batchstore.ItemBodyRequest)
			return ok && s.Batch == "one" && s.Item == "i" && s.By == anyTenant
		}, errs.NotReady},
		{ForwardedPageRequest{Read: reader.Request{ID: "n", BatchID: "one", ByIndex: true, FromIndex: 4, Access: batchstore.Access{Tenant: "c"}}}, func(a any) bool {
			s, ok := a.(batchstore.ReadRequest)
			return ok && s.Batch == "one" && s.By == anyTenant && s.Indexed && s.From == 4
		}, errs.NotReady},
	} {
		for _, err := range []error{timeoutErr, notFoundErr} {
			request, response := b.submit(test.body)
			if request == nil || !test.matches(request.Body) {
				t.Fatalf("%T: requested %+v, replied %+v", test.body, request, response)
			}
			for request != nil { // a request that changes a batch is sent again after a timeout
				b.machineCalls.ReplyReceived(request.Token, nil, err, b.now)
				request, response = b.effects()
			}
			wanted := test.onTimeout
			if err == notFoundErr {
				wanted = errs.NotFound
			}
			if response == nil || !errs.Is(response.Err, wanted) {
				t.Fatalf("%T: replied %+v, want %s", test.body, response, wanted)
			}
		}
	}
	b.expectRejected(errs.BadInput, ForwardedPageRequest{Read: reader.Request{ByIndex: true}})
	b.expectRejected(errs.BadInput, ForwardedPageRequest{Read: reader.Request{BatchID: "one", ByIndex: true, FromIndex: -1}})
}

// While no configuration is known, the caller of a batch is told to retry. The batch must not be
// reported as unknown (status 404).
func TestMissingConfigurationIsNotReadyRatherThanUnknownRoute(t *testing.T) {
	b := newHarness(t)
	b.Machine = New(Defaults(), b.machineCalls, scheduler.New(scheduler.Defaults(), 1), nil, reader.New(b.machineCalls), decisionlog.New(1))
	b.expectRejected(errs.NotReady, SubmitForwardedBatchRequest{Route: "r", ID: "mine", Items: forwardedItems("x")})
	b.expectRejected(errs.NotReady, ResubmitForwardedBatchRequest{ID: "mine", Items: forwardedItems("x")})
	b.expectRejected(errs.NotReady, SubmitBatchRequest{APIKey: "k", Route: "chat", IdempotencyKey: "1", Items: []shard.Item{{Input: "x"}}})
	b.expectRejected(errs.NotReady, ForwardedBatchStatusRequest{Batch: "one"})
	b.expectRejected(errs.NotReady, ForwardedBatchStatusRequest{Batch: "one", Cancel: true})
}
