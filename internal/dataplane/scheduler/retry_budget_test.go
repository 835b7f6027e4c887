package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
)

// The retry budget is bounded and refilled by assignments, so that retries don't multiply the
// load when every server fails. RetryAfter estimates when a long queue will have drained.
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
		t.Fatalf("with an empty queue RetryAfter is %d us, not 0.5 s", after)
	}
	f.Scheduler.settings.MaxQueued = 400
	f.Scheduler.servers["s"].server.Slots = 1
	for i := 0; i < 400; i++ {
		f.submit("w", 1, nil)
	}
	if after := f.RetryAfter(f.now); after < 3*clock.Second || after > 5*clock.Second {
		t.Fatalf("with 400 requests queued at 100 a second RetryAfter is %d us, not 3 to 5 s", after)
	}
}
