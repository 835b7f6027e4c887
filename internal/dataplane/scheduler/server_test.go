package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

// Requests that started and ended since the last load report don't make a server count as
// full: only those that run now count.
func TestFinishedRequestsFreeCapacityBeforeTheNextLoadReport(t *testing.T) {
	f := newFixture(t, newServer("s", 2))
	f.SetLoad("s", 1, endpoints.Load{ReadAt: f.now, Healthy: true, Running: 1})
	assignments := make(chan *Assignment, 1)
	for i := 0; i < 20; i++ {
		f.now += 10 * clock.Millisecond
		f.submit(fmt.Sprint(i), 1, func(r *Request) { r.Start = func(assignment *Assignment, _ clock.Micros) { assignments <- assignment } })
		f.Match(f.now)
		if f.Assigned != int64(i+1) {
			t.Fatalf("request %d was not assigned, although the server runs one request of another daemon and none of this one", i)
		}
		(<-assignments).Release(5*clock.Millisecond, true, f.now)
	}
	// An own request that runs at the time of a report is not counted twice.
	f.submit("long", 1, func(r *Request) { r.Start = func(assignment *Assignment, _ clock.Micros) { assignments <- assignment } })
	f.Match(f.now)
	<-assignments
	f.now += clock.Second / 2
	f.SetLoad("s", 1, endpoints.Load{ReadAt: f.now, Healthy: true, Running: 2})
	if s := f.Scheduler.servers["s"]; s.otherRequests != 1 || s.ownRequests != 1 {
		t.Fatalf("other requests %d, own requests %d; want 1 and 1", s.otherRequests, s.ownRequests)
	}
}

// Each consecutive failure lengthens the backoff, up to maxBackoffFactor times the base; a
// success resets it.
func TestBackoffGrowsWithFailuresInARow(t *testing.T) {
	var s serverState
	now, backoff := clock.Second, 300*clock.Millisecond
	for i, factor := range []clock.Micros{1, 2, 3, 3, 3} {
		s.recordFailure(backoff, now)
		if got := s.backoffUntil - now; got != factor*backoff {
			t.Errorf("after %d failures a backoff of %d us", i+1, got)
		}
	}
	s.recordSuccess(0, now)
	s.recordFailure(backoff, now)
	if got := s.backoffUntil - now; got != backoff {
		t.Errorf("after a success and a failure a backoff of %d us", got)
	}
}
