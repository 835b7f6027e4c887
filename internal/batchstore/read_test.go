package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// readIndexed reads the batch "one" by index, up to the announced position, and checks the index at which
// the page starts. change, if not nil, modifies the request.
func (c *cluster) readIndexed(from int, change func(*ReadRequest)) ReadResponse {
	c.t.Helper()
	request := ReadRequest{
		Shards:  map[int]uint64{0: 1},
		Batch:   "one",
		By:      accessByID,
		Indexed: true,
		From:    from,
		Bound:   map[int]token.Vector{0: {1: c.announced.PersistedUpTo}},
	}
	if change != nil {
		change(&request)
	}
	response := c.mustCall(request).(ReadResponse)
	if response.Index != from {
		c.t.Fatalf("a read from index %d returned a page that starts at %d", from, response.Index)
	}
	return response
}

// itemIDs returns the item IDs of a page, each followed by a space.
func (r ReadResponse) itemIDs() (out string) {
	for _, result := range r.Results {
		out += result.ItemID + " "
	}
	return out
}

// An indexed read returns results in list order, limited by count and bytes, never past the positions that
// the reader has received or that are durable. An archived batch gives the same pages.
func TestReadByIndex(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 4))
	for _, item := range []int{2, 0, 3} {
		c.do("a", finished("one", item))
	}
	c.advance(clock.Second)
	if got := c.readIndexed(0, nil); got.itemIDs() != "i2 i0 i3 " || got.More || got.Items != 4 || got.State != string(shard.Open) {
		t.Fatalf("%+v", got)
	}
	if got := c.readIndexed(1, func(r *ReadRequest) { r.Limit = 1 }); got.itemIDs() != "i0 " || !got.More {
		t.Fatalf("with a limit of 1 result: %+v", got)
	}
	if got := c.readIndexed(0, func(r *ReadRequest) { r.MaxBytes = 11 }); got.itemIDs() != "i2 i0 " || !got.More {
		t.Fatalf("with a limit of 11 bytes: %+v", got)
	}
	if got := c.readIndexed(1, func(r *ReadRequest) { r.MaxBytes = 1 }); got.itemIDs() != "i0 " || !got.More {
		t.Fatalf("with a limit below the size of the first result: %+v", got)
	}
	if got := c.readIndexed(3, nil); got.itemIDs() != "" || got.More || got.State != string(shard.Open) {
		t.Fatalf("at the end of the list: %+v", got)
	}
	// The reader has received the writer's positions only up to the second result.
	received := c.announced.PersistedUpTo - 1
	behind := func(r *ReadRequest) { r.Bound[0] = token.Vector{1: received} }
	if got := c.readIndexed(0, behind); got.itemIDs() != "i2 i0 " || got.More {
		t.Fatalf("from the start, with a reader that is behind: %+v", got)
	}
	if got := c.readIndexed(2, behind); got.itemIDs() != "" {
		t.Fatalf("past the positions that the reader has received: %+v", got)
	}
	// The last result is not durable yet, whatever the reader claims to have received.
	ahead := func(r *ReadRequest) { r.Bound[0] = token.Vector{1: 1 << 40} }
	c.delayed = true
	c.do("a", ItemFinished{Batch: "one", Item: 1, Status: shard.StatusFailed, Output: "no"})
	if got := c.readIndexed(2, ahead); got.itemIDs() != "i3 " || got.State != string(shard.Open) {
		t.Fatalf("past the durable results: %+v", got)
	}
	c.executeDelayed()
	// The list of the finished and archived batch is the same, and its end is reported immediately.
	c.advance(3 * clock.Second)
	if c.stores["a"].BatchesArchived != 1 {
		t.Fatal("the batch was not archived")
	}
	if got := c.readIndexed(1, behind); got.itemIDs() != "i0 " || got.State != string(shard.Open) || got.Items != 4 {
		t.Fatalf("from the archive, with a reader that is behind: %+v", got)
	}
	got := c.readIndexed(1, nil)
	if got.itemIDs() != "i0 i3 i1 " || got.State != string(shard.Done) || got.Items != 4 || got.Results[2].Status != shard.StatusFailed {
		t.Fatalf("from the archive: %+v", got)
	}
	if got := c.readIndexed(4, nil); got.itemIDs() != "" || got.State != string(shard.Done) || got.Items != 4 {
		t.Fatalf("from the archive, at the end of the list: %+v", got)
	}
}

// A read at another epoch is rejected, because the reader would miss results of former writers.
func TestReadAtAnotherEpochIsRejected(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 1))
	for _, epoch := range []uint64{0, 2} {
		c.mustReject(errs.NotReady, ReadRequest{Shards: map[int]uint64{0: epoch}, Batch: "one", By: accessByID})
	}
	c.mustCall(ReadRequest{Shards: map[int]uint64{0: 1}, Batch: "one", By: accessByID})
}

// A read of all batches of a tenant returns the results after the reader's vector in the order of their
// positions, truncated to the limit.
func TestTenantReadIsInPositionOrder(t *testing.T) {
	c := newCluster(t)
	for _, id := range []string{"one", "two"} {
		request := forwardedBatch(id, 2)
		request.Batch.Key = id
		c.mustCall(request)
	}
	c.do("a", finished("two", 1))
	c.do("a", finished("one", 0))
	c.do("a", finished("two", 0))
	c.advance(clock.Second)
	request := ReadRequest{
		Shards: map[int]uint64{0: 1},
		By:     Access{Tenant: "route"},
		Bound:  map[int]token.Vector{0: {1: c.announced.PersistedUpTo}},
		Limit:  2,
	}
	page := c.mustCall(request).(ReadResponse)
	if page.itemIDs() != "i1 i0 " || !page.More || page.Results[0].Batch != "two" || page.Results[1].Batch != "one" {
		t.Fatalf("the first page is %+v", page)
	}
	request.After = token.Vector{1: page.Results[1].Position}
	if page = c.mustCall(request).(ReadResponse); page.itemIDs() != "i0 " || page.More || page.Results[0].Batch != "two" {
		t.Fatalf("the second page is %+v", page)
	}
}
