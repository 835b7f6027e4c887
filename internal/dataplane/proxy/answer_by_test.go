package proxy

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// A stopping daemon passes a request on only if its time is over before the daemon stops, and otherwise promises that it
// has not run: responses were cut in the middle as the daemon stopped.
func TestRequestsThatOutlastTheDaemonAreRejected(t *testing.T) {
	routes := []config.Route{newRoute(config.OneShot, 2), newRoute(config.Resumable, 2), newRoute(config.Batch, 1)}
	for _, c := range []struct {
		name                string
		callerWaits, stopIn clock.Micros
		want                string
	}{
		{"not stopping", 0, 0, "attempt"},
		{"the route's time is over before", 0, 5 * clock.Second, "attempt"},
		{"the route's time is over after", 0, 5*clock.Second - 1, "rejected"},
		{"the caller's time is over before", 2 * clock.Second, 2 * clock.Second, "attempt"},
		{"the caller's time is over after", 2 * clock.Second, 2*clock.Second - 1, "rejected"},
		{"the daemon has stopped already", 2 * clock.Second, -clock.Second, "rejected"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBench(t, []string{"a"}, routes...)
			for _, route := range routes {
				request := Request{ID: route.Kind, Host: route.Kind, Path: "/x/y", CallerTimeout: c.callerWaits}
				if c.stopIn != 0 {
					request.AnswerBy = b.now + c.stopIn
				}
				want := c.want
				if want == "attempt" && route.Kind == config.Batch {
					want = "proxy.BatchSubmission"
				}
				if got := b.outcomeOf(b.send(request)); got != want {
					t.Errorf("%s: %s, want %s", route.Kind, got, want)
				}
			}
			if rejected := int64(len(routes)); c.want == "rejected" && b.Rejected != rejected {
				t.Errorf("%d requests were counted as rejected", b.Rejected)
			}
		})
	}
}
