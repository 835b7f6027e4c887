package batchstore

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// A batch without an idempotency key may be used by its ID alone. A batch with a key is visible only to its
// tenant.
func TestBatchWithoutAKeyIsFoundByItsID(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 1))
	keyed := forwardedBatch("mine", 1)
	keyed.Batch.Tenant = "c"
	keyed.Batch.Key = "k"
	c.mustCall(keyed)
	c.mustReject(errs.NotFound, BatchStatusRequest{Batch: "one"})
	if status := c.mustCall(BatchStatusRequest{Batch: "one", By: accessByID}).(BatchStatus); status.Items != 1 {
		t.Fatalf("the status is %+v", status)
	}
	c.mustCall(ReadRequest{Shards: map[int]uint64{0: 1}, Batch: "one", By: accessByID})
	c.mustReject(errs.NotFound, BatchStatusRequest{Batch: "mine", By: accessByID})
	c.mustReject(errs.NotFound, EndRequest{Batch: "mine", By: accessByID, Timeout: clock.Second})
	c.mustReject(errs.NotFound, ReadRequest{Shards: map[int]uint64{0: 1}, Batch: "mine", By: accessByID})
	c.mustCall(BatchStatusRequest{Batch: "mine", By: Access{Tenant: "c"}})
}

// An operator sees the batches of any tenant, with their results but without the outputs.
func TestOperatorSeesResultsWithoutOutputs(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	c.do("a", finished("one", 1))
	status := c.mustCall(BatchStatusRequest{Batch: "one", Operator: true}).(BatchStatus)
	if status.Finished != 1 || len(status.Results) != 1 || status.Results[0].ItemID != "i1" || status.Results[0].Output != "" {
		t.Fatalf("the status is %+v", status)
	}
}
