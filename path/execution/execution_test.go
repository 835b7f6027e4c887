package execution

import (
	"fmt"
	"testing"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/registry"
	"tuliprudder/path/scheduler"
)

// bench is a runner whose shell and keeper are the test.
type bench struct {
	*Runner
	t      *testing.T
	d      *scheduler.Scheduler
	wire   *machine.Wire
	now    clock.Micros
	listed []store.Ran
}

const hour = 3600 * clock.Second

func newBench(t *testing.T, servers ...string) *bench {
	b := &bench{t: t, wire: machine.NewWire(), d: scheduler.New(scheduler.Defaults(), 1), now: hour}
	b.Runner = New(Defaults(), b.wire, b.d, func(int, string, int, clock.Micros) bool { return true },
		func(ran store.Ran, _ clock.Micros) { b.listed = append(b.listed, ran) })
	b.plan(1, config.Forward{Tries: 3, Keep: 24 * hour})
	for _, name := range servers {
		b.d.SetServer(registry.Server{Name: name, Address: name + ":1", Slots: 4})
	}
	return b
}

// plan puts a plan in force with one route that passes bundles on and one that
// does not.
func (b *bench) plan(version uint64, forward config.Forward) {
	plan := &config.Plan{Version: version, Judges: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}},
		Routes: []config.Route{{Name: "r", Kind: config.Bundle, Forward: &forward}, {Name: "chat", Kind: config.Bundle}}}
	plan.Index()
	b.d.SetPlan(plan, b.now)
}

func (b *bench) take(item int, tokens int64) {
	b.Take(store.ItemOrder{Bundle: "b", Item: item, ItemID: fmt.Sprint("i", item), Customer: "r", Route: "r", Enrolled: hour, Plan: 1,
		Request: &shard.Request{Target: "/x", Body: []byte(fmt.Sprint("body ", item)), Tokens: tokens}}, b.now)
}

// runs are the runs the event loop is told of now.
func (b *bench) runs() []Run {
	b.d.SetFresh(b.now)
	b.d.Settle(b.now)
	var out []Run
	for _, effect := range b.wire.Drain() {
		if work, ok := effect.(machine.Work); ok {
			if run, ok := work.Order.(Run); ok {
				out = append(out, run)
			}
		}
	}
	return out
}

// run waits out the servers' rests, for the one run there is.
func (b *bench) run() Run {
	b.t.Helper()
	b.now += 5 * clock.Second
	runs := b.runs()
	if len(runs) != 1 {
		b.t.Fatalf("%d runs, not one: %+v", len(runs), runs)
	}
	return runs[0]
}

// An opaque item counts by its tokens from when it waits until a server has
// finished it, on whichever try.
func TestAnOpaqueItemCountsUntilItIsFinished(t *testing.T) {
	b := newBench(t, "s")
	b.take(0, 500)
	if got := b.Waiting("r"); got != 500 {
		t.Fatalf("%d wait in the backlog", got)
	}
	first := b.run()
	b.Begin(Began{Token: first.Token}, b.now)
	if got := b.Waiting("r"); got != 500 {
		t.Fatalf("%d wait while it runs", got)
	}
	b.Finished(Ran{Token: first.Token, Outcome: modelclient.Cut}, b.now)
	if got := b.Waiting("r"); got != 500 {
		t.Fatalf("%d wait after a try that was cut", got)
	}
	second := b.run()
	b.Finished(Ran{Token: second.Token, Outcome: modelclient.Complete}, b.now)
	if got := b.Waiting("r"); got != 0 {
		t.Fatalf("%d wait once it is finished", got)
	}
	// Items with an input count one, and only until a server has begun them.
	b.Take(store.ItemOrder{Bundle: "c", Customer: "c", Route: "chat", Input: "x", Plan: 1}, b.now)
	third := b.run()
	if got := b.Waiting("c"); got != 1 {
		t.Fatalf("%d wait for a server to begin", got)
	}
	b.Begin(Began{Token: third.Token}, b.now)
	if got := b.Waiting("c"); got != 0 {
		t.Fatalf("%d wait once it has begun", got)
	}
}

// A parked item counts as well.
func TestAParkedItemCountsByItsTokens(t *testing.T) {
	b := newBench(t)
	b.d.Close(b.now)
	b.take(0, 500)
	b.take(1, 30)
	if got := b.Waiting("r"); got != 530 {
		t.Fatalf("%d wait", got)
	}
	b.Revoke(store.Revoke{Bundle: "b", Slot: -1}, b.now)
	if got := b.Waiting("r"); got != 0 {
		t.Fatalf("%d wait once they are called back", got)
	}
}

// went tells how the one run there is went, by its name for the item.
func (b *bench) went(ran Ran) Run {
	b.t.Helper()
	run := b.run()
	ran.Token = run.Token
	b.Finished(ran, b.now)
	return run
}

func (b *bench) only(status, output string) {
	b.t.Helper()
	if len(b.listed) != 1 || b.listed[0].Status != status || b.listed[0].Output != output || b.Open() != 0 {
		b.t.Fatalf("listed %+v, %d open; wanted %s %q", b.listed, b.Open(), status, output)
	}
}

func (b *bench) none() {
	b.t.Helper()
	if len(b.listed) > 0 {
		b.t.Fatalf("listed %+v", b.listed)
	}
}

// An opaque item goes on after the last event that came, on whichever server, and
// is listed with the events of all tries.
func TestAnOpaqueItemGoesOnAfterItsLastEvent(t *testing.T) {
	b := newBench(t, "s")
	b.take(7, 1)
	first := b.went(Ran{Outcome: modelclient.Cut, Events: []string{"e1", "e2"}, LastEvent: 2})
	if f := first.Forward; f == nil || f.Bundle != "b" || f.ID != "i7" || f.Instance != "s" || f.Resume != 0 || string(f.Request.Body) != "body 7" || first.Request.Address != "s:1" {
		t.Fatalf("the shell was told %+v %+v", first, first.Forward)
	}
	if second := b.went(Ran{Outcome: modelclient.NotStarted}); second.Forward.Resume != 2 {
		t.Fatalf("it goes on after %d", second.Forward.Resume)
	}
	// What can't be gone on with comes again, and is not kept.
	b.went(Ran{Outcome: modelclient.Cut, Events: []string{"no id"}})
	b.went(Ran{Failed: true, Events: []string{"e3"}, LastEvent: 3})
	b.none()
	if last := b.went(Ran{Outcome: modelclient.Complete, Events: []string{"e4", "end"}, LastEvent: 4}); last.Forward.Resume != 3 {
		t.Fatalf("it goes on after %d", last.Forward.Resume)
	}
	b.only(shard.StatusOK, "e1\ne2\ne3\ne4\nend")
}

// Events between tries are bounded: beyond that the item begins anew, and is not
// given up.
func TestEventsBetweenTriesAreBounded(t *testing.T) {
	b := newBench(t, "s")
	b.set.MostBytes = 5
	b.take(0, 1)
	b.went(Ran{Outcome: modelclient.Cut, Events: []string{"abc"}, LastEvent: 1})
	b.went(Ran{Outcome: modelclient.Cut, Events: []string{"def"}, LastEvent: 2})
	if run := b.went(Ran{Outcome: modelclient.Complete, Events: []string{"abc", "def", "g"}, LastEvent: 3}); run.Forward.Resume != 0 {
		t.Fatalf("it goes on after %d", run.Forward.Resume)
	}
	b.only(shard.StatusOK, "abc\ndef\ng")
}

// Only failed attempts count, and only as many as the route allows.
func TestOnlyFailedAttemptsCount(t *testing.T) {
	b := newBench(t, "s")
	b.take(0, 1)
	for i := 0; i < 3*Defaults().MostTries; i++ {
		b.went(Ran{Outcome: []modelclient.Outcome{modelclient.NotStarted, modelclient.Cut}[i%2], Why: "broken off"})
	}
	b.went(Ran{Failed: true, Why: "500"})
	b.went(Ran{Failed: true, Why: "500"})
	b.none()
	b.went(Ran{Failed: true, Why: "500"})
	b.only(shard.StatusFailed, "its attempts have failed: 500")
}

// What a server rejects is listed at once.
func TestARejectedItemIsListedAtOnce(t *testing.T) {
	b := newBench(t, "s")
	b.take(0, 1)
	b.went(Ran{Outcome: modelclient.Rejected, Why: "422"})
	b.only(shard.StatusFailed, "the server rejected it: 422")
}

// A failed attempt is followed by one elsewhere where there is an elsewhere.
func TestAFailedAttemptIsFollowedByOneElsewhere(t *testing.T) {
	b := newBench(t, "s1", "s2")
	b.take(0, 1)
	first := b.went(Ran{Failed: true})
	if second := b.went(Ran{Failed: true}); second.Forward.Instance == first.Forward.Instance {
		t.Fatalf("both went to %s", first.Forward.Instance)
	}
	b.went(Ran{Outcome: modelclient.Complete, Events: []string{"x"}, LastEvent: 1})
	b.only(shard.StatusOK, "x")
}

// An item that is parked and handed over again keeps its attempts and events.
func TestAParkedItemKeepsWhatItHas(t *testing.T) {
	b := newBench(t, "s")
	allowed := true
	b.allowed = func(int, string, int, clock.Micros) bool { return allowed }
	b.take(0, 1)
	b.went(Ran{Failed: true, Events: []string{"e1"}, LastEvent: 1})
	allowed, b.now = false, b.now+5*clock.Second
	if runs := b.runs(); len(runs) != 0 || len(b.parked) != 1 {
		t.Fatalf("%d runs without a lease, %d parked", len(runs), len(b.parked))
	}
	allowed = true
	b.take(0, 1)
	if run := b.went(Ran{Failed: true}); run.Forward.Resume != 1 {
		t.Fatalf("it goes on after %d", run.Forward.Resume)
	}
	b.none()
	b.went(Ran{Failed: true, Why: "500"})
	b.only(shard.StatusFailed, "its attempts have failed: 500")
}

// An item that is too old is listed as failed wherever it waits, but not while a
// server has it; another plan may give it longer, or less.
func TestAnItemThatIsTooOldIsListedFailed(t *testing.T) {
	waits := map[string]func(*bench){
		"in the backlog": func(*bench) {},
		"parked":         func(b *bench) { b.d.Close(b.now) },
		"in the backlog under a newer plan": func(b *bench) {
			b.plan(2, config.Forward{Keep: 24 * hour})
		},
	}
	for name, where := range waits {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			if b.take(0, 9); b.Open() != 1 {
				t.Fatal("it does not wait")
			}
			where(b)
			b.now += 24 * hour
			b.ClockEvent(b.now)
			b.none()
			b.now += clock.Second
			b.ClockEvent(b.now)
			b.only(shard.StatusFailed, late)
			if got := b.Waiting("r"); got != 0 {
				t.Fatalf("%d wait still", got)
			}
		})
	}
	t.Run("on a server", func(t *testing.T) {
		b := newBench(t, "s")
		b.take(0, 9)
		run := b.run()
		b.now += 25 * hour
		b.ClockEvent(b.now)
		b.none()
		b.Finished(Ran{Token: run.Token, Outcome: modelclient.NotStarted}, b.now)
		b.only(shard.StatusFailed, late)
	})
	t.Run("kept for good", func(t *testing.T) {
		b := newBench(t)
		b.take(0, 9)
		b.plan(2, config.Forward{})
		b.now += 1000 * hour
		b.ClockEvent(b.now)
		b.none()
	})
}

// An item whose route is gone, or passes nothing on any more, is listed as failed.
func TestAnItemWithoutItsRouteIsListedFailed(t *testing.T) {
	for name, routes := range map[string][]config.Route{"gone": nil, "another": {{Name: "r", Kind: config.Bundle}}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.take(0, 9)
			plan := &config.Plan{Version: 2, Routes: routes}
			plan.Index()
			b.d.SetPlan(plan, b.now)
			b.now += 2 * clock.Second
			b.ClockEvent(b.now)
			b.only(shard.StatusFailed, gone)
		})
	}
}

// Items do not wait behind one that can't start, and start in the order they came.
func TestItemsDoNotWaitBehindOneThatCantStart(t *testing.T) {
	b := newBench(t, "s1", "s2")
	b.take(0, 1)
	first := b.run()
	b.Finished(Ran{Token: first.Token, Failed: true}, b.now) // waits for the other server now
	other := map[string]string{"s1": "s2", "s2": "s1"}[first.Forward.Instance]
	b.d.SetLoad(other, 1, registry.Load{Running: 40, Sound: true, At: b.now})
	b.take(1, 1)
	b.take(2, 1)
	second := b.run()
	if second.Forward.ID != "i1" {
		t.Fatalf("started %v", second.Forward.ID)
	}
	b.Begin(Began{Token: second.Token}, b.now) // one item at a time is read in
	if third := b.run(); third.Forward.ID != "i2" {
		t.Fatalf("started %v", third.Forward.ID)
	}
}

// A keeper's items keep to its part of a server: the first level's limit, shared by
// the stores that live.
func TestAKeepersItemsKeepToTheirPart(t *testing.T) {
	b := newBench(t, "s") // with 4 slots, of which the lowest level may fill 0.7
	ranked := &config.Plan{Version: 2, Classes: []config.Class{{Name: "low", Rank: 1}, {Name: "high", Rank: 2}}, Judges: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}},
		Routes: []config.Route{{Name: "r", Kind: config.Bundle, Forward: &config.Forward{}}}}
	ranked.Index()
	b.d.SetPlan(ranked, b.now)
	for i := range 6 {
		b.take(i, 1)
	}
	started := 0
	for range 6 {
		b.now += 5 * clock.Second
		for _, run := range b.runs() {
			started++
			b.Begin(Began{Token: run.Token}, b.now)
		}
	}
	if started != 3 { // 0.7 of 4, rounded
		t.Fatalf("%d items run on a server of 4 slots, not 3", started)
	}
}

// An item that waits runs by the route of the plan in force, not by that under
// which it began to wait.
func TestARunGoesByThePlanInForce(t *testing.T) {
	b := newBench(t, "s")
	b.Take(store.ItemOrder{Bundle: "c", Customer: "c", Route: "chat", Input: "x", Plan: 1}, b.now)
	plan := &config.Plan{Version: 2, Judges: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}}, Routes: []config.Route{{Name: "chat", Kind: config.Bundle, Model: "new"}}}
	plan.Index()
	b.d.SetPlan(plan, b.now)
	if run := b.run(); run.Request.Model != "new" || run.Forward != nil {
		t.Fatalf("%+v", run)
	}
}

// What found no fresh lease when its slot began to serve starts as soon as there is
// one; the store does not have to hand it over again.
func TestAParkedItemStartsOnceItMay(t *testing.T) {
	b := newBench(t, "s")
	lease := false
	b.Runner = New(Defaults(), b.wire, b.d, func(int, string, int, clock.Micros) bool { return lease }, func(store.Ran, clock.Micros) {})
	b.take(0, 1)
	if runs := b.runs(); len(runs) != 0 {
		t.Fatalf("%d runs without a lease", len(runs))
	}
	b.now += retryEvery
	b.ClockEvent(b.now)
	if runs := b.runs(); len(runs) != 0 {
		t.Fatalf("%d runs without a lease", len(runs))
	}
	lease = true
	b.now += retryEvery
	b.ClockEvent(b.now)
	if runs := b.runs(); len(runs) != 1 {
		t.Fatalf("%d runs with a lease, not one", len(runs))
	}
}
