package batchstore

import (
	"testing"

	"tuliprudder/internal/clock"
)

// An item may start only on the primary, under a valid lease, and while it needs a result.
func TestItemMayStart(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	c.mustCall(forwardedBatch("ended", 1))
	c.mustCall(EndRequest{Batch: "ended", By: accessByID, Timeout: clock.Second})
	c.do("a", finished("one", 0))
	for name, test := range map[string]struct {
		store string
		batch string
		item  int
		now   clock.Micros
		want  bool
	}{
		"it needs a result":        {"a", "one", 1, c.now, true},
		"it has its result":        {"a", "one", 0, c.now, false},
		"its batch has ended":      {"a", "ended", 0, c.now, false},
		"its batch is not known":   {"a", "unknown", 0, c.now, false},
		"the lease has ended":      {"a", "one", 1, c.now + 10*clock.Second, false},
		"the store is the replica": {"b", "one", 1, c.now, false},
	} {
		if got := c.stores[test.store].MayStart(0, test.batch, test.item, test.now); got != test.want {
			t.Errorf("%s: MayStart returned %v", name, got)
		}
	}
}

// The tasks of items without a result are emitted again periodically, because they may have been dropped.
func TestUnfinishedItemsAreExecutedAgain(t *testing.T) {
	c := newCluster(t)
	c.mustCall(forwardedBatch("one", 2))
	c.do("a", finished("one", 0))
	c.tasks = nil
	c.advance(resumeInterval)
	if len(c.tasks) != 1 {
		t.Fatalf("the tasks are %v, want one", c.tasks)
	}
	if item, ok := c.tasks[0].(RunItem); !ok || item.ItemID != "i1" || item.Epoch != 1 {
		t.Fatalf("the task is %+v", c.tasks[0])
	}
}
