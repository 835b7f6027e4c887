package proxy

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// The time of a request starts when its head arrives, not once its body is there.
func TestDeadlineCountsFromRequestHead(t *testing.T) {
	for name, c := range map[string]struct{ wait, want clock.Micros }{
		"the route's time":  {0, 5 * clock.Second},
		"the caller's time": {2 * clock.Second, 2 * clock.Second},
	} {
		b := newTestBench(t, []string{"a"}, newRoute(config.OneShot, 1))
		received := b.now - 700*millisecond
		attempt := b.attempt(b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", ReceivedAt: received, CallerTimeout: c.wait}))
		if attempt.Deadline != received+c.want {
			t.Errorf("%s: its deadline is %d, not %d", name, attempt.Deadline, received+c.want)
		}
	}
	b := newTestBench(t, []string{"a"}, newRoute(config.OneShot, 1))
	call := b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", ReceivedAt: b.now - 6*clock.Second})
	if got := b.outcomeOf(call); got != "rejected" {
		t.Errorf("a body that took longer than the route's time-out: %s", got)
	}
	b.checkIdle("late")
}

// A daemon without a configuration rejects for the time being; one with a configuration rejects
// what that has no route for, and decides on submission where the route is one of batches.
func TestRequestRouting(t *testing.T) {
	b := newTestBench(t, []string{"a"})
	if got := b.outcomeOf(b.submit("o", config.OneShot)); got != "rejected" {
		t.Errorf("without a configuration: %s", got)
	}
	batchRoute := newRoute(config.Batch, 1)
	b = newTestBench(t, []string{"a"}, newRoute(config.OneShot, 1), batchRoute)
	for _, request := range []Request{{ID: "o", Host: "nowhere", Path: "/x/y"}, {ID: "o", Host: config.OneShot, Path: "/y/x"}, {ID: "o", Host: config.OneShot, Path: "/x"}} {
		if got := b.outcomeOf(b.send(request)); got != string(errs.UnknownRoute) {
			t.Errorf("%s%s: %s", request.Host, request.Path, got)
		}
	}
	call := b.submit("o", config.Batch)
	if submission, ok := b.replies[call].Body.(BatchSubmission); !ok || submission.Route.Name != batchRoute.Name {
		t.Errorf("a batch: %+v", b.replies[call])
	}
	b.checkIdle("routes")
}

// A forwarding route needs no tenant of its name: in a configuration of the product's own form
// its callers carry no key.
func TestForwardingRouteNeedsNoTenant(t *testing.T) {
	b := newTestBench(t, []string{"a"})
	configuration, err := config.Parse([]byte(`{"classes":[{"name":"c","rank":5,"allowance":1}],"pools":[{"name":"a","labels":{"u":"a"},"servers":{"pool":"a"}}],
	 "routes":[{"name":"r","kind":"repeatable","classes":{},"pools":{"u":"a"},"forward":{"host":"h.example","path_prefix":"/x/"}}]}`))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	configuration.Version = 1
	b.scheduler.SetConfiguration(configuration, b.now)
	if attempt := b.attempt(b.submit("o", "h.example")); attempt.Server != "a0" {
		t.Errorf("sent as %+v", attempt)
	}
}
