package proxy

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
)

// The decision after an attempt depends on the kind of the route, on the attempt's outcome and on
// how many attempts are left. The expected decisions are written by hand, not derived from the rules
// under test.
func TestDecisionAfterAttempt(t *testing.T) {
	const (
		one, rep, str, res = config.OneShot, config.Repeatable, config.Stream, config.Resumable
		last               = 1 // no other server is allowed
		more               = 2 // one other server is allowed
	)
	for _, c := range []struct {
		kinds           []string
		outcome         Outcome
		responseStarted bool
		attempts        int64
		want            string
	}{
		{[]string{one, rep, str, res}, Complete, true, last, "proxy.Done"},
		{[]string{one, rep, str, res}, Complete, true, more, "proxy.Done"},
		// Nothing reached the server: it does not count as an attempt, and another one follows.
		{[]string{one, rep, str, res}, NotSent, false, last, "attempt"},
		{[]string{one, rep, str, res}, NotSent, false, more, "attempt"},
		// The server states that it did not run the request: it is retried while attempts are
		// left, then rejected with a retry delay.
		{[]string{one, rep, str, res}, NotRun, false, more, "attempt"},
		{[]string{one, rep, str, res}, NotRun, false, last, "rejected"},
		// The request has run and failed, so it must not be reported as rejected.
		{[]string{one, str}, Failed, false, more, "unknown"},
		{[]string{one, str}, Failed, false, last, "unknown"},
		{[]string{rep, res}, Failed, false, more, "attempt"},
		{[]string{rep, res}, Failed, false, last, "unknown"},
		// The request may have run.
		{[]string{one, str}, Interrupted, false, more, "unknown"},
		{[]string{one, str}, Interrupted, false, last, "unknown"},
		{[]string{rep, res}, Interrupted, false, more, "attempt"},
		{[]string{rep, res}, Interrupted, false, last, "unknown"},
		// A part of the response has reached the caller: only a resumable stream continues.
		{[]string{one, rep, str}, Interrupted, true, more, "unknown"},
		{[]string{res}, Interrupted, true, more, "attempt"},
		{[]string{one, rep, str, res}, Interrupted, true, last, "unknown"},
	} {
		for _, kind := range c.kinds {
			name := fmt.Sprintf("%s, outcome %d, response started %v, %d attempts", kind, c.outcome, c.responseStarted, c.attempts)
			b := newTestBench(t, []string{"a", "a", "a"}, newRoute(kind, c.attempts))
			first := b.attempt(b.submit("o", kind))
			if first.IsLast != (c.attempts == last) || first.Route.Kind != kind || first.Address != "at-"+first.Server || first.Deadline != b.now+5*clock.Second {
				t.Errorf("%s: first attempt is %+v", name, first)
			}
			call := b.send(AttemptResult{RequestID: "o", Outcome: c.outcome, ResponseStarted: c.responseStarted, Reason: "x"})
			if got := b.outcomeOf(call); got != c.want {
				t.Errorf("%s: got %s (%v), want %s", name, got, b.replies[call].Err, c.want)
			}
			if c.want == "attempt" {
				if second := b.attempt(call); second.Server == first.Server || second.Deadline != first.Deadline {
					t.Errorf("%s: after %s the retry goes to %s, with deadline %d", name, first.Server, second.Server, second.Deadline)
				}
				b.send(AttemptResult{RequestID: "o", Outcome: Complete, ResponseStarted: true})
			}
			b.checkIdle(name)
		}
	}
}

// After the caller has disconnected, or its deadline has passed, the request is not retried. It is
// reported as rejected only if no attempt can have run.
func TestNoAttemptAfterCallerDisconnects(t *testing.T) {
	for _, kind := range []string{config.OneShot, config.Repeatable, config.Stream, config.Resumable} {
		for outcome, want := range map[Outcome]string{NotSent: "rejected", NotRun: "rejected", Failed: "unknown", Interrupted: "unknown"} {
			b := newTestBench(t, []string{"a", "a"}, newRoute(kind, 5))
			b.submit("o", kind)
			if got := b.outcomeOf(b.send(AttemptResult{RequestID: "o", Outcome: outcome, ContextDone: true})); got != want {
				t.Errorf("%s, outcome %d: got %s, want %s", kind, outcome, got, want)
			}
			b.checkIdle(kind)
		}
	}
}

// Once an attempt may have run, the request is never reported as rejected, even if a later attempt
// certainly did not run: because the server says so, the connection fails or no server is free.
func TestPossibleRunIsNeverReportedAsRejection(t *testing.T) {
	for _, kind := range []string{config.Repeatable, config.Resumable} {
		for _, first := range []Outcome{Failed, Interrupted} {
			for _, second := range []Outcome{NotRun, NotSent, Failed, Interrupted} {
				b := newTestBench(t, []string{"a", "a"}, newRoute(kind, 2))
				b.submit("o", kind)
				b.send(AttemptResult{RequestID: "o", Outcome: first})
				call := b.send(AttemptResult{RequestID: "o", Outcome: second})
				b.advance(clock.Second) // a request that waits for a third server times out
				if got := b.outcomeOf(call); got != "unknown" {
					t.Errorf("%s, outcomes %d and %d: %s", kind, first, second, got)
				}
				b.checkIdle(kind)
			}
			b := newTestBench(t, []string{"a"}, newRoute(kind, 3))
			b.submit("o", kind)
			call := b.send(AttemptResult{RequestID: "o", Outcome: first})
			b.advance(clock.Second)
			if got := b.outcomeOf(call); got != "unknown" {
				t.Errorf("%s, outcome %d and no other server: %s", kind, first, got)
			}
		}
	}
}

// A route's maximum number of attempts counts the servers that a request was sent to; an attempt
// that reached no server does not count.
func TestMaxAttemptsCountsOnlySentAttempts(t *testing.T) {
	for _, attempts := range []int64{0, 1, 2, 3} {
		b := newTestBench(t, []string{"a", "a", "a", "a", "a"}, newRoute(config.OneShot, attempts))
		b.submit("o", config.OneShot)
		call := b.send(AttemptResult{RequestID: "o", Outcome: NotSent})
		sent, servers := int64(0), map[string]bool{}
		for b.outcomeOf(call) == "attempt" {
			if servers[b.attempt(call).Server] {
				t.Fatalf("%s got two attempts", b.attempt(call).Server)
			}
			servers[b.attempt(call).Server] = true
			sent++
			if b.attempt(call).IsLast != (sent == max(1, attempts)) {
				t.Errorf("max attempts %d: attempt %d has IsLast = %v", attempts, sent, b.attempt(call).IsLast)
			}
			call = b.send(AttemptResult{RequestID: "o", Outcome: NotRun})
		}
		if sent != max(1, attempts) || b.outcomeOf(call) != "rejected" {
			t.Errorf("max attempts %d: sent to %d servers, then %s", attempts, sent, b.outcomeOf(call))
		}
	}
}

// Servers to which this daemon has no free connection are skipped beyond the limit for unreachable
// servers: skipping them takes no time, and another server may have a free slot.
func TestServersWithoutFreeConnectionAreSkipped(t *testing.T) {
	const serversWithoutConnection = 2 * maxUnsentAttempts
	b := newTestBench(t, slices.Repeat([]string{"a"}, serversWithoutConnection+1), newRoute(config.OneShot, 1))
	call := b.submit("o", config.OneShot)
	for i := range serversWithoutConnection {
		if b.outcomeOf(call) != "attempt" {
			t.Fatalf("after %d servers: %s", i, b.outcomeOf(call))
		}
		call = b.send(AttemptResult{RequestID: "o", Outcome: NotSent, LocalFailure: true})
	}
	if b.outcomeOf(call) != "attempt" {
		t.Fatalf("after %d servers: got %s, although one server is left", serversWithoutConnection, b.outcomeOf(call))
	}
	b.send(AttemptResult{RequestID: "o", Outcome: Complete, ResponseStarted: true})
	b.checkIdle("served")
	// If none of very many servers has a free connection, the retries end at maxLocalFailures.
	b = newTestBench(t, slices.Repeat([]string{"a"}, maxLocalFailures+5), newRoute(config.OneShot, 1))
	call = b.submit("o", config.OneShot)
	attempted := 0
	for ; b.outcomeOf(call) == "attempt"; attempted++ {
		call = b.send(AttemptResult{RequestID: "o", Outcome: NotSent, LocalFailure: true})
	}
	if attempted != maxLocalFailures+1 || b.outcomeOf(call) != "rejected" {
		t.Errorf("after %d servers: %s", attempted, b.outcomeOf(call))
	}
}

// A request is queued at most for the shortest of these: a fraction of its latency target,
// MaxQueueTime, its caller's timeout and its route's timeout. Then it is rejected with a retry delay.
func TestQueueTimeIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		latencyTarget, deadline, wait, want clock.Micros
	}{
		"fraction of the latency target": {300 * millisecond, 5 * clock.Second, 0, 60 * millisecond},
		"long latency target":            {60 * clock.Second, 500 * clock.Second, 0, 200 * millisecond},
		"no latency target":              {0, 5 * clock.Second, 0, 200 * millisecond},
		"short caller timeout":           {300 * millisecond, 5 * clock.Second, 20 * millisecond, 20 * millisecond},
		"short route timeout":            {300 * millisecond, 10 * millisecond, clock.Second, 10 * millisecond},
	} {
		r := newRoute(config.OneShot, 2)
		r.Forward.LatencyTarget, r.Timeout = c.latencyTarget, c.deadline
		b := newTestBench(t, nil, r)
		call := b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", CallerTimeout: c.wait})
		b.advance(c.want - 1)
		if got := b.outcomeOf(call); got != "waits" {
			t.Errorf("%s: right before the limit: %s", name, got)
		}
		b.advance(1)
		if got := b.outcomeOf(call); got != "rejected" {
			t.Errorf("%s: at the limit: %s", name, got)
		}
		b.checkIdle(name)
	}
}

// With the mechanism disabled, a request is queued until its deadline.
func TestQueueTimeLimitCanBeDisabled(t *testing.T) {
	b := newTestBench(t, nil, newRoute(config.OneShot, 2))
	disabled, _ := mechanism.Parse(string(mechanism.QueueTimeLimit))
	b.scheduler.AdjustSettings(func(settings *scheduler.Settings) { settings.Disabled = disabled })
	call := b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", CallerTimeout: clock.Second})
	b.advance(clock.Second - 1)
	if got := b.outcomeOf(call); got != "waits" {
		t.Errorf("right before the deadline: %s", got)
	}
	b.advance(1)
	if got := b.outcomeOf(call); got != "rejected" {
		t.Errorf("at the deadline: %s", got)
	}
}

// A queued request is sent as soon as a server is added, with its original deadline.
func TestNewServerReceivesQueuedRequest(t *testing.T) {
	b := newTestBench(t, nil, newRoute(config.OneShot, 2))
	call := b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", CallerTimeout: clock.Second})
	deadline := b.now + clock.Second
	b.advance(50 * millisecond)
	b.addServer("late", "a", 4)
	b.collectReplies()
	if attempt := b.attempt(call); attempt.Server != "late" || attempt.Deadline != deadline {
		t.Errorf("got attempt %+v", attempt)
	}
}

// Once its deadline has passed, a request is not retried.
func TestNoAttemptAfterDeadline(t *testing.T) {
	for outcome, want := range map[Outcome]string{NotRun: "rejected", NotSent: "rejected", Interrupted: "unknown"} {
		b := newTestBench(t, []string{"a", "a"}, newRoute(config.Repeatable, 5))
		b.submit("o", config.Repeatable)
		b.now += 5 * clock.Second
		if got := b.outcomeOf(b.send(AttemptResult{RequestID: "o", Outcome: outcome})); got != want {
			t.Errorf("outcome %d: %s", outcome, got)
		}
	}
}

// A split route distributes its requests in proportion to the weights; pools of weight 0 get none.
func TestSplitFollowsWeights(t *testing.T) {
	r := newRoute(config.OneShot, 1)
	weightedPool := func(pool string, weight int64) config.WeightedPools {
		return config.WeightedPools{Pools: config.Selector{"u": {pool}}, Weight: weight}
	}
	for name, c := range map[string]struct {
		split           []config.WeightedPools
		atLeast, atMost int // requests of 2000 that go to pool b
	}{
		"nine to one": {[]config.WeightedPools{weightedPool("a", 90_000), weightedPool("b", 10_000)}, 140, 260},
		"halves":      {[]config.WeightedPools{weightedPool("a", 1), weightedPool("b", 1)}, 900, 1100},
		"all to b":    {[]config.WeightedPools{weightedPool("a", 0), weightedPool("b", 7)}, 2000, 2000},
		"none to b":   {[]config.WeightedPools{weightedPool("a", 7), weightedPool("b", 0)}, 0, 0},
	} {
		r.Forward.Split = c.split
		b := newTestBench(t, []string{"a", "b"}, r)
		for i := range 2000 {
			requestID := fmt.Sprint(i)
			b.submit(requestID, config.OneShot)
			b.send(AttemptResult{RequestID: requestID, Outcome: Complete, ResponseStarted: true})
		}
		got := 0
		for _, response := range b.replies {
			if attempt, ok := response.Body.(Attempt); ok && attempt.Server == "b1" {
				got++
			}
		}
		if got < c.atLeast || got > c.atMost || b.Forwarded != 2000 {
			t.Errorf("%s: %d of %d requests went to pool b", name, got, b.Forwarded)
		}
	}
}

// Requests of higher priority are served first when servers are scarce. A result for a request that
// is not in flight is answered with an error.
func TestPriorityAndUnknownRequestIDs(t *testing.T) {
	low, high := newRoute(config.OneShot, 1), newRoute(config.Repeatable, 1)
	low.Forward.Priority, high.Forward.Priority = 1, 9
	b := newTestBench(t, nil, low, high)
	first, second := b.submit("low", config.OneShot), b.submit("high", config.Repeatable)
	b.addServer("only", "a", 1)
	b.collectReplies()
	if b.outcomeOf(first) != "waits" || b.outcomeOf(second) != "attempt" {
		t.Errorf("lower priority: %s, higher priority: %s", b.outcomeOf(first), b.outcomeOf(second))
	}
	if got := b.outcomeOf(b.send(AttemptResult{RequestID: "nobody", Outcome: Complete})); got != string(errs.OutcomeUnknown) {
		t.Errorf("result for an unknown request: %s", got)
	}
	if got := b.outcomeOf(b.send(AttemptResult{RequestID: "low", Outcome: Complete})); got != string(errs.OutcomeUnknown) {
		t.Errorf("result for a request that was not sent: %s", got)
	}
	b.send(AttemptStarted{RequestID: "high"})
	b.send(AttemptStarted{RequestID: "nobody"})
	if b.Call(1, 5, b.now) {
		t.Error("the proxy accepts a message of a type that it does not handle")
	}
}

// countSecondRuns returns how many non-idempotent requests are retried after an attempt that may
// have run, over all kinds and outcomes.
func countSecondRuns(t *testing.T, injected bool) (runs int) {
	for _, kind := range []string{config.OneShot, config.Stream} {
		for _, outcome := range []Outcome{Failed, Interrupted} {
			b := newTestBench(t, []string{"a", "a"}, newRoute(kind, 2))
			b.InjectedFaults.RetryUnsafely = injected
			b.submit("o", kind)
			if b.outcomeOf(b.send(AttemptResult{RequestID: "o", Outcome: outcome})) == "attempt" {
				runs++
			}
		}
	}
	return runs
}

// The check for second runs detects an injected unsafe retry.
func TestInjectedSecondRunIsDetected(t *testing.T) {
	if runs := countSecondRuns(t, false); runs != 0 {
		t.Errorf("%d requests that may have run were retried", runs)
	}
	if runs := countSecondRuns(t, true); runs == 0 {
		t.Error("the injected fault was not detected")
	}
}

// Queued requests of a route fail when a new configuration removes the route.
func TestRemovedRouteFailsQueuedRequests(t *testing.T) {
	b := newTestBench(t, nil, newRoute(config.OneShot, 2))
	call := b.submit("o", config.OneShot)
	other := newRoute(config.Stream, 1)
	configuration := &config.Configuration{Version: 2, Routes: []config.Route{other}}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
	b.collectReplies()
	if got := b.outcomeOf(call); got != string(errs.UnknownRoute) {
		t.Errorf("request of the removed route: %s", got)
	}
	b.checkIdle("route removed")
}
