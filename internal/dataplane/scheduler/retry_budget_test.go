package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
)

// Retries have a budget: where every server fails, they stop multiplying the load. A
// long queue says when it will have been worked off.
func TestRetriesHaveABudget(t *testing.T) {
	f := newFixture(t, newServer("s", 1000))
	spent := 0
	for f.SpendRetry() {
		spent++
	}
	for i := 0; i < 100; i++ {
		f.now += 10 * clock.Millisecond
		f.submit(fmt.Sprint(i), 1, func(r *Request) { r.Start = func(_ *Assignment, _ clock.Micros) {} })
		f.Match(f.now)
	}
	refilled := 0
	for f.SpendRetry() {
		refilled++
	}
	if spent != maxRetryBudget || refilled < 15 || refilled > 25 {
		t.Fatalf("%d retries at first, %d after 100 requests", spent, refilled)
	}
	if after := f.RetryAfter(f.now); after != clock.Second/2 {
		t.Fatalf("nothing is queued, and one is to come back after %d us", after)
	}
	f.Scheduler.settings.MaxQueued = 400
	f.Scheduler.servers["s"].server.Slots = 1
	for i := 0; i < 400; i++ {
		f.submit("w", 1, nil)
	}
	if after := f.RetryAfter(f.now); after < 3*clock.Second || after > 5*clock.Second {
		t.Fatalf("400 are queued at 100 a second, and one is to come back after %d us", after)
	}
}
