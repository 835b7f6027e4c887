package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// Ending a batch cancels its items immediately and is acknowledged once it is durable. Ending it again is
// acknowledged without another entry.
func TestEndIsAcknowledgedOnceItIsDurable(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	request := EndRequest{Batch: "one", By: accessByID, Timeout: clock.Second}
	c.delayed = true
	if response, err := c.call(request); response != nil || err != nil {
		t.Fatalf("replied before the end was durable: %v %v", response, err)
	}
	if got := c.tasks[len(c.tasks)-1]; got != (CancelItems{Batch: "one", Shard: -1}) {
		t.Fatalf("the last task is %+v", got)
	}
	c.executeDelayed()
	if status, ok := c.replies[c.lastCall].Body.(BatchStatus); !ok || status.State != string(shard.Ended) {
		t.Fatalf("once the end was durable, the reply is %+v", c.replies[c.lastCall])
	}
	group := c.stores["a"].groups.Group(Unit(0))
	before := group.Seq
	c.mustCall(request)
	if group.Seq != before {
		t.Fatal("ending again appended an entry")
	}
}
