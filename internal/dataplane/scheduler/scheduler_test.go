package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
)

type fixture struct {
	*Scheduler
	now     clock.Micros
	started chan string
	dropped chan string
	route   *config.Route
}

func newFixture(t *testing.T, servers ...endpoints.Server) *fixture {
	t.Helper()
	b := &fixture{now: 10_000_000, started: make(chan string, 100), dropped: make(chan string, 100)}
	b.Scheduler = New(Defaults(), 7)
	configuration, err := config.Parse([]byte(`{"classes":[{"name":"a1","rank":1,"allowance":1},{"name":"a5","rank":5,"allowance":1},{"name":"a9","rank":9,"allowance":1}],
	 "customers":[{"name":"c1","key":"k1","class":"a1"},{"name":"c5","key":"k5","class":"a5"},{"name":"c9","key":"k9","class":"a9"}],"pools":[{"name":"p","labels":{"u":"x"},"servers":{"fleet":"main"}}],
	 "routes":[{"name":"r","kind":"one-shot","classes":{},"pools":{"u":"x"},"model":"m","weights":"w1"}],"judges":{"speed":0}}`))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	configuration.Version = 1
	b.SetConfiguration(configuration, b.now)
	b.route, _ = configuration.Route("r")
	for _, server := range servers {
		b.SetServer(server)
	}
	b.AdvanceFreshness(b.now)
	return b
}

func newServer(name string, slots int) endpoints.Server {
	return endpoints.Server{Name: name, Slots: slots, Labels: map[string]string{"fleet": "main", "weights": "w1"}}
}

func (b *fixture) submit(name string, priority int64, change func(*Request)) *Request {
	r := &Request{ID: name, Tenant: fmt.Sprint("c", priority), Route: b.route, Priority: priority, AvoidedServers: map[string]int{}}
	r.Start = func(assignment *Assignment, _ clock.Micros) { b.started <- name + "@" + assignment.Server.Name }
	r.Drop = func(err error, _ clock.Micros) { b.dropped <- name + ":" + string(errs.Of(err).Kind) }
	if change != nil {
		change(r)
	}
	if err := b.Submit(r, b.now); err != nil {
		b.dropped <- name + ":" + string(errs.Of(err).Kind)
	}
	return r
}

func (b *fixture) requireNoAssignment(t *testing.T, name string) {
	t.Helper()
	b.Match(b.now)
	if b.Assigned != 0 {
		t.Fatalf("%s: an order was assigned", name)
	}
}

// The higher rank goes first however late it came; live goes before batches of
// its rank.
func TestPriority(t *testing.T) {
	b := newFixture(t, newServer("s", 4))
	b.submit("low", 1, nil)
	b.submit("bundle", 5, func(r *Request) { r.IsBatchItem = true })
	b.submit("high", 9, nil)
	b.submit("live", 5, nil)
	var order []string
	for _, level := range []string{"high", "live", "bundle", "low"} {
		_ = level
		b.Scheduler.servers["s"].server.Slots = 1
		b.Scheduler.servers["s"].ownRequests, b.Scheduler.servers["s"].runIntervals = 0, nil
		b.Scheduler.settings.MaxUtilizationLimit, b.Scheduler.settings.MinUtilizationLimit = 1, 1
		b.Match(b.now)
		order = append(order, <-b.started)
	}
	if fmt.Sprint(order) != "[high@s live@s bundle@s low@s]" {
		t.Fatalf("started in the order %v", order)
	}
}

// A leaving server, one that is not sound, one with other weights and one out of
// the pool get nothing; old updates assign nothing.
func TestRuledOut(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"leaving":   func(b *fixture) { s := newServer("s", 4); s.Draining = true; b.SetServer(s) },
		"gone":      func(b *fixture) { s := newServer("s", 4); s.Removed = true; b.SetServer(s) },
		"not sound": func(b *fixture) { b.SetLoad("s", 1, endpoints.Load{ReadAt: b.now, Healthy: false}) },
		"full": func(b *fixture) {
			b.SetLoad("s", 1, endpoints.Load{ReadAt: b.now, Healthy: true, Running: 4, Waiting: 2})
		},
		"weights":     func(b *fixture) { s := newServer("s", 4); s.Labels["weights"] = "w2"; b.SetServer(s) },
		"other pool":  func(b *fixture) { s := newServer("s", 4); s.Labels["fleet"] = "other"; b.SetServer(s) },
		"old news":    func(b *fixture) { b.now += 2600 * clock.Millisecond },
		"turned away": func(b *fixture) { b.Scheduler.servers["s"].backoffUntil = b.now + 1 },
	} {
		b := newFixture(t, newServer("s", 4))
		change(b)
		b.submit("x", 1, nil)
		b.requireNoAssignment(t, name)
	}
	b := newFixture(t, newServer("s", 4))
	b.submit("x", 1, nil)
	b.Match(b.now)
	if got := <-b.started; got != "x@s" {
		t.Fatalf("without a reason against it: %s", got)
	}
}

// An order whose deadline passes leaves the queue at the next look, whatever
// holds the servers; a load figure of a lower epoch is rejected.
func TestDeadlineAndEpoch(t *testing.T) {
	b := newFixture(t, newServer("s", 4))
	b.SetLoad("s", 5, endpoints.Load{ReadAt: b.now, Healthy: false})
	b.SetLoad("s", 4, endpoints.Load{ReadAt: b.now, Healthy: true})
	b.submit("x", 1, func(r *Request) { r.Deadline = b.now + 100 })
	b.requireNoAssignment(t, "the lower epoch's figure was taken")
	b.now += 100
	b.Match(b.now)
	if got := <-b.dropped; got != "x:expired" {
		t.Fatalf("dropped as %s", got)
	}
	if b.QueueLength() != 0 || b.QueuedWeight("c1") != 0 {
		t.Fatalf("%d still wait", b.QueueLength())
	}
}

// The permit is asked right before the start; without it nothing starts.
func TestNoStartWithoutPermission(t *testing.T) {
	b := newFixture(t, newServer("s", 4))
	b.submit("x", 1, func(r *Request) { r.MayStart = func(clock.Micros) bool { return false } })
	b.Match(b.now)
	if got := <-b.dropped; got != "x:turned_away" {
		t.Fatalf("dropped as %s", got)
	}
	if len(b.started) != 0 {
		t.Fatal("it started")
	}
}

// Affinity to a prefix does not overload a server, and old figures do not send
// a herd to one: what this daemon started counts at once.
func TestNoHerd(t *testing.T) {
	b := newFixture(t, newServer("s1", 8), newServer("s2", 8), newServer("s3", 8))
	for i := 0; i < 18; i++ {
		b.submit(fmt.Sprint(i), 1, func(r *Request) { r.Prefix = "same" })
	}
	b.Match(b.now)
	got := map[string]int{}
	for i := 0; i < 18; i++ {
		name := <-b.started
		got[name[len(name)-2:]]++
	}
	for name, count := range got {
		if count > 9 {
			t.Fatalf("%s got %d of 18: %v", name, count, got)
		}
	}
	if len(got) != 3 {
		t.Fatalf("spread over %v", got)
	}
}

// Batches leave room that live orders may use, also where another daemon filled
// the server; none starves: after a while one at a time goes up to a full server.
func TestBatchesLeaveCapacityAndDoNotStarve(t *testing.T) {
	b := newFixture(t, newServer("s", 10))
	b.SetLoad("s", 1, endpoints.Load{ReadAt: b.now, Healthy: true, Running: 8})
	b.submit("b1", 1, func(r *Request) { r.IsBatchItem = true })
	b.submit("b2", 1, func(r *Request) { r.IsBatchItem = true })
	b.requireNoAssignment(t, "a bundle's order took the room of live ones")
	b.submit("live", 1, nil)
	b.Match(b.now)
	if got := <-b.started; got != "live@s" {
		t.Fatalf("started %s", got)
	}
	b.now += 4 * clock.Second
	b.AdvanceFreshness(b.now)
	b.Match(b.now)
	if got := <-b.started; got != "b1@s" {
		t.Fatalf("started %s", got)
	}
	if b.Match(b.now); len(b.started) != 0 {
		t.Fatalf("two at a time: %s", <-b.started)
	}
}

// Orders that have come and gone since the last figure do not make a server look
// full: only what runs there now does.
func TestFinishedRequestsFreeCapacityBeforeTheNextLoadReport(t *testing.T) {
	b := newFixture(t, newServer("s", 2))
	b.SetLoad("s", 1, endpoints.Load{ReadAt: b.now, Healthy: true, Running: 1})
	assignments := make(chan *Assignment, 1)
	for i := 0; i < 20; i++ {
		b.now += 10 * clock.Millisecond
		b.submit(fmt.Sprint(i), 1, func(r *Request) { r.Start = func(assignment *Assignment, _ clock.Micros) { assignments <- assignment } })
		b.Match(b.now)
		if b.Assigned != int64(i+1) {
			t.Fatalf("order %d was not assigned, though one other and none of ours runs there", i)
		}
		(<-assignments).Release(5*clock.Millisecond, true, b.now)
	}
	// What ran at the time of a figure is not counted twice.
	b.submit("long", 1, func(r *Request) { r.Start = func(assignment *Assignment, _ clock.Micros) { assignments <- assignment } })
	b.Match(b.now)
	<-assignments
	b.now += clock.Second / 2
	b.SetLoad("s", 1, endpoints.Load{ReadAt: b.now, Healthy: true, Running: 2})
	if s := b.Scheduler.servers["s"]; s.otherRequests != 1 || s.ownRequests != 1 {
		t.Fatalf("others %d, own %d", s.otherRequests, s.ownRequests)
	}
}

// Further tries have a budget: where every server fails, they stop multiplying
// the load; and a full queue says when it will have been worked off.
func TestRetriesHaveABudget(t *testing.T) {
	b := newFixture(t, newServer("s", 1000))
	spent := 0
	for b.SpendRetry() {
		spent++
	}
	for i := 0; i < 100; i++ {
		b.now += 10 * clock.Millisecond
		b.submit(fmt.Sprint(i), 1, func(r *Request) { r.Start = func(_ *Assignment, _ clock.Micros) {} })
		b.Match(b.now)
	}
	refilled := 0
	for b.SpendRetry() {
		refilled++
	}
	if spent != maxRetryBudget || refilled < 15 || refilled > 25 {
		t.Fatalf("%d further tries at first, %d after 100 orders", spent, refilled)
	}
	if after := b.RetryAfter(b.now); after != clock.Second/2 {
		t.Fatalf("nothing waits, and one is to come back after %d us", after)
	}
	b.Scheduler.settings.MaxQueued = 400
	b.Scheduler.servers["s"].server.Slots = 1
	for i := 0; i < 400; i++ {
		b.submit("w", 1, nil)
	}
	if after := b.RetryAfter(b.now); after < 3*clock.Second || after > 5*clock.Second {
		t.Fatalf("400 wait at 100 a second, and one is to come back after %d us", after)
	}
}

// What waits counts by its weight; an order without one counts as one.
func TestQueuedWeightCountsWeights(t *testing.T) {
	b := newFixture(t)
	heavy := b.submit("heavy", 1, func(r *Request) { r.IsBatchItem, r.Weight = true, 700 })
	b.submit("light", 1, nil)
	if got := b.QueuedWeight("c1"); got != 701 || b.QueueLength() != 2 {
		t.Fatalf("%d wait in %d orders", got, b.QueueLength())
	}
	b.Cancel(heavy)
	if got := b.QueuedWeight("c1"); got != 1 {
		t.Fatalf("%d wait once the heavy one is gone", got)
	}
}

// Where requests are passed on, a tenant that is named like the route changes
// nothing of the order's rank, and a route without classes keeps it.
func TestAForwardedRequestKeepsItsPriority(t *testing.T) {
	b := newFixture(t, newServer("s", 4))
	configuration := &config.Configuration{Version: 2, ScorerWeights: b.Configuration().ScorerWeights, Pools: b.Configuration().Pools,
		Classes: []config.PriorityClass{{Name: "a9", Priority: 9, Quota: 1}},
		Tenants: []config.Tenant{{Name: "c1", Key: "k", Class: "a9"}},
		Routes:  []config.Route{{Name: "c1", Kind: config.Batch, Forward: &config.Forward{}}, {Name: "c2", Kind: config.Batch, Forward: &config.Forward{}}}}
	configuration.Index()
	b.SetConfiguration(configuration, b.now)
	for i, name := range []string{"c1", "c2"} {
		r := b.submit(name, int64(1+i), func(r *Request) { r.IsBatchItem = true; r.Route, _ = configuration.Route(name) })
		if r.Priority != int64(1+i) {
			t.Fatalf("%s has rank %d", name, r.Priority)
		}
	}
}

// An order that ends for reasons of its own says nothing of its server: one that is
// silent stays so, and its failures stay counted.
func TestAbandonSaysNothingOfTheServer(t *testing.T) {
	sc := New(Defaults(), 1)
	configuration := &config.Configuration{Version: 1, Pools: []config.Pool{{Name: "p"}}, ScorerWeights: map[string]float64{"spread": 1},
		Routes: []config.Route{{Name: "r", Kind: config.Stream, Forward: &config.Forward{}}}, Tenants: []config.Tenant{{Name: "r", Class: "c"}}, Classes: []config.PriorityClass{{Name: "c", Priority: 1}}}
	configuration.Index()
	sc.SetConfiguration(configuration, 1)
	sc.SetServer(endpoints.Server{Name: "s", Address: "s:1", Slots: 4})
	route, _ := configuration.Route("r")
	now := clock.Second
	sc.AdvanceFreshness(now)
	var assignments []*Assignment
	for range 2 {
		r := &Request{ID: "o", Tenant: "r", Route: route, Priority: 1}
		r.Start = func(assignment *Assignment, _ clock.Micros) { assignments = append(assignments, assignment) }
		if err := sc.Submit(r, now); err != nil {
			t.Fatal(err)
		}
	}
	sc.MatchUntilStable(now)
	later := now + 2*clock.Second
	assignments[0].Abandon(later)
	if unresponsive := sc.servers["s"].unresponsiveFor(later); unresponsive != 2*clock.Second {
		t.Fatalf("the server is silent for %d us", unresponsive)
	}
}

// An order that found no room in the backlog can't be taken out of it: whoever asked
// for it may go while the rest of its refusal is still being written down.
func TestCancelOfWhatWasNeverQueued(t *testing.T) {
	b := newFixture(t)
	removed := *b.route
	removed.Name = "gone"
	for name, prepare := range map[string]func(){
		"its route is not in the plan": func() {},
		"the daemon is draining":       func() { b.Close(b.now) },
	} {
		prepare()
		r := b.submit("late", 5, func(r *Request) { r.Route = &removed })
		if b.Cancel(r) {
			t.Errorf("%s: an order that never waited was taken out of the backlog", name)
		}
		if got := b.QueuedWeight("c5"); got != 0 {
			t.Errorf("%s: %d orders wait", name, got)
		}
	}
}
