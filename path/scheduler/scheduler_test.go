package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/registry"
)

type bench struct {
	*Scheduler
	now     clock.Micros
	started chan string
	dropped chan string
	route   *config.Route
}

func newBench(t *testing.T, servers ...registry.Server) *bench {
	t.Helper()
	b := &bench{now: 10_000_000, started: make(chan string, 100), dropped: make(chan string, 100)}
	b.Scheduler = New(Defaults(), 7)
	plan, err := config.Parse([]byte(`{"classes":[{"name":"a1","rank":1,"allowance":1},{"name":"a5","rank":5,"allowance":1},{"name":"a9","rank":9,"allowance":1}],
	 "customers":[{"name":"c1","key":"k1","class":"a1"},{"name":"c5","key":"k5","class":"a5"},{"name":"c9","key":"k9","class":"a9"}],"pools":[{"name":"p","labels":{"u":"x"},"servers":{"fleet":"main"}}],
	 "routes":[{"name":"r","kind":"one-shot","classes":{},"pools":{"u":"x"},"model":"m","weights":"w1"}],"judges":{"speed":0}}`))
	if err != nil {
		t.Fatal(err, errs.Of(err).Faults)
	}
	plan.Version = 1
	b.SetPlan(plan, b.now)
	b.route, _ = plan.Route("r")
	for _, server := range servers {
		b.SetServer(server)
	}
	b.SetFresh(b.now)
	return b
}

func server(name string, slots int) registry.Server {
	return registry.Server{Name: name, Slots: slots, Labels: map[string]string{"fleet": "main", "weights": "w1"}}
}

func (b *bench) order(name string, rank int64, change func(*Order)) *Order {
	o := &Order{ID: name, Customer: fmt.Sprint("c", rank), Route: b.route, Rank: rank, Avoid: map[string]int{}}
	o.Start = func(assignment *Assignment, _ clock.Micros) { b.started <- name + "@" + assignment.Server.Name }
	o.Drop = func(err error, _ clock.Micros) { b.dropped <- name + ":" + string(errs.Of(err).Kind) }
	if change != nil {
		change(o)
	}
	if err := b.Submit(o, b.now); err != nil {
		b.dropped <- name + ":" + string(errs.Of(err).Kind)
	}
	return o
}

func (b *bench) none(t *testing.T, what string) {
	t.Helper()
	b.Match(b.now)
	if b.Assigned != 0 {
		t.Fatalf("%s: an order was assigned", what)
	}
}

// The higher rank goes first however late it came; live goes before bundles of
// its rank.
func TestRank(t *testing.T) {
	b := newBench(t, server("s", 4))
	b.order("low", 1, nil)
	b.order("bundle", 5, func(o *Order) { o.Bundle = true })
	b.order("high", 9, nil)
	b.order("live", 5, nil)
	var order []string
	for _, level := range []string{"high", "live", "bundle", "low"} {
		_ = level
		b.Scheduler.servers["s"].server.Slots = 1
		b.Scheduler.servers["s"].own, b.Scheduler.servers["s"].presences = 0, nil
		b.Scheduler.set.HighLimit, b.Scheduler.set.LowLimit = 1, 1
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
	for what, change := range map[string]func(*bench){
		"leaving":     func(b *bench) { s := server("s", 4); s.Leaving = true; b.SetServer(s) },
		"gone":        func(b *bench) { s := server("s", 4); s.Gone = true; b.SetServer(s) },
		"not sound":   func(b *bench) { b.SetLoad("s", 1, registry.Load{At: b.now, Sound: false}) },
		"full":        func(b *bench) { b.SetLoad("s", 1, registry.Load{At: b.now, Sound: true, Running: 4, Waiting: 2}) },
		"weights":     func(b *bench) { s := server("s", 4); s.Labels["weights"] = "w2"; b.SetServer(s) },
		"other pool":  func(b *bench) { s := server("s", 4); s.Labels["fleet"] = "other"; b.SetServer(s) },
		"old news":    func(b *bench) { b.now += 2600 * clock.Millisecond },
		"turned away": func(b *bench) { b.Scheduler.servers["s"].restUntil = b.now + 1 },
	} {
		b := newBench(t, server("s", 4))
		change(b)
		b.order("x", 1, nil)
		b.none(t, what)
	}
	b := newBench(t, server("s", 4))
	b.order("x", 1, nil)
	b.Match(b.now)
	if got := <-b.started; got != "x@s" {
		t.Fatalf("without a reason against it: %s", got)
	}
}

// An order whose expiry passes leaves the queue at the next look, whatever
// holds the servers; a load figure of a lower epoch is rejected.
func TestExpiryAndEpoch(t *testing.T) {
	b := newBench(t, server("s", 4))
	b.SetLoad("s", 5, registry.Load{At: b.now, Sound: false})
	b.SetLoad("s", 4, registry.Load{At: b.now, Sound: true})
	b.order("x", 1, func(o *Order) { o.Expiry = b.now + 100 })
	b.none(t, "the lower epoch's figure was taken")
	b.now += 100
	b.Match(b.now)
	if got := <-b.dropped; got != "x:expired" {
		t.Fatalf("dropped as %s", got)
	}
	if b.Backlog() != 0 || b.Waiting("c1") != 0 {
		t.Fatalf("%d still wait", b.Backlog())
	}
}

// The permit is asked right before the start; without it nothing starts.
func TestNoStartWithoutPermit(t *testing.T) {
	b := newBench(t, server("s", 4))
	b.order("x", 1, func(o *Order) { o.Permit = func(clock.Micros) bool { return false } })
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
	b := newBench(t, server("s1", 8), server("s2", 8), server("s3", 8))
	for i := 0; i < 18; i++ {
		b.order(fmt.Sprint(i), 1, func(o *Order) { o.Prefix = "same" })
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

// Bundles leave room that live orders may use, also where another daemon filled
// the server; none starves: after a while one at a time goes up to a full server.
func TestBundlesLeaveRoomAndDoNotStarve(t *testing.T) {
	b := newBench(t, server("s", 10))
	b.SetLoad("s", 1, registry.Load{At: b.now, Sound: true, Running: 8})
	b.order("b1", 1, func(o *Order) { o.Bundle = true })
	b.order("b2", 1, func(o *Order) { o.Bundle = true })
	b.none(t, "a bundle's order took the room of live ones")
	b.order("live", 1, nil)
	b.Match(b.now)
	if got := <-b.started; got != "live@s" {
		t.Fatalf("started %s", got)
	}
	b.now += 4 * clock.Second
	b.SetFresh(b.now)
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
func TestFinishedOrdersMakeRoomBeforeTheNextFigure(t *testing.T) {
	b := newBench(t, server("s", 2))
	b.SetLoad("s", 1, registry.Load{At: b.now, Sound: true, Running: 1})
	grips := make(chan *Assignment, 1)
	for i := 0; i < 20; i++ {
		b.now += 10 * clock.Millisecond
		b.order(fmt.Sprint(i), 1, func(o *Order) { o.Start = func(assignment *Assignment, _ clock.Micros) { grips <- assignment } })
		b.Match(b.now)
		if b.Assigned != int64(i+1) {
			t.Fatalf("order %d was not assigned, though one other and none of ours runs there", i)
		}
		(<-grips).Release(5*clock.Millisecond, true, b.now)
	}
	// What ran at the time of a figure is not counted twice.
	b.order("long", 1, func(o *Order) { o.Start = func(assignment *Assignment, _ clock.Micros) { grips <- assignment } })
	b.Match(b.now)
	<-grips
	b.now += clock.Second / 2
	b.SetLoad("s", 1, registry.Load{At: b.now, Sound: true, Running: 2})
	if s := b.Scheduler.servers["s"]; s.others != 1 || s.own != 1 {
		t.Fatalf("others %d, own %d", s.others, s.own)
	}
}

// Further tries have a budget: where every server fails, they stop multiplying
// the load; and a full queue says when it will have been worked off.
func TestRetriesHaveABudget(t *testing.T) {
	b := newBench(t, server("s", 1000))
	spent := 0
	for b.Retry() {
		spent++
	}
	for i := 0; i < 100; i++ {
		b.now += 10 * clock.Millisecond
		b.order(fmt.Sprint(i), 1, func(o *Order) { o.Start = func(_ *Assignment, _ clock.Micros) {} })
		b.Match(b.now)
	}
	again := 0
	for b.Retry() {
		again++
	}
	if spent != mostRetries || again < 15 || again > 25 {
		t.Fatalf("%d further tries at first, %d after 100 orders", spent, again)
	}
	if after := b.After(b.now); after != clock.Second/2 {
		t.Fatalf("nothing waits, and one is to come back after %d us", after)
	}
	b.Scheduler.set.MostWaiting = 400
	b.Scheduler.servers["s"].server.Slots = 1
	for i := 0; i < 400; i++ {
		b.order("w", 1, nil)
	}
	if after := b.After(b.now); after < 3*clock.Second || after > 5*clock.Second {
		t.Fatalf("400 wait at 100 a second, and one is to come back after %d us", after)
	}
}

// What waits counts by its weight; an order without one counts as one.
func TestWaitingCountsWeights(t *testing.T) {
	b := newBench(t)
	heavy := b.order("heavy", 1, func(o *Order) { o.Bundle, o.Weight = true, 700 })
	b.order("light", 1, nil)
	if got := b.Waiting("c1"); got != 701 || b.Backlog() != 2 {
		t.Fatalf("%d wait in %d orders", got, b.Backlog())
	}
	b.Cancel(heavy)
	if got := b.Waiting("c1"); got != 1 {
		t.Fatalf("%d wait once the heavy one is gone", got)
	}
}

// Where requests are passed on, a customer that is named like the route changes
// nothing of the order's rank, and a route without classes keeps it.
func TestAForwardedOrderKeepsItsRank(t *testing.T) {
	b := newBench(t, server("s", 4))
	plan := &config.Plan{Version: 2, Judges: b.Plan().Judges, Pools: b.Plan().Pools,
		Classes:   []config.Class{{Name: "a9", Rank: 9, Allowance: 1}},
		Customers: []config.Customer{{Name: "c1", Key: "k", Class: "a9"}},
		Routes:    []config.Route{{Name: "c1", Kind: config.Bundle, Forward: &config.Forward{}}, {Name: "c2", Kind: config.Bundle, Forward: &config.Forward{}}}}
	plan.Index()
	b.SetPlan(plan, b.now)
	for i, name := range []string{"c1", "c2"} {
		o := b.order(name, int64(1+i), func(o *Order) { o.Bundle = true; o.Route, _ = plan.Route(name) })
		if o.Rank != int64(1+i) {
			t.Fatalf("%s has rank %d", name, o.Rank)
		}
	}
}

// An order that ends for reasons of its own says nothing of its server: one that is
// silent stays so, and its failures stay counted.
func TestLeaveSaysNothingOfTheServer(t *testing.T) {
	d := New(Defaults(), 1)
	plan := &config.Plan{Version: 1, Pools: []config.Pool{{Name: "p"}}, Judges: map[string]float64{"spread": 1},
		Routes: []config.Route{{Name: "r", Kind: config.Stream, Forward: &config.Forward{}}}, Customers: []config.Customer{{Name: "r", Class: "c"}}, Classes: []config.Class{{Name: "c", Rank: 1}}}
	plan.Index()
	d.SetPlan(plan, 1)
	d.SetServer(registry.Server{Name: "s", Address: "s:1", Slots: 4})
	route, _ := plan.Route("r")
	now := clock.Second
	d.SetFresh(now)
	var grips []*Assignment
	for range 2 {
		o := &Order{ID: "o", Customer: "r", Route: route, Rank: 1}
		o.Start = func(assignment *Assignment, _ clock.Micros) { grips = append(grips, assignment) }
		if err := d.Submit(o, now); err != nil {
			t.Fatal(err)
		}
	}
	d.Settle(now)
	later := now + 2*clock.Second
	grips[0].Abandon(later)
	if silent := d.servers["s"].silent(later); silent != 2*clock.Second {
		t.Fatalf("the server is silent for %d us", silent)
	}
}

// An order that found no room in the backlog can't be taken out of it: whoever asked
// for it may go while the rest of its refusal is still being written down.
func TestCancelOfWhatNeverWaited(t *testing.T) {
	b := newBench(t)
	gone := *b.route
	gone.Name = "gone"
	for name, prepare := range map[string]func(){
		"its route is not in the plan": func() {},
		"the daemon is draining":       func() { b.Close(b.now) },
	} {
		prepare()
		o := b.order("late", 5, func(o *Order) { o.Route = &gone })
		if b.Cancel(o) {
			t.Errorf("%s: an order that never waited was taken out of the backlog", name)
		}
		if got := b.Waiting("c5"); got != 0 {
			t.Errorf("%s: %d orders wait", name, got)
		}
	}
}
