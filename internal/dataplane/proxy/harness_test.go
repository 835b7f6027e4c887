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

// testBench runs a proxy with a scheduler and servers in virtual time.
type testBench struct {
	*Proxy
	t            *testing.T
	scheduler    *scheduler.Scheduler
	machineCalls *machine.Calls
	now          clock.Micros
	lastCall     uint64
	replies      map[uint64]machine.Reply
}

// newTestBench makes a test bench with one server per element of servers, which names its pool, a or b.
// It has a configuration only if routes are given.
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

// newRoute returns a route of a kind, whose host is the name of the kind.
func newRoute(kind string, attempts int64) config.Route {
	return config.Route{Name: "r-" + kind, Kind: kind, Pools: config.Selector{"u": {"a"}}, Timeout: 5 * clock.Second,
		Forward: &config.Forward{Host: kind, PathPrefix: "/x/", MaxAttempts: attempts, LatencyTarget: 300 * millisecond, Priority: 5}}
}

// send passes a message to the proxy and runs the scheduler's matching, as the edge's state machine does.
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
			b.t.Fatalf("call %d got two replies", response.Call)
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

// attempt returns the attempt in the reply to a call.
func (b *testBench) attempt(call uint64) Attempt {
	b.t.Helper()
	attempt, ok := b.replies[call].Body.(Attempt)
	if !ok {
		b.t.Fatalf("the reply is %+v, not an attempt", b.replies[call])
	}
	return attempt
}

// outcomeOf summarises the reply to a call: an attempt, the final reply, or "waits" where there is none yet.
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

// checkIdle checks that no request is in flight or queued and that no server is assigned.
func (b *testBench) checkIdle(name string) {
	b.t.Helper()
	if b.InFlight() != 0 || b.scheduler.QueueLength() != 0 {
		b.t.Errorf("%s: %d requests are in flight, %d queued", name, b.InFlight(), b.scheduler.QueueLength())
	}
	views, _ := b.scheduler.Snapshot()
	for _, view := range views {
		if view.OwnRequests != 0 {
			b.t.Errorf("%s: server %s has %d assigned requests", name, view.Name, view.OwnRequests)
		}
	}
}
