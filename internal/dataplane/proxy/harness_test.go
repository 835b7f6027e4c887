package proxy

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

const millisecond = clock.Millisecond

// testBench is a proxy with a scheduler and servers, in virtual time.
type testBench struct {
	*Proxy
	t            *testing.T
	scheduler    *scheduler.Scheduler
	machineCalls *machine.Calls
	now          clock.Micros
	lastCall     uint64
	replies      map[uint64]machine.Reply
}

// newTestBench has one server for each given pool, a or b; it has a configuration only if
// routes are given.
func newTestBench(t *testing.T, servers []string, routes ...config.Route) *testBench {
	t.Helper()
	settings := scheduler.Defaults()
	settings.MaxStaleness = scheduler.UnlimitedStaleness
	b := &testBench{t: t, scheduler: scheduler.New(settings, 7), machineCalls: machine.NewCalls(), now: 10 * clock.Second, replies: map[uint64]machine.Reply{}}
	b.Proxy = New(Defaults(), b.machineCalls, b.scheduler, 7)
	if len(routes) > 0 {
		configuration := &config.Configuration{Version: 1, ScorerWeights: map[string]float64{"fullness": 1, "spread": 1}, Routes: routes}
		for _, pool := range []string{"a", "b"} {
			configuration.Pools = append(configuration.Pools, config.Pool{Name: pool, Labels: config.Labels{"u": pool}, Servers: config.Selector{"pool": {pool}}})
		}
		configuration.Index()
		b.scheduler.SetConfiguration(configuration, b.now)
	}
	for i, pool := range servers {
		b.addServer(fmt.Sprint(pool, i), pool, 4)
	}
	return b
}

func (b *testBench) addServer(name, pool string, slots int) {
	b.scheduler.SetServer(endpoints.Server{Name: name, Address: "at-" + name, Slots: slots, Labels: map[string]string{"pool": pool}})
}

// newRoute is one of a kind; its host is its kind.
func newRoute(kind string, attempts int64) config.Route {
	return config.Route{Name: "r-" + kind, Kind: kind, Pools: config.Selector{"u": {"a"}}, Timeout: 5 * clock.Second,
		Forward: &config.Forward{Host: kind, PathPrefix: "/x/", MaxAttempts: attempts, LatencyTarget: 300 * millisecond, Priority: 5}}
}

// send passes a message to the proxy and matches the queue, as the edge's machine does.
func (b *testBench) send(body any) uint64 {
	b.lastCall++
	if !b.Call(b.lastCall, body, b.now) {
		b.t.Fatalf("the proxy does not handle %T", body)
	}
	b.collectReplies()
	return b.lastCall
}

func (b *testBench) collectReplies() {
	b.scheduler.MatchUntilStable(b.now)
	for _, effect := range b.machineCalls.Drain() {
		response, ok := effect.(machine.Reply)
		if !ok {
			b.t.Fatalf("the proxy emitted %T", effect)
		}
		if _, duplicate := b.replies[response.Call]; duplicate {
			b.t.Fatalf("the call %d is answered twice", response.Call)
		}
		b.replies[response.Call] = response
	}
}

func (b *testBench) advance(span clock.Micros) {
	b.now += span
	b.scheduler.Match(b.now)
	b.collectReplies()
}

func (b *testBench) submit(requestID, kind string) uint64 {
	return b.send(Request{ID: requestID, Host: kind, Path: "/x/y"})
}

// attempt is the attempt that the reply to a call decides on.
func (b *testBench) attempt(call uint64) Attempt {
	b.t.Helper()
	attempt, ok := b.replies[call].Body.(Attempt)
	if !ok {
		b.t.Fatalf("the reply is %+v, not an attempt", b.replies[call])
	}
	return attempt
}

// outcomeOf sums up the reply to a call: an attempt, the final answer, or none yet.
func (b *testBench) outcomeOf(call uint64) string {
	response, received := b.replies[call]
	typedErr := (*errs.Error)(nil)
	if response.Err != nil {
		typedErr = errs.Of(response.Err)
	}
	switch {
	case !received:
		return "waits"
	case typedErr != nil && typedErr.Kind == errs.NotReady && typedErr.RetryAfterUS >= Defaults().MinRetryAfter:
		return "rejected"
	case typedErr != nil && typedErr.Kind == errs.ServerFault && typedErr.RetryAfterUS == 0:
		return "unknown"
	case typedErr != nil:
		return string(typedErr.Kind)
	}
	return map[bool]string{true: "attempt", false: fmt.Sprintf("%T", response.Body)}[fmt.Sprintf("%T", response.Body) == "proxy.Attempt"]
}

// checkIdle checks that nothing is in flight and no server assigned.
func (b *testBench) checkIdle(name string) {
	b.t.Helper()
	if b.InFlight() != 0 || b.scheduler.QueueLength() != 0 {
		b.t.Errorf("%s: %d requests are in flight, %d queued", name, b.InFlight(), b.scheduler.QueueLength())
	}
	views, _ := b.scheduler.Snapshot()
	for _, view := range views {
		if view.OwnRequests != 0 {
			b.t.Errorf("%s: %s is assigned %d times", name, view.Name, view.OwnRequests)
		}
	}
}
