package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

// Requests of a higher priority start first, regardless of submission order; live requests start
// before the batch items of their priority.
func TestHigherLevelStartsFirst(t *testing.T) {
	f := newFixture(t, newServer("s", 4))
	f.submit("low", 1, nil)
	f.submit("batch", 5, func(r *Request) { r.IsBatchItem = true })
	f.submit("high", 9, nil)
	f.submit("live", 5, nil)
	var order []string
	for range 4 {
		// One slot is free at a time.
		s := f.servers["s"]
		s.server.Slots = 1
		s.ownRequests = 0
		s.runIntervals = nil
		f.settings.MaxUtilizationLimit = 1
		f.settings.MinUtilizationLimit = 1
		f.Match(f.now)
		order = append(order, <-f.started)
	}
	if fmt.Sprint(order) != "[high@s live@s batch@s low@s]" {
		t.Fatalf("started in the order %v", order)
	}
}

// MayStart is called immediately before the start; if it returns false the request does not start.
func TestNoStartWithoutPermission(t *testing.T) {
	f := newFixture(t, newServer("s", 4))
	f.submit("x", 1, func(r *Request) { r.MayStart = func(clock.Micros) bool { return false } })
	f.Match(f.now)
	if got := <-f.dropped; got != "x:turned_away" {
		t.Fatalf("dropped as %s", got)
	}
	if len(f.started) != 0 {
		t.Fatal("the request started although MayStart returned false")
	}
}

// A request whose deadline passes is dropped at the next match, also if no server can take it.
// A load report of a lower epoch is ignored.
func TestExpiredRequestIsDroppedAndLowerEpochIgnored(t *testing.T) {
	f := newFixture(t, newServer("s", 4))
	f.SetLoad("s", 5, endpoints.Load{ReadAt: f.now, Healthy: false})
	f.SetLoad("s", 4, endpoints.Load{ReadAt: f.now, Healthy: true})
	f.submit("x", 1, func(r *Request) { r.Deadline = f.now + 100 })
	f.requireNoAssignment(t, "the lower epoch's report was taken")
	f.now += 100
	f.Match(f.now)
	if got := <-f.dropped; got != "x:expired" {
		t.Fatalf("dropped as %s", got)
	}
	if f.QueueLength() != 0 || f.QueuedWeight("c1") != 0 {
		t.Fatalf("%d requests are still queued", f.QueueLength())
	}
}
