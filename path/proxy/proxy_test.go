package proxy

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/path/registry"
	"tuliprudder/path/scheduler"
)

const millisecond = clock.Millisecond

// bench is a ford with a backlog and servers, in virtual time.
type bench struct {
	*Proxy
	t       *testing.T
	d       *scheduler.Scheduler
	wire    *machine.Wire
	now     clock.Micros
	calls   uint64
	answers map[uint64]machine.Answer
}

// newBench has servers of the pools a and b, in a list like "a a b"; with routes
// there is a plan of one route of each kind.
func newBench(t *testing.T, servers []string, routes ...config.Route) *bench {
	t.Helper()
	set := scheduler.Defaults()
	set.Staleness = scheduler.ServeOn
	b := &bench{t: t, d: scheduler.New(set, 7), wire: machine.NewWire(), now: 10 * clock.Second, answers: map[uint64]machine.Answer{}}
	b.Proxy = New(Defaults(), b.wire, b.d, 7)
	if len(routes) > 0 {
		plan := &config.Plan{Version: 1, Judges: map[string]float64{"fullness": 1, "spread": 1}, Routes: routes}
		for _, pool := range []string{"a", "b"} {
			plan.Pools = append(plan.Pools, config.Pool{Name: pool, Labels: config.Labels{"u": pool}, Servers: config.Selector{"pool": {pool}}})
		}
		named(plan)
		b.d.SetPlan(plan, b.now)
	}
	for i, pool := range servers {
		b.server(fmt.Sprint(pool, i), pool, 4)
	}
	return b
}

// named gives a plan's routes the customers and the class they stand for.
func named(plan *config.Plan) {
	plan.Classes = append(plan.Classes, config.Class{Name: "c", Rank: 5})
	for _, route := range plan.Routes {
		plan.Customers = append(plan.Customers, config.Customer{Name: route.Name, Class: "c"})
	}
	plan.Index()
}

func (b *bench) server(name, pool string, slots int) {
	b.d.SetServer(registry.Server{Name: name, Address: "at-" + name, Slots: slots, Labels: map[string]string{"pool": pool}})
}

// route is one of a kind; its host is its kind.
func route(kind string, tries int64) config.Route {
	return config.Route{Name: "r-" + kind, Kind: kind, Pools: config.Selector{"u": {"a"}}, Expiry: 5 * clock.Second,
		Forward: &config.Forward{Host: kind, PathPrefix: "/x/", Tries: tries, Aim: 300 * millisecond}}
}

// call hands a word to the ford and settles the backlog, as an edge's machine does.
func (b *bench) call(body any) uint64 {
	b.calls++
	if !b.Call(b.calls, body, b.now) {
		b.t.Fatalf("the ford does not take %T", body)
	}
	b.settle()
	return b.calls
}

func (b *bench) settle() {
	b.d.Settle(b.now)
	for _, effect := range b.wire.Drain() {
		answer, ok := effect.(machine.Answer)
		if !ok {
			b.t.Fatalf("the ford did %T", effect)
		}
		if _, twice := b.answers[answer.Call]; twice {
			b.t.Fatalf("the call %d is answered twice", answer.Call)
		}
		b.answers[answer.Call] = answer
	}
}

func (b *bench) wait(span clock.Micros) {
	b.now += span
	b.d.Match(b.now)
	b.settle()
}

func (b *bench) arrive(order, kind string) uint64 {
	return b.call(Arrive{Order: order, Host: kind, Path: "/x/y"})
}

// run is the server that a call's answer sends the request to.
func (b *bench) run(call uint64) Run {
	b.t.Helper()
	run, ok := b.answers[call].Body.(Run)
	if !ok {
		b.t.Fatalf("the answer is %+v, no server", b.answers[call])
	}
	return run
}

// word sums an answer up: where it goes on, what its end is, or that none came yet.
func (b *bench) word(call uint64) string {
	answer, came := b.answers[call]
	m := (*errs.Error)(nil)
	if answer.Err != nil {
		m = errs.Of(answer.Err)
	}
	switch {
	case !came:
		return "waits"
	case m != nil && m.Kind == errs.NotReady && m.RetryAfter >= Defaults().Back:
		return "refused"
	case m != nil && m.Kind == errs.ServerFault && m.RetryAfter == 0:
		return "unknown"
	case m != nil:
		return string(m.Kind)
	}
	return map[bool]string{true: "again", false: fmt.Sprintf("%T", answer.Body)}[fmt.Sprintf("%T", answer.Body) == "proxy.Run"]
}

// What a request may do after a try is told apart by its kind, by what is certain
// of the try, and by how many servers it may still be sent to. The table is written
// by hand: it is not worked out by the rules it checks.
func TestWhatFollowsATry(t *testing.T) {
	const (
		one, rep, str, res = config.OneShot, config.Repeatable, config.Stream, config.Resumable
		last               = 1 // no further server is allowed
		more               = 2 // one more is
	)
	for _, c := range []struct {
		kinds   []string
		outcome Outcome
		began   bool
		tries   int64
		want    string
	}{
		{[]string{one, rep, str, res}, Whole, true, last, "proxy.Over"},
		{[]string{one, rep, str, res}, Whole, true, more, "proxy.Over"},
		// Nothing reached the server: it counts for no try, and may go elsewhere.
		{[]string{one, rep, str, res}, Unsent, false, last, "again"},
		{[]string{one, rep, str, res}, Unsent, false, more, "again"},
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
		{[]string{one, str}, Cut, false, more, "unknown"},
		{[]string{one, str}, Cut, false, last, "unknown"},
		{[]string{rep, res}, Cut, false, more, "again"},
		{[]string{rep, res}, Cut, false, last, "unknown"},
		// Some of it has reached the caller: only a resumable stream goes on.
		{[]string{one, rep, str}, Cut, true, more, "unknown"},
		{[]string{res}, Cut, true, more, "again"},
		{[]string{one, rep, str, res}, Cut, true, last, "unknown"},
	} {
		for _, kind := range c.kinds {
			name := fmt.Sprintf("%s, outcome %d, began %v, %d tries", kind, c.outcome, c.began, c.tries)
			b := newBench(t, []string{"a", "a", "a"}, route(kind, c.tries))
			first := b.run(b.arrive("o", kind))
			if first.Last != (c.tries == last) || first.Route.Kind != kind || first.Address != "at-"+first.Server || first.Expiry != b.now+5*clock.Second {
				t.Errorf("%s: first sent as %+v", name, first)
			}
			call := b.call(Ran{Order: "o", Outcome: c.outcome, Began: c.began, Why: "x"})
			if got := b.word(call); got != c.want {
				t.Errorf("%s: %s (%v), not %s", name, got, b.answers[call].Err, c.want)
			}
			if c.want == "again" {
				if second := b.run(call); second.Server == first.Server || second.Expiry != first.Expiry {
					t.Errorf("%s: after %s it goes to %s, with expiry %d", name, first.Server, second.Server, second.Expiry)
				}
				b.call(Ran{Order: "o", Outcome: Whole, Began: true})
			}
			b.idle(name)
		}
	}
}

// idle checks that nothing is left open and no server held.
func (b *bench) idle(name string) {
	b.t.Helper()
	if b.Open() != 0 || b.d.Backlog() != 0 {
		b.t.Errorf("%s: %d requests are open, %d wait", name, b.Open(), b.d.Backlog())
	}
	views, _ := b.d.View()
	for _, view := range views {
		if view.Own != 0 {
			b.t.Errorf("%s: %s is held %d times", name, view.Name, view.Own)
		}
	}
}

// A caller that has left, or whose time is over, has no further try; it is only
// said to be refused where nothing can have run.
func TestNobodyWaitsAnyMore(t *testing.T) {
	for _, kind := range []string{config.OneShot, config.Repeatable, config.Stream, config.Resumable} {
		for outcome, want := range map[Outcome]string{Unsent: "refused", NotRun: "refused", Failed: "unknown", Cut: "unknown"} {
			b := newBench(t, []string{"a", "a"}, route(kind, 5))
			b.arrive("o", kind)
			if got := b.word(b.call(Ran{Order: "o", Outcome: outcome, Over: true})); got != want {
				t.Errorf("%s, outcome %d: %s, not %s", kind, outcome, got, want)
			}
			b.idle(kind)
		}
	}
}

// Once a try may have run, no later one that certainly did not makes a refusal of
// it: not the server's word, not a connection that fails, not a backlog that is full.
func TestAMayHaveRunStays(t *testing.T) {
	for _, kind := range []string{config.Repeatable, config.Resumable} {
		for _, first := range []Outcome{Failed, Cut} {
			for _, second := range []Outcome{NotRun, Unsent, Failed, Cut} {
				b := newBench(t, []string{"a", "a"}, route(kind, 2))
				b.arrive("o", kind)
				b.call(Ran{Order: "o", Outcome: first})
				call := b.call(Ran{Order: "o", Outcome: second})
				b.wait(clock.Second) // where it waits for a third server, none comes
				if got := b.word(call); got != "unknown" {
					t.Errorf("%s, outcomes %d and %d: %s", kind, first, second, got)
				}
				b.idle(kind)
			}
			b := newBench(t, []string{"a"}, route(kind, 3))
			b.arrive("o", kind)
			call := b.call(Ran{Order: "o", Outcome: first})
			b.wait(clock.Second)
			if got := b.word(call); got != "unknown" {
				t.Errorf("%s, outcome %d and no other server: %s", kind, first, got)
			}
		}
	}
}

// A route's tries are the servers that a request is sent to; one that nothing
// reached does not count.
func TestTriesAreCounted(t *testing.T) {
	for _, tries := range []int64{0, 1, 2, 3} {
		b := newBench(t, []string{"a", "a", "a", "a", "a"}, route(config.OneShot, tries))
		b.arrive("o", config.OneShot)
		call := b.call(Ran{Order: "o", Outcome: Unsent})
		sent, servers := int64(0), map[string]bool{}
		for b.word(call) == "again" {
			if servers[b.run(call).Server] {
				t.Fatalf("%s is tried twice", b.run(call).Server)
			}
			servers[b.run(call).Server] = true
			sent++
			if b.run(call).Last != (sent == max(1, tries)) {
				t.Errorf("of %d tries the %dth is said to be the last: %v", tries, sent, b.run(call).Last)
			}
			call = b.call(Ran{Order: "o", Outcome: NotRun})
		}
		if sent != max(1, tries) || b.word(call) != "refused" {
			t.Errorf("with %d tries it was sent to %d servers, and %s", tries, sent, b.word(call))
		}
	}
}

// A server with no connection free here is passed over, however many of them there
// are: it costs no time, and a further one may have places.
func TestServersWithoutAFreeConnectionArePassedOver(t *testing.T) {
	const full = 2 * mostUnsent
	b := newBench(t, slices.Repeat([]string{"a"}, full+1), route(config.OneShot, 1))
	call := b.arrive("o", config.OneShot)
	for i := range full {
		if b.word(call) != "again" {
			t.Fatalf("after %d servers it %s", i, b.word(call))
		}
		call = b.call(Ran{Order: "o", Outcome: Unsent, Here: true})
	}
	if b.word(call) != "again" {
		t.Fatalf("after %d servers it %s, though one is left", full, b.word(call))
	}
	b.call(Ran{Order: "o", Outcome: Whole, Began: true})
	b.idle("served")
	// Where each of very many has none free, there is an end.
	b = newBench(t, slices.Repeat([]string{"a"}, mostHere+5), route(config.OneShot, 1))
	call = b.arrive("o", config.OneShot)
	looked := 0
	for ; b.word(call) == "again"; looked++ {
		call = b.call(Ran{Order: "o", Outcome: Unsent, Here: true})
	}
	if looked != mostHere+1 || b.word(call) != "refused" {
		t.Errorf("after %d servers it %s", looked, b.word(call))
	}
}

// The time of a request begins as its head comes, not once its body is there: the
// route's time and the caller's bound how long it is held.
func TestTimeRunsFromTheHead(t *testing.T) {
	for name, c := range map[string]struct{ wait, want clock.Micros }{
		"the route's time":  {0, 5 * clock.Second},
		"the caller's time": {2 * clock.Second, 2 * clock.Second},
	} {
		b := newBench(t, []string{"a"}, route(config.OneShot, 1))
		came := b.now - 700*millisecond
		run := b.run(b.call(Arrive{Order: "o", Host: config.OneShot, Path: "/x/y", Came: came, Wait: c.wait}))
		if run.Expiry != came+c.want {
			t.Errorf("%s: it may be held until %d, not %d", name, run.Expiry, came+c.want)
		}
	}
	b := newBench(t, []string{"a"}, route(config.OneShot, 1))
	call := b.call(Arrive{Order: "o", Host: config.OneShot, Path: "/x/y", Came: b.now - 6*clock.Second})
	if got := b.word(call); got != "refused" {
		t.Errorf("a body that took longer than the route's time: it %s", got)
	}
	b.idle("late")
}

// A daemon without a plan denies nothing; one with a plan denies what the plan does
// not have, and hands lots on.
func TestRoutes(t *testing.T) {
	b := newBench(t, []string{"a"})
	if got := b.word(b.arrive("o", config.OneShot)); got != "refused" {
		t.Errorf("without a plan: %s", got)
	}
	lots := route(config.Bundle, 1)
	b = newBench(t, []string{"a"}, route(config.OneShot, 1), lots)
	for _, ask := range []Arrive{{Order: "o", Host: "nowhere", Path: "/x/y"}, {Order: "o", Host: config.OneShot, Path: "/y/x"}, {Order: "o", Host: config.OneShot, Path: "/x"}} {
		if got := b.word(b.call(ask)); got != string(errs.UnknownRoute) {
			t.Errorf("%s%s: %s", ask.Host, ask.Path, got)
		}
	}
	call := b.arrive("o", config.Bundle)
	if bulk, ok := b.answers[call].Body.(Bulk); !ok || bulk.Route.Name != lots.Name {
		t.Errorf("a lot: %+v", b.answers[call])
	}
	b.idle("routes")
}

// A request waits for a server no longer than a share of its aim, an upper bound,
// its caller's time and its route's; then it is refused with when to come back.
func TestHoldIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		aim, expiry, wait, want clock.Micros
	}{
		"a share of the aim":  {300 * millisecond, 5 * clock.Second, 0, 60 * millisecond},
		"a long aim":          {60 * clock.Second, 500 * clock.Second, 0, 200 * millisecond},
		"no aim":              {0, 5 * clock.Second, 0, 200 * millisecond},
		"an impatient caller": {300 * millisecond, 5 * clock.Second, 20 * millisecond, 20 * millisecond},
		"a short route":       {300 * millisecond, 10 * millisecond, clock.Second, 10 * millisecond},
	} {
		r := route(config.OneShot, 2)
		r.Forward.Aim, r.Expiry = c.aim, c.expiry
		b := newBench(t, nil, r)
		call := b.call(Arrive{Order: "o", Host: config.OneShot, Path: "/x/y", Wait: c.wait})
		b.wait(c.want - 1)
		if got := b.word(call); got != "waits" {
			t.Errorf("%s: a moment before it %s", name, got)
		}
		b.wait(1)
		if got := b.word(call); got != "refused" {
			t.Errorf("%s: then it %s", name, got)
		}
		b.idle(name)
	}
}

// A request that waits is sent as soon as a server comes, with what is left of its
// time.
func TestAServerComesInTime(t *testing.T) {
	b := newBench(t, nil, route(config.OneShot, 2))
	call := b.call(Arrive{Order: "o", Host: config.OneShot, Path: "/x/y", Wait: clock.Second})
	expiry := b.now + clock.Second
	b.wait(50 * millisecond)
	b.server("late", "a", 4)
	b.settle()
	if run := b.run(call); run.Server != "late" || run.Expiry != expiry {
		t.Errorf("sent as %+v", run)
	}
}

// Once its time is over a request is sent nowhere, whatever its kind.
func TestNoTryAfterTheExpiry(t *testing.T) {
	for outcome, want := range map[Outcome]string{NotRun: "refused", Unsent: "refused", Cut: "unknown"} {
		b := newBench(t, []string{"a", "a"}, route(config.Repeatable, 5))
		b.arrive("o", config.Repeatable)
		b.now += 5 * clock.Second
		if got := b.word(b.call(Ran{Order: "o", Outcome: outcome})); got != want {
			t.Errorf("outcome %d: %s", outcome, got)
		}
	}
}

// A split route's requests go by the shares; a part without one gets none.
func TestSplitShares(t *testing.T) {
	r := route(config.OneShot, 1)
	part := func(pool string, share int64) config.Share {
		return config.Share{Pools: config.Selector{"u": {pool}}, Share: share}
	}
	for name, c := range map[string]struct {
		split       []config.Share
		least, most int // of 2000 that go to b
	}{
		"nine to one": {[]config.Share{part("a", 90_000), part("b", 10_000)}, 140, 260},
		"halves":      {[]config.Share{part("a", 1), part("b", 1)}, 900, 1100},
		"all to b":    {[]config.Share{part("a", 0), part("b", 7)}, 2000, 2000},
		"none to b":   {[]config.Share{part("a", 7), part("b", 0)}, 0, 0},
	} {
		r.Forward.Split = c.split
		b := newBench(t, []string{"a", "b"}, r)
		for i := range 2000 {
			order := fmt.Sprint(i)
			b.arrive(order, config.OneShot)
			b.call(Ran{Order: order, Outcome: Whole, Began: true})
		}
		got := 0
		for _, answer := range b.answers {
			if run, ok := answer.Body.(Run); ok && run.Server == "b1" {
				got++
			}
		}
		if got < c.least || got > c.most || b.Passed != 2000 {
			t.Errorf("%s: %d of %d went to b", name, got, b.Passed)
		}
	}
}

// The higher rank goes first when servers are scarce; a word on a request that is
// not under way finds nobody.
func TestRankAndStrangers(t *testing.T) {
	low, high := route(config.OneShot, 1), route(config.Repeatable, 1)
	b := newBench(t, nil, low, high)
	plan := *b.d.Plan()
	plan.Version, plan.Classes = 2, []config.Class{{Name: "low", Rank: 1}, {Name: "high", Rank: 9}}
	plan.Customers = []config.Customer{{Name: low.Name, Class: "low"}, {Name: high.Name, Class: "high"}}
	plan.Index()
	b.d.SetPlan(&plan, b.now)
	first, second := b.arrive("low", config.OneShot), b.arrive("high", config.Repeatable)
	b.server("only", "a", 1)
	b.settle()
	if b.word(first) != "waits" || b.word(second) != "again" {
		t.Errorf("the lower one %s, the higher one %s", b.word(first), b.word(second))
	}
	if got := b.word(b.call(Ran{Order: "nobody", Outcome: Whole})); got != string(errs.OutcomeUnknown) {
		t.Errorf("a word on nobody's request: %s", got)
	}
	if got := b.word(b.call(Ran{Order: "low", Outcome: Whole})); got != string(errs.OutcomeUnknown) {
		t.Errorf("a word on a request that was not sent: %s", got)
	}
	b.call(Began{Order: "high"})
	b.call(Began{Order: "nobody"})
	if b.Call(1, 5, b.now) {
		t.Error("the ford takes what is not its own")
	}
}

// secondRuns counts, over all kinds and outcomes, the tries of requests that must
// not run twice after one that may have run.
func secondRuns(t *testing.T, planted bool) (runs int) {
	for _, kind := range []string{config.OneShot, config.Stream} {
		for _, outcome := range []Outcome{Failed, Cut} {
			b := newBench(t, []string{"a", "a"}, route(kind, 2))
			b.SecondRun = planted
			b.arrive("o", kind)
			if b.word(b.call(Ran{Order: "o", Outcome: outcome})) == "again" {
				runs++
			}
		}
	}
	return runs
}

// The check on second runs catches the planted one.
func TestAPlantedSecondRunIsCaught(t *testing.T) {
	if runs := secondRuns(t, false); runs != 0 {
		t.Errorf("%d requests that may have run were sent on", runs)
	}
	if runs := secondRuns(t, true); runs == 0 {
		t.Error("the planted fault was not seen")
	}
}

// A plan that drops the route while a request waits ends it.
func TestTheRouteGoes(t *testing.T) {
	b := newBench(t, nil, route(config.OneShot, 2))
	call := b.arrive("o", config.OneShot)
	other := route(config.Stream, 1)
	plan := &config.Plan{Version: 2, Routes: []config.Route{other}}
	named(plan)
	b.d.SetPlan(plan, b.now)
	b.settle()
	if got := b.word(call); got != string(errs.UnknownRoute) {
		t.Errorf("it %s", got)
	}
	b.idle("the route goes")
}

// A route that requests are passed on by needs no customer of its name: in a plan of
// the product's own form callers carry no key there.
func TestARouteWithoutACustomer(t *testing.T) {
	b := newBench(t, []string{"a"})
	plan, err := config.Parse([]byte(`{"classes":[{"name":"c","rank":5,"allowance":1}],"pools":[{"name":"a","labels":{"u":"a"},"servers":{"pool":"a"}}],
	 "routes":[{"name":"r","kind":"repeatable","classes":{},"pools":{"u":"a"},"forward":{"host":"h.example","path_prefix":"/x/"}}]}`))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	plan.Version = 1
	b.d.SetPlan(plan, b.now)
	if run := b.run(b.arrive("o", "h.example")); run.Server != "a0" {
		t.Errorf("sent as %+v", run)
	}
}
