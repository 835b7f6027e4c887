package scheduler

import (
	"testing"
)

// QueuedWeight adds up the weights of queued requests; a request without a weight counts as 1.
func TestQueuedWeightCountsWeights(t *testing.T) {
	f := newFixture(t)
	heavy := f.submit("heavy", 1, func(r *Request) { r.IsBatchItem, r.Weight = true, 700 })
	f.submit("light", 1, nil)
	if got := f.QueuedWeight("c1"); got != 701 || f.QueueLength() != 2 {
		t.Fatalf("weight %d is queued in %d requests", got, f.QueueLength())
	}
	f.Cancel(heavy)
	if got := f.QueuedWeight("c1"); got != 1 {
		t.Fatalf("weight %d is queued after the heavy request was cancelled", got)
	}
}

// Cancel returns false for a request that was rejected: its caller may disconnect while the
// rejection is still being persisted.
func TestCancelOfUnqueuedRequest(t *testing.T) {
	f := newFixture(t)
	removed := *f.route
	removed.Name = "removed"
	for name, prepare := range map[string]func(){
		"its route is not configured": func() {},
		"the daemon is draining":      func() { f.Close(f.now) },
	} {
		prepare()
		r := f.submit("late", 5, func(r *Request) { r.Route = &removed })
		if f.Cancel(r) {
			t.Errorf("%s: a request that was never queued was cancelled", name)
		}
		if got := f.QueuedWeight("c5"); got != 0 {
			t.Errorf("%s: weight %d is queued", name, got)
		}
	}
}
