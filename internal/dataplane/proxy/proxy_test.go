package proxy

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

const millisecond = clock.Millisecond

// bench is a ford with a backlog and servers, in virtual time.
type bench struct {
	*Proxy
	t            *testing.T
	scheduler    *scheduler.Scheduler
	machineCalls *machine.Calls
	now          clock.Micros
	lastCall     uint64
	replies      map[uint64]machine.Reply
}

// newBench has servers of the pools a and b, in a list like "a a b"; with routes
// there is a configuration of one route of each kind.
func newBench(t *testing.T, servers []string, routes ...config.Route) *bench {
	t.Helper()
	settings := scheduler.Defaults()
	settings.MaxStaleness = scheduler.UnlimitedStaleness
	b := &bench{t: t, scheduler: scheduler.New(settings, 7), machineCalls: machine.NewCalls(), now: 10 * clock.Second, replies: map[uint64]machine.Reply{}}
	b.Proxy = New(Defaults(), b.machineCalls, b.scheduler, 7)
	if len(routes) > 0 {
		configuration := &config.Configuration{Version: 1, ScorerWeights: map[string]float64{"fullness": 1, "spread": 1}, Routes: routes}
		for _, pool := range []string{"a", "b"} {
			configuration.Pools = append(configuration.Pools, config.Pool{Name: pool, Labels: config.Labels{"u": pool}, Servers: config.Selector{"pool": {pool}}})
		}
		addTenants(configuration)
		b.scheduler.SetConfiguration(configuration, b.now)
	}
	for i, pool := range servers {
		b.addServer(fmt.Sprint(pool, i), pool, 4)
	}
	return b
}

// addTenants gives a configuration's routes the tenants and the class they stand for.
func addTenants(configuration *config.Configuration) {
	configuration.Classes = append(configuration.Classes, config.PriorityClass{Name: "c", Priority: 5})
	for _, route := range configuration.Routes {
		configuration.Tenants = append(configuration.Tenants, config.Tenant{Name: route.Name, Class: "c"})
	}
	configuration.Index()
}

func (b *bench) addServer(name, pool string, slots int) {
	b.scheduler.SetServer(endpoints.Server{Name: name, Address: "at-" + name, Slots: slots, Labels: map[string]string{"pool": pool}})
}

// newRoute is one of a kind; its host is its kind.
func newRoute(kind string, attempts int64) config.Route {
	return config.Route{Name: "r-" + kind, Kind: kind, Pools: config.Selector{"u": {"a"}}, Timeout: 5 * clock.Second,
		Forward: &config.Forward{Host: kind, PathPrefix: "/x/", MaxAttempts: attempts, LatencyTarget: 300 * millisecond}}
}

// send hands a word to the ford and settles the backlog, as an edge's machine does.
func (b *bench) send(body any) uint64 {
	b.lastCall++
	if !b.Call(b.lastCall, body, b.now) {
		b.t.Fatalf("the ford does not take %T", body)
	}
	b.collectReplies()
	return b.lastCall
}

func (b *bench) collectReplies() {
	b.scheduler.MatchUntilStable(b.now)
	for _, effect := range b.machineCalls.Drain() {
		response, ok := effect.(machine.Reply)
		if !ok {
			b.t.Fatalf("the ford did %T", effect)
		}
		if _, twice := b.replies[response.Call]; twice {
			b.t.Fatalf("the call %d is answered twice", response.Call)
		}
		b.replies[response.Call] = response
	}
}

func (b *bench) advance(span clock.Micros) {
	b.now += span
	b.scheduler.Match(b.now)
	b.collectReplies()
}

func (b *bench) submit(requestID, kind string) uint64 {
	return b.send(Request{ID: requestID, Host: kind, Path: "/x/y"})
}

// attempt is the server that a call's answer sends the request to.
func (b *bench) attempt(call uint64) Attempt {
	b.t.Helper()
	attempt, ok := b.replies[call].Body.(Attempt)
	if !ok {
		b.t.Fatalf("the answer is %+v, no server", b.replies[call])
	}
	return attempt
}

// outcomeOf sums an answer up: where it goes on, what its end is, or that none came yet.
func (b *bench) outcomeOf(call uint64) string {
	response, received := b.replies[call]
	typedErr := (*errs.Error)(nil)
	if response.Err != nil {
		typedErr = errs.Of(response.Err)
	}
	switch {
	case !received:
		return "waits"
	case typedErr != nil && typedErr.Kind == errs.NotReady && typedErr.RetryAfterUS >= Defaults().MinRetryAfter:
		return "refused"
	case typedErr != nil && typedErr.Kind == errs.ServerFault && typedErr.RetryAfterUS == 0:
		return "unknown"
	case typedErr != nil:
		return string(typedErr.Kind)
	}
	return map[bool]string{true: "again", false: fmt.Sprintf("%T", response.Body)}[fmt.Sprintf("%T", response.Body) == "proxy.Attempt"]
}

// What a request may do after a try is told apart by its kind, by what is certain
// of the try, and by how many servers it may still be sent to. The table is written
// by hand: it is not worked out by the rules it checks.
func TestWhatFollowsAnAttempt(t *testing.T) {
	const (
		one, rep, str, res = config.OneShot, config.Repeatable, config.Stream, config.Resumable
		last               = 1 // no further server is allowed
		more               = 2 // one more is
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
		// Nothing reached the server: it counts for no try, and may go elsewhere.
		{[]string{one, rep, str, res}, NotSent, false, last, "again"},
		{[]string{one, rep, str, res}, NotSent, false, more, "again"},
		// The server's word that it did not run: elsewhere as far as tries go, and
		// then a refusal with its time.
		{[]string{one, rep, str, res}, NotRun, false, more, "again"},
		{[]string{one, rep, str, res}, NotRun, false, last, "refused"},
		// It has failed: it has run, and is never said to be refused.
		{[]string{one, str}, Failed, false, more, "unknown"},
		{[]string{one, str}, Failed, false, last, "unknown"},
		{[]string{rep, res}, Failed, false, more, "again"},
		{[]string{rep, res}, Failed, false, last, "unknown"},
		// It may have run.
		{[]string{one, str}, Interrupted, false, more, "unknown"},
		{[]string{one, str}, Interrupted, false, last, "unknown"},
		{[]string{rep, res}, Interrupted, false, more, "again"},
		{[]string{rep, res}, Interrupted, false, last, "unknown"},
		// Some of it has reached the caller: only a resumable stream goes on.
		{[]string{one, rep, str}, Interrupted, true, more, "unknown"},
		{[]string{res}, Interrupted, true, more, "again"},
		{[]string{one, rep, str, res}, Interrupted, true, last, "unknown"},
	} {
		for _, kind := range c.kinds {
			name := fmt.Sprintf("%s, outcome %d, began %v, %d tries", kind, c.outcome, c.responseStarted, c.attempts)
			b := newBench(t, []string{"a", "a", "a"}, newRoute(kind, c.attempts))
			first := b.attempt(b.submit("o", kind))
			if first.IsLast != (c.attempts == last) || first.Route.Kind != kind || first.Address != "at-"+first.Server || first.Deadline != b.now+5*clock.Second {
				t.Errorf("%s: first sent as %+v", name, first)
			}
			call := b.send(AttemptResult{RequestID: "o", Outcome: c.outcome, ResponseStarted: c.responseStarted, Reason: "x"})
			if got := b.outcomeOf(call); got != c.want {
				t.Errorf("%s: %s (%v), not %s", name, got, b.replies[call].Err, c.want)
			}
			if c.want == "again" {
				if second := b.attempt(call); second.Server == first.Server || second.Deadline != first.Deadline {
					t.Errorf("%s: after %s it goes to %s, with expiry %d", name, first.Server, second.Server, second.Deadline)
				}
				b.send(AttemptResult{RequestID: "o", Outcome: Complete, ResponseStarted: true})
			}
			b.checkIdle(name)
		}
	}
}

// checkIdle checks that nothing is left open and no server held.
func (b *bench) checkIdle(name string) {
	b.t.Helper()
	if b.InFlight() != 0 || b.scheduler.QueueLength() != 0 {
		b.t.Errorf("%s: %d requests are open, %d wait", name, b.InFlight(), b.scheduler.QueueLength())
	}
	views, _ := b.scheduler.Snapshot()
	for _, view := range views {
		if view.OwnRequests != 0 {
			b.t.Errorf("%s: %s is held %d times", name, view.Name, view.OwnRequests)
		}
	}
}

// A caller that has left, or whose time is over, has no further try; it is only
// said to be refused where nothing can have run.
func TestNobodyWaitsAnyMore(t *testing.T) {
	for _, kind := range []string{config.OneShot, config.Repeatable, config.Stream, config.Resumable} {
		for outcome, want := range map[Outcome]string{NotSent: "refused", NotRun: "refused", Failed: "unknown", Interrupted: "unknown"} {
			b := newBench(t, []string{"a", "a"}, newRoute(kind, 5))
			b.submit("o", kind)
			if got := b.outcomeOf(b.send(AttemptResult{RequestID: "o", Outcome: outcome, ContextDone: true})); got != want {
				t.Errorf("%s, outcome %d: %s, not %s", kind, outcome, got, want)
			}
			b.checkIdle(kind)
		}
	}
}

// Once a try may have run, no later one that certainly did not makes a refusal of
// it: not the server's word, not a connection that fails, not a backlog that is full.
func TestAMayHaveRunStays(t *testing.T) {
	for _, kind := range []string{config.Repeatable, config.Resumable} {
		for _, first := range []Outcome{Failed, Interrupted} {
			for _, second := range []Outcome{NotRun, NotSent, Failed, Interrupted} {
				b := newBench(t, []string{"a", "a"}, newRoute(kind, 2))
				b.submit("o", kind)
				b.send(AttemptResult{RequestID: "o", Outcome: first})
				call := b.send(AttemptResult{RequestID: "o", Outcome: second})
				b.advance(clock.Second) // where it waits for a third server, none comes
				if got := b.outcomeOf(call); got != "unknown" {
					t.Errorf("%s, outcomes %d and %d: %s", kind, first, second, got)
				}
				b.checkIdle(kind)
			}
			b := newBench(t, []string{"a"}, newRoute(kind, 3))
			b.submit("o", kind)
			call := b.send(AttemptResult{RequestID: "o", Outcome: first})
			b.advance(clock.Second)
			if got := b.outcomeOf(call); got != "unknown" {
				t.Errorf("%s, outcome %d and no other server: %s", kind, first, got)
			}
		}
	}
}

// A route's tries are the servers that a request is sent to; one that nothing
// reached does not count.
func TestAttemptsAreCounted(t *testing.T) {
	for _, attempts := range []int64{0, 1, 2, 3} {
		b := newBench(t, []string{"a", "a", "a", "a", "a"}, newRoute(config.OneShot, attempts))
		b.submit("o", config.OneShot)
		call := b.send(AttemptResult{RequestID: "o", Outcome: NotSent})
		sent, servers := int64(0), map[string]bool{}
		for b.outcomeOf(call) == "again" {
			if servers[b.attempt(call).Server] {
				t.Fatalf("%s is tried twice", b.attempt(call).Server)
			}
			servers[b.attempt(call).Server] = true
			sent++
			if b.attempt(call).IsLast != (sent == max(1, attempts)) {
				t.Errorf("of %d tries the %dth is said to be the last: %v", attempts, sent, b.attempt(call).IsLast)
			}
			call = b.send(AttemptResult{RequestID: "o", Outcome: NotRun})
		}
		if sent != max(1, attempts) || b.outcomeOf(call) != "refused" {
			t.Errorf("with %d tries it was sent to %d servers, and %s", attempts, sent, b.outcomeOf(call))
		}
	}
}

// A server with no connection free here is passed over, however many of them there
// are: it costs no time, and a further one may have places.
func TestServersWithoutAFreeConnectionArePassedOver(t *testing.T) {
	const full = 2 * maxUnsentAttempts
	b := newBench(t, slices.Repeat([]string{"a"}, full+1), newRoute(config.OneShot, 1))
	call := b.submit("o", config.OneShot)
	for i := range full {
		if b.outcomeOf(call) != "again" {
			t.Fatalf("after %d servers it %s", i, b.outcomeOf(call))
		}
		call = b.send(AttemptResult{RequestID: "o", Outcome: NotSent, LocalFailure: true})
	}
	if b.outcomeOf(call) != "again" {
		t.Fatalf("after %d servers it %s, though one is left", full, b.outcomeOf(call))
	}
	b.send(AttemptResult{RequestID: "o", Outcome: Complete, ResponseStarted: true})
	b.checkIdle("served")
	// Where each of very many has none free, there is an end.
	b = newBench(t, slices.Repeat([]string{"a"}, maxLocalFailures+5), newRoute(config.OneShot, 1))
	call = b.submit("o", config.OneShot)
	looked := 0
	for ; b.outcomeOf(call) == "again"; looked++ {
		call = b.send(AttemptResult{RequestID: "o", Outcome: NotSent, LocalFailure: true})
	}
	if looked != maxLocalFailures+1 || b.outcomeOf(call) != "refused" {
		t.Errorf("after %d servers it %s", looked, b.outcomeOf(call))
	}
}

// The time of a request begins as its head comes, not once its body is there: the
// route's time and the caller's bound how long it is held.
func TestTimeRunsFromTheHead(t *testing.T) {
	for name, c := range map[string]struct{ wait, want clock.Micros }{
		"the route's time":  {0, 5 * clock.Second},
		"the caller's time": {2 * clock.Second, 2 * clock.Second},
	} {
		b := newBench(t, []string{"a"}, newRoute(config.OneShot, 1))
		received := b.now - 700*millisecond
		attempt := b.attempt(b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", ReceivedAt: received, CallerTimeout: c.wait}))
		if attempt.Deadline != received+c.want {
			t.Errorf("%s: it may be held until %d, not %d", name, attempt.Deadline, received+c.want)
		}
	}
	b := newBench(t, []string{"a"}, newRoute(config.OneShot, 1))
	call := b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", ReceivedAt: b.now - 6*clock.Second})
	if got := b.outcomeOf(call); got != "refused" {
		t.Errorf("a body that took longer than the route's time: it %s", got)
	}
	b.checkIdle("late")
}

// A daemon without a configuration denies nothing; one with a configuration denies what the configuration does
// not have, and hands lots on.
func TestRoutes(t *testing.T) {
	b := newBench(t, []string{"a"})
	if got := b.outcomeOf(b.submit("o", config.OneShot)); got != "refused" {
		t.Errorf("without a plan: %s", got)
	}
	batchRoute := newRoute(config.Batch, 1)
	b = newBench(t, []string{"a"}, newRoute(config.OneShot, 1), batchRoute)
	for _, request := range []Request{{ID: "o", Host: "nowhere", Path: "/x/y"}, {ID: "o", Host: config.OneShot, Path: "/y/x"}, {ID: "o", Host: config.OneShot, Path: "/x"}} {
		if got := b.outcomeOf(b.send(request)); got != string(errs.UnknownRoute) {
			t.Errorf("%s%s: %s", request.Host, request.Path, got)
		}
	}
	call := b.submit("o", config.Batch)
	if submission, ok := b.replies[call].Body.(BatchSubmission); !ok || submission.Route.Name != batchRoute.Name {
		t.Errorf("a lot: %+v", b.replies[call])
	}
	b.checkIdle("routes")
}

// A request waits for a server no longer than a share of its aim, an upper bound,
// its caller's time and its route's; then it is refused with when to come back.
func TestQueueTimeIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		latencyTarget, deadline, wait, want clock.Micros
	}{
		"a share of the aim":  {300 * millisecond, 5 * clock.Second, 0, 60 * millisecond},
		"a long aim":          {60 * clock.Second, 500 * clock.Second, 0, 200 * millisecond},
		"no aim":              {0, 5 * clock.Second, 0, 200 * millisecond},
		"an impatient caller": {300 * millisecond, 5 * clock.Second, 20 * millisecond, 20 * millisecond},
		"a short route":       {300 * millisecond, 10 * millisecond, clock.Second, 10 * millisecond},
	} {
		r := newRoute(config.OneShot, 2)
		r.Forward.LatencyTarget, r.Timeout = c.latencyTarget, c.deadline
		b := newBench(t, nil, r)
		call := b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", CallerTimeout: c.wait})
		b.advance(c.want - 1)
		if got := b.outcomeOf(call); got != "waits" {
			t.Errorf("%s: a moment before it %s", name, got)
		}
		b.advance(1)
		if got := b.outcomeOf(call); got != "refused" {
			t.Errorf("%s: then it %s", name, got)
		}
		b.checkIdle(name)
	}
}

// A request that waits is sent as soon as a server comes, with what is left of its
// time.
func TestAServerComesInTime(t *testing.T) {
	b := newBench(t, nil, newRoute(config.OneShot, 2))
	call := b.send(Request{ID: "o", Host: config.OneShot, Path: "/x/y", CallerTimeout: clock.Second})
	deadline := b.now + clock.Second
	b.advance(50 * millisecond)
	b.addServer("late", "a", 4)
	b.collectReplies()
	if attempt := b.attempt(call); attempt.Server != "late" || attempt.Deadline != deadline {
		t.Errorf("sent as %+v", attempt)
	}
}

// Once its time is over a request is sent nowhere, whatever its kind.
func TestNoAttemptAfterTheDeadline(t *testing.T) {
	for outcome, want := range map[Outcome]string{NotRun: "refused", NotSent: "refused", Interrupted: "unknown"} {
		b := newBench(t, []string{"a", "a"}, newRoute(config.Repeatable, 5))
		b.submit("o", config.Repeatable)
		b.now += 5 * clock.Second
		if got := b.outcomeOf(b.send(AttemptResult{RequestID: "o", Outcome: outcome})); got != want {
			t.Errorf("outcome %d: %s", outcome, got)
		}
	}
}

// A split route's requests go by the shares; a part without one gets none.
func TestSplitShares(t *testing.T) {
	r := newRoute(config.OneShot, 1)
	weighted := func(pool string, share int64) config.WeightedPools {
		return config.WeightedPools{Pools: config.Selector{"u": {pool}}, Weight: share}
	}
	for name, c := range map[string]struct {
		split           []config.WeightedPools
		atLeast, atMost int // of 2000 that go to b
	}{
		"nine to one": {[]config.WeightedPools{weighted("a", 90_000), weighted("b", 10_000)}, 140, 260},
		"halves":      {[]config.WeightedPools{weighted("a", 1), weighted("b", 1)}, 900, 1100},
		"all to b":    {[]config.WeightedPools{weighted("a", 0), weighted("b", 7)}, 2000, 2000},
		"none to b":   {[]config.WeightedPools{weighted("a", 7), weighted("b", 0)}, 0, 0},
	} {
		r.Forward.Split = c.split
		b := newBench(t, []string{"a", "b"}, r)
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
			t.Errorf("%s: %d of %d went to b", name, got, b.Forwarded)
		}
	}
}

// The higher rank goes first when servers are scarce; a word on a request that is
// not under way finds nobody.
func TestPriorityAndUnknownRequests(t *testing.T) {
	low, high := newRoute(config.OneShot, 1), newRoute(config.Repeatable, 1)
	b := newBench(t, nil, low, high)
	configuration := *b.scheduler.Configuration()
	configuration.Version, configuration.Classes = 2, []config.PriorityClass{{Name: "low", Priority: 1}, {Name: "high", Priority: 9}}
	configuration.Tenants = []config.Tenant{{Name: low.Name, Class: "low"}, {Name: high.Name, Class: "high"}}
	configuration.Index()
	b.scheduler.SetConfiguration(&configuration, b.now)
	first, second := b.submit("low", config.OneShot), b.submit("high", config.Repeatable)
	b.addServer("only", "a", 1)
	b.collectReplies()
	if b.outcomeOf(first) != "waits" || b.outcomeOf(second) != "again" {
		t.Errorf("the lower one %s, the higher one %s", b.outcomeOf(first), b.outcomeOf(second))
	}
	if got := b.outcomeOf(b.send(AttemptResult{RequestID: "nobody", Outcome: Complete})); got != string(errs.OutcomeUnknown) {
		t.Errorf("a word on nobody's request: %s", got)
	}
	if got := b.outcomeOf(b.send(AttemptResult{RequestID: "low", Outcome: Complete})); got != string(errs.OutcomeUnknown) {
		t.Errorf("a word on a request that was not sent: %s", got)
	}
	b.send(AttemptStarted{RequestID: "high"})
	b.send(AttemptStarted{RequestID: "nobody"})
	if b.Call(1, 5, b.now) {
		t.Error("the ford takes what is not its own")
	}
}

// countSecondRuns counts, over all kinds and outcomes, the tries of requests that must
// not run twice after one that may have run.
func countSecondRuns(t *testing.T, injected bool) (runs int) {
	for _, kind := range []string{config.OneShot, config.Stream} {
		for _, outcome := range []Outcome{Failed, Interrupted} {
			b := newBench(t, []string{"a", "a"}, newRoute(kind, 2))
			b.RetryUnsafely = injected
			b.submit("o", kind)
			if b.outcomeOf(b.send(AttemptResult{RequestID: "o", Outcome: outcome})) == "again" {
				runs++
			}
		}
	}
	return runs
}

// The check on second runs catches the planted one.
func TestAnInjectedSecondRunIsCaught(t *testing.T) {
	if runs := countSecondRuns(t, false); runs != 0 {
		t.Errorf("%d requests that may have run were sent on", runs)
	}
	if runs := countSecondRuns(t, true); runs == 0 {
		t.Error("the planted fault was not seen")
	}
}

// A configuration that drops the route while a request waits ends it.
func TestTheRouteGoes(t *testing.T) {
	b := newBench(t, nil, newRoute(config.OneShot, 2))
	call := b.submit("o", config.OneShot)
	other := newRoute(config.Stream, 1)
	configuration := &config.Configuration{Version: 2, Routes: []config.Route{other}}
	addTenants(configuration)
	b.scheduler.SetConfiguration(configuration, b.now)
	b.collectReplies()
	if got := b.outcomeOf(call); got != string(errs.UnknownRoute) {
		t.Errorf("it %s", got)
	}
	b.checkIdle("the route goes")
}

// A route that requests are passed on by needs no tenant of its name: in a configuration of
// the product's own form callers carry no key there.
func TestARouteWithoutATenant(t *testing.T) {
	b := newBench(t, []string{"a"})
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
