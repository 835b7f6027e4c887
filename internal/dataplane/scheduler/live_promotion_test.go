package scheduler

import (
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// submitLive submits a forwarded live request with the given priority.
func (f *fixture) submitLive(name string, priority int64, change func(r *Request)) *Request {
	return f.submit(name, priority, func(r *Request) {
		r.Route = &config.Route{Name: "live", Kind: config.Stream, Forward: &config.Forward{Priority: priority}}
		if change != nil {
			change(r)
		}
	})
}

// newLiveFixture returns a fixture without servers, in which a server of one slot runs one request at a time.
func newLiveFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.settings.MaxUtilizationLimit = 1
	f.InjectedFaults.KeepOldConfiguration = true // keeps the routes and priorities that a test gives its requests
	return f
}

// One in four starts is the oldest request of the lower levels, if there is one.
func TestLowerLevelsArePromotedPeriodically(t *testing.T) {
	for name, c := range map[string]struct{ submitted, want string }{
		"two levels":         {"h1 h2 h3 h4 h5 h6 l1 l2", "h1 h2 h3 l1 h4 h5 h6 l2"},
		"the oldest of both": {"h1 h2 h3 h4 m1 l1 m2", "h1 h2 h3 m1 h4 m2 l1"},
		"the lowest":         {"h1 h2 h3 h4 l1 m1", "h1 h2 h3 l1 h4 m1"},
		"one level":          {"h1 h2 h3 h4 h5", "h1 h2 h3 h4 h5"},
		"more low ones":      {"l1 l2 l3 h1 h2 h3 h4", "h1 h2 h3 l1 h4 l2 l3"},
	} {
		f := newLiveFixture(t)
		var requests []*Request
		for _, request := range strings.Fields(c.submitted) {
			requests = append(requests, f.submitLive(request, map[byte]int64{'h': 9, 'm': 5, 'l': 1}[request[0]], nil))
		}
		if got := f.startOrder(t, requests...); !slices.Equal(got, strings.Fields(c.want)) {
			t.Errorf("%s: the order is %v, not %s", name, got, c.want)
		}
	}
}

// If a promoted request is dropped before it starts, the next one is promoted.
func TestDroppedPromotionPassesToTheNext(t *testing.T) {
	f := newLiveFixture(t)
	f.SetServer(newServer("s", 1))
	var running *Assignment
	var order []string
	submit := func(name string, priority int64, deadline clock.Micros) {
		f.submitLive(name, priority, func(r *Request) {
			r.Deadline = deadline
			r.Start = func(assignment *Assignment, _ clock.Micros) { order, running = append(order, name), assignment }
		})
	}
	next := func() {
		running.Release(0, true, f.now)
		f.MatchUntilStable(f.now)
	}
	submit("l1", 1, f.now+clock.Millisecond)
	submit("l2", 1, 0)
	for _, name := range []string{"h1", "h2", "h3", "h4"} {
		submit(name, 9, 0)
	}
	f.MatchUntilStable(f.now)
	next()
	next() // h3 runs, and l1 is promoted next
	f.Match(f.now)
	f.now += 2 * clock.Millisecond
	f.AdvanceFreshness(f.now)
	f.Match(f.now)
	if got := <-f.dropped; got != "l1:expired" {
		t.Fatalf("dropped %s", got)
	}
	next()
	next()
	if want := []string{"h1", "h2", "h3", "l2", "h4"}; !slices.Equal(order, want) {
		t.Errorf("the order is %v, not %v", order, want)
	}
}

// Neither batch items nor requests that aren't forwarded are promoted.
func TestOnlyForwardedLiveRequestsArePromoted(t *testing.T) {
	f := newLiveFixture(t)
	var requests []*Request
	for _, name := range []string{"h1", "h2", "h3", "h4", "h5"} {
		requests = append(requests, f.submitLive(name, 9, nil))
	}
	requests = append(requests,
		f.submitLive("item", 1, func(r *Request) { r.IsBatchItem = true }),
		f.submit("chat", 1, nil))
	if got, want := f.startOrder(t, requests...), []string{"h1", "h2", "h3", "h4", "h5", "chat", "item"}; !slices.Equal(got, want) {
		t.Errorf("the order is %v, not %v", got, want)
	}
}
