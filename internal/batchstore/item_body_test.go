package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// The task of a forwarded item has the complete request. The stored body is released once the item has its
// result or its batch has ended; the weight is kept, and an attempt in progress keeps its body.
func TestItemBodiesAreReleasedWhenNoLongerNeeded(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	c.mustCall(forwardedBatch("two", 1))
	var first RunItem
	for _, task := range c.tasks {
		if item, ok := task.(RunItem); ok && item.Batch == "one" && item.Item == 0 {
			first = item
		}
	}
	if first.ItemID != "i0" || first.Request == nil || string(first.Request.Body) != "body 0" {
		t.Fatalf("the task is %+v", first)
	}
	if got := c.mustCall(ItemBodyRequest{Batch: "one", Item: "i0", By: accessByID}).(ItemBodyResponse); string(got.Body) != "body 0" {
		t.Fatalf("the body of the first item is %q", got.Body)
	}
	c.do("a", ItemFinished{Batch: "one", Item: 0, Status: shard.StatusOK, Output: "x"})
	c.mustCall(EndRequest{Batch: "two", By: accessByID, Timeout: clock.Second})
	for _, s := range c.stores {
		for _, id := range []string{"one", "two"} {
			request := s.shard(Unit(0)).state.Batches[id].Items[0].Request
			if len(request.Body)+len(request.Header) > 0 || request.Tokens != 10 {
				t.Fatalf("the first item of %s on store %s has the request %+v", id, s.self.ID, request)
			}
		}
	}
	if string(first.Request.Body) != "body 0" {
		t.Fatal("an attempt in progress lost its body")
	}
	for _, request := range []ItemBodyRequest{{Batch: "one", Item: "i0", By: accessByID}, {Batch: "two", Item: "i0", By: accessByID}, {Batch: "one", Item: "i9", By: accessByID}, {Batch: "three", Item: "i0", By: accessByID}} {
		c.mustReject(errs.NotFound, request)
	}
	if got := c.mustCall(ItemBodyRequest{Batch: "one", Item: "i1", By: accessByID}).(ItemBodyResponse); string(got.Body) != "body 1" {
		t.Fatalf("the body of the second item is %q", got.Body)
	}
	if again := c.mustCall(forwardedBatch("one", 2)).(SubmitResponse); !again.Repeated || again.Items != 2 {
		t.Fatalf("the resubmission is answered %+v", again)
	}
}

// A store without a valid lease does not report an item as not found, because its successor may have it.
func TestItemIsReportedMissingOnlyUnderLease(t *testing.T) {
	c := newCluster(t)
	c.mustReject(errs.NotFound, ItemBodyRequest{Batch: "one", Item: "i0", By: accessByID})
	c.now += 10 * clock.Second
	c.mustReject(errs.NotReady, ItemBodyRequest{Batch: "one", Item: "i0", By: accessByID})
}
