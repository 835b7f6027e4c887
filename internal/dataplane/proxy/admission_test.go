package proxy

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// The timeout of a request counts from the arrival of its head, not from that of its complete body.
func TestDeadlineCountsFromRequestHead(t *testing.T) {
	for name, c := range map[string]struct{ wait, want clock.Micros }{
		"route timeout":  {0, 5 * clock.Second},
		"caller timeout": {2 * clock.Second, 2 * clock.Second},
	} {
		b := newTestBench(t, []string{"a"}, newRoute(config.OneShot, 1))
		received := b.now - 700*millisecond
		attempt := b.attempt(b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", ReceivedAt: received, CallerTimeout: c.wait}))
		if attempt.Deadline != received+c.want {
			t.Errorf("%s: got deadline %d, want %d", name, attempt.Deadline, received+c.want)
		}
	}
	b := newTestBench(t, []string{"a"}, newRoute(config.OneShot, 1))
	call := b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", ReceivedAt: b.now - 6*clock.Second})
	if got := b.outcomeOf(call); got != "rejected" {
		t.Errorf("body that took longer than the route's timeout: %s", got)
	}
	b.checkIdle("late")
}

// A daemon without a configuration rejects requests as retryable. With a configuration it rejects
// requests that match no route, and decides on a batch submission where the route is a batch route.
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
		t.Errorf("batch: %+v", b.replies[call])
	}
	b.checkIdle("routes")
}

// A forwarding route does not need a tenant of the same name: in a configuration in the product's own
// format its callers send no API key.
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
		t.Errorf("got attempt %+v", attempt)
	}
}
