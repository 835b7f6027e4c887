package execution

import (
	"fmt"
	"testing"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
)

// bench is a runner whose shell and store are the test.
type bench struct {
	*Runner
	t            *testing.T
	scheduler    *scheduler.Scheduler
	machineCalls *machine.Calls
	now          clock.Micros
	results      []batchstore.ItemFinished
}

const hour = 3600 * clock.Second

func newBench(t *testing.T, servers ...string) *bench {
	b := &bench{t: t, machineCalls: machine.NewCalls(), scheduler: scheduler.New(scheduler.Defaults(), 1), now: hour}
	b.Runner = New(Defaults(), b.machineCalls, b.scheduler, func(int, string, int, clock.Micros) bool { return true },
		func(result batchstore.ItemFinished, _ clock.Micros) { b.results = append(b.results, result) })
	b.setConfiguration(1, config.Forward{MaxAttempts: 3, ItemRetention: 24 * hour})
	for _, name := range servers {
		b.scheduler.SetServer(endpoints.Server{Name: name, Address: name + ":1", Slots: 4})
	}
	return b
}

// setConfiguration puts a configuration in force with one route that passes batches on and one that
// does not.
func (b *bench) setConfiguration(version uint64, forward config.Forward) {
	configuration := &config.Configuration{Version: version, ScorerWeights: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}},
		Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &forward}, {Name: "chat", Kind: config.Batch}}}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
}

func (b *bench) submitItem(item int, tokens int64) {
	b.Submit(batchstore.RunItem{Batch: "b", Item: item, ItemID: fmt.Sprint("i", item), Tenant: "r", Route: "r", SubmittedAt: hour, ConfigurationVersion: 1,
		Request: &shard.Request{Target: "/x", Body: []byte(fmt.Sprint("body ", item)), Tokens: tokens}}, b.now)
}

// startedAttempts are the runs the event loop is told of now.
func (b *bench) startedAttempts() []Attempt {
	b.scheduler.AdvanceFreshness(b.now)
	b.scheduler.MatchUntilStable(b.now)
	var out []Attempt
	for _, effect := range b.machineCalls.Drain() {
		if work, ok := effect.(machine.Execute); ok {
			if attempt, ok := work.Task.(Attempt); ok {
				out = append(out, attempt)
			}
		}
	}
	return out
}

// nextAttempt waits out the servers' rests, for the one run there is.
func (b *bench) nextAttempt() Attempt {
	b.t.Helper()
	b.now += 5 * clock.Second
	attempts := b.startedAttempts()
	if len(attempts) != 1 {
		b.t.Fatalf("%d runs, not one: %+v", len(attempts), attempts)
	}
	return attempts[0]
}

// An opaque item counts by its tokens from when it waits until a server has
// finished it, on whichever try.
func TestAnOpaqueItemCountsUntilItIsFinished(t *testing.T) {
	b := newBench(t, "s")
	b.submitItem(0, 500)
	if got := b.WaitingWeight("r"); got != 500 {
		t.Fatalf("%d wait in the backlog", got)
	}
	first := b.nextAttempt()
	b.HandleAttemptStarted(AttemptStarted{AttemptID: first.ID}, b.now)
	if got := b.WaitingWeight("r"); got != 500 {
		t.Fatalf("%d wait while it runs", got)
	}
	b.HandleAttemptResult(AttemptResult{AttemptID: first.ID, Outcome: modelclient.Interrupted}, b.now)
	if got := b.WaitingWeight("r"); got != 500 {
		t.Fatalf("%d wait after a try that was cut", got)
	}
	second := b.nextAttempt()
	b.HandleAttemptResult(AttemptResult{AttemptID: second.ID, Outcome: modelclient.Complete}, b.now)
	if got := b.WaitingWeight("r"); got != 0 {
		t.Fatalf("%d wait once it is finished", got)
	}
	// Items with an input count one, and only until a server has begun them.
	b.Submit(batchstore.RunItem{Batch: "c", Tenant: "c", Route: "chat", Input: "x", ConfigurationVersion: 1}, b.now)
	third := b.nextAttempt()
	if got := b.WaitingWeight("c"); got != 1 {
		t.Fatalf("%d wait for a server to begin", got)
	}
	b.HandleAttemptStarted(AttemptStarted{AttemptID: third.ID}, b.now)
	if got := b.WaitingWeight("c"); got != 0 {
		t.Fatalf("%d wait once it has begun", got)
	}
}

// A parked item counts as well.
func TestADeferredItemCountsByItsTokens(t *testing.T) {
	b := newBench(t)
	b.scheduler.Close(b.now)
	b.submitItem(0, 500)
	b.submitItem(1, 30)
	if got := b.WaitingWeight("r"); got != 530 {
		t.Fatalf("%d wait", got)
	}
	b.Revoke(batchstore.CancelItems{Batch: "b", Shard: -1}, b.now)
	if got := b.WaitingWeight("r"); got != 0 {
		t.Fatalf("%d wait once they are called back", got)
	}
}

// finishNext tells how the one run there is went, by its name for the item.
func (b *bench) finishNext(result AttemptResult) Attempt {
	b.t.Helper()
	attempt := b.nextAttempt()
	result.AttemptID = attempt.ID
	b.HandleAttemptResult(result, b.now)
	return attempt
}

func (b *bench) expectOnly(status, output string) {
	b.t.Helper()
	if len(b.results) != 1 || b.results[0].Status != status || b.results[0].Output != output || b.Pending() != 0 {
		b.t.Fatalf("listed %+v, %d open; wanted %s %q", b.results, b.Pending(), status, output)
	}
}

func (b *bench) expectNone() {
	b.t.Helper()
	if len(b.results) > 0 {
		b.t.Fatalf("listed %+v", b.results)
	}
}

// An opaque item goes on after the last event that came, on whichever server, and
// is listed with the events of all tries.
func TestAnOpaqueItemGoesOnAfterItsLastEvent(t *testing.T) {
	b := newBench(t, "s")
	b.submitItem(7, 1)
	first := b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"e1", "e2"}, LastEventID: 2})
	if f := first.ForwardedItem; f == nil || f.Batch != "b" || f.ItemID != "i7" || f.Instance != "s" || f.LastEventID != 0 || string(f.Request.Body) != "body 7" || first.Request.Address != "s:1" {
		t.Fatalf("the shell was told %+v %+v", first, first.ForwardedItem)
	}
	if second := b.finishNext(AttemptResult{Outcome: modelclient.NotStarted}); second.ForwardedItem.LastEventID != 2 {
		t.Fatalf("it goes on after %d", second.ForwardedItem.LastEventID)
	}
	// What can't be gone on with comes again, and is not kept.
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"no id"}})
	b.finishNext(AttemptResult{ServerFailed: true, Events: []string{"e3"}, LastEventID: 3})
	b.expectNone()
	if last := b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"e4", "end"}, LastEventID: 4}); last.ForwardedItem.LastEventID != 3 {
		t.Fatalf("it goes on after %d", last.ForwardedItem.LastEventID)
	}
	b.expectOnly(shard.StatusOK, "e1\ne2\ne3\ne4\nend")
}

// Events between tries are bounded: beyond that the item begins anew, and is not
// given up.
func TestEventsBetweenAttemptsAreBounded(t *testing.T) {
	b := newBench(t, "s")
	b.settings.MaxOutputBytes = 5
	b.submitItem(0, 1)
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"abc"}, LastEventID: 1})
	b.finishNext(AttemptResult{Outcome: modelclient.Interrupted, Events: []string{"def"}, LastEventID: 2})
	if attempt := b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"abc", "def", "g"}, LastEventID: 3}); attempt.ForwardedItem.LastEventID != 0 {
		t.Fatalf("it goes on after %d", attempt.ForwardedItem.LastEventID)
	}
	b.expectOnly(shard.StatusOK, "abc\ndef\ng")
}

// Only failed attempts count, and only as many as the route allows.
func TestOnlyFailedAttemptsCount(t *testing.T) {
	b := newBench(t, "s")
	b.submitItem(0, 1)
	for i := 0; i < 3*Defaults().MaxAttempts; i++ {
		b.finishNext(AttemptResult{Outcome: []modelclient.Outcome{modelclient.NotStarted, modelclient.Interrupted}[i%2], Reason: "broken off"})
	}
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectNone()
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectOnly(shard.StatusFailed, "its attempts have failed: 500")
}

// What a server rejects is listed at once.
func TestARejectedItemFinishesAtOnce(t *testing.T) {
	b := newBench(t, "s")
	b.submitItem(0, 1)
	b.finishNext(AttemptResult{Outcome: modelclient.Rejected, Reason: "422"})
	b.expectOnly(shard.StatusFailed, "the server rejected it: 422")
}

// A failed attempt is followed by one elsewhere where there is an elsewhere.
func TestAFailedAttemptIsFollowedByOneElsewhere(t *testing.T) {
	b := newBench(t, "s1", "s2")
	b.submitItem(0, 1)
	first := b.finishNext(AttemptResult{ServerFailed: true})
	if second := b.finishNext(AttemptResult{ServerFailed: true}); second.ForwardedItem.Instance == first.ForwardedItem.Instance {
		t.Fatalf("both went to %s", first.ForwardedItem.Instance)
	}
	b.finishNext(AttemptResult{Outcome: modelclient.Complete, Events: []string{"x"}, LastEventID: 1})
	b.expectOnly(shard.StatusOK, "x")
}

// An item that is parked and handed over again keeps its attempts and events.
func TestADeferredItemKeepsWhatItHas(t *testing.T) {
	b := newBench(t, "s")
	mayRun := true
	b.mayRun = func(int, string, int, clock.Micros) bool { return mayRun }
	b.submitItem(0, 1)
	b.finishNext(AttemptResult{ServerFailed: true, Events: []string{"e1"}, LastEventID: 1})
	mayRun, b.now = false, b.now+5*clock.Second
	if attempts := b.startedAttempts(); len(attempts) != 0 || len(b.deferred) != 1 {
		t.Fatalf("%d runs without a lease, %d parked", len(attempts), len(b.deferred))
	}
	mayRun = true
	b.submitItem(0, 1)
	if attempt := b.finishNext(AttemptResult{ServerFailed: true}); attempt.ForwardedItem.LastEventID != 1 {
		t.Fatalf("it goes on after %d", attempt.ForwardedItem.LastEventID)
	}
	b.expectNone()
	b.finishNext(AttemptResult{ServerFailed: true, Reason: "500"})
	b.expectOnly(shard.StatusFailed, "its attempts have failed: 500")
}

// An item that is too old is listed as failed wherever it waits, but not while a
// server has it; another configuration may give it longer, or less.
func TestAnItemThatIsTooOldFinishesFailed(t *testing.T) {
	cases := map[string]func(*bench){
		"in the backlog": func(*bench) {},
		"parked":         func(b *bench) { b.scheduler.Close(b.now) },
		"in the backlog under a newer plan": func(b *bench) {
			b.setConfiguration(2, config.Forward{ItemRetention: 24 * hour})
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			if b.submitItem(0, 9); b.Pending() != 1 {
				t.Fatal("it does not wait")
			}
			prepare(b)
			b.now += 24 * hour
			b.Tick(b.now)
			b.expectNone()
			b.now += clock.Second
			b.Tick(b.now)
			b.expectOnly(shard.StatusFailed, retentionExceeded)
			if got := b.WaitingWeight("r"); got != 0 {
				t.Fatalf("%d wait still", got)
			}
		})
	}
	t.Run("on a server", func(t *testing.T) {
		b := newBench(t, "s")
		b.submitItem(0, 9)
		attempt := b.nextAttempt()
		b.now += 25 * hour
		b.Tick(b.now)
		b.expectNone()
		b.HandleAttemptResult(AttemptResult{AttemptID: attempt.ID, Outcome: modelclient.NotStarted}, b.now)
		b.expectOnly(shard.StatusFailed, retentionExceeded)
	})
	t.Run("kept for good", func(t *testing.T) {
		b := newBench(t)
		b.submitItem(0, 9)
		b.setConfiguration(2, config.Forward{})
		b.now += 1000 * hour
		b.Tick(b.now)
		b.expectNone()
	})
}

// An item whose route is gone, or passes nothing on any more, is listed as failed.
func TestAnItemWithoutItsRouteFinishesFailed(t *testing.T) {
	for name, routes := range map[string][]config.Route{"gone": nil, "another": {{Name: "r", Kind: config.Batch}}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.submitItem(0, 9)
			configuration := &config.Configuration{Version: 2, Routes: routes}
			configuration.Index()
			b.scheduler.SetConfiguration(configuration, b.now)
			b.now += 2 * clock.Second
			b.Tick(b.now)
			b.expectOnly(shard.StatusFailed, routeRemoved)
		})
	}
}

// Items do not wait behind one that can't start, and start in the order they came.
func TestItemsDoNotWaitBehindOneThatCantStart(t *testing.T) {
	b := newBench(t, "s1", "s2")
	b.submitItem(0, 1)
	first := b.nextAttempt()
	b.HandleAttemptResult(AttemptResult{AttemptID: first.ID, ServerFailed: true}, b.now) // waits for the other server now
	other := map[string]string{"s1": "s2", "s2": "s1"}[first.ForwardedItem.Instance]
	b.scheduler.SetLoad(other, 1, endpoints.Load{Running: 40, Healthy: true, ReadAt: b.now})
	b.submitItem(1, 1)
	b.submitItem(2, 1)
	second := b.nextAttempt()
	if second.ForwardedItem.ItemID != "i1" {
		t.Fatalf("started %v", second.ForwardedItem.ItemID)
	}
	b.HandleAttemptStarted(AttemptStarted{AttemptID: second.ID}, b.now) // one item at a time is read in
	if third := b.nextAttempt(); third.ForwardedItem.ItemID != "i2" {
		t.Fatalf("started %v", third.ForwardedItem.ItemID)
	}
}

// A store's items keep to its part of a server: the first level's limit, shared by
// the stores that live.
func TestAStoresItemsKeepToTheirShare(t *testing.T) {
	b := newBench(t, "s") // with 4 shards, of which the lowest level may fill 0.7
	ranked := &config.Configuration{Version: 2, Classes: []config.PriorityClass{{Name: "low", Priority: 1}, {Name: "high", Priority: 2}}, ScorerWeights: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}},
		Routes: []config.Route{{Name: "r", Kind: config.Batch, Forward: &config.Forward{}}}}
	ranked.Index()
	b.scheduler.SetConfiguration(ranked, b.now)
	for i := range 6 {
		b.submitItem(i, 1)
	}
	started := 0
	for range 6 {
		b.now += 5 * clock.Second
		for _, attempt := range b.startedAttempts() {
			started++
			b.HandleAttemptStarted(AttemptStarted{AttemptID: attempt.ID}, b.now)
		}
	}
	if started != 3 { // 0.7 of 4, rounded
		t.Fatalf("%d items run on a server of 4 slots, not 3", started)
	}
}

// An item that waits runs by the route of the configuration in force, not by that under
// which it began to wait.
func TestAnAttemptUsesTheCurrentConfiguration(t *testing.T) {
	b := newBench(t, "s")
	b.Submit(batchstore.RunItem{Batch: "c", Tenant: "c", Route: "chat", Input: "x", ConfigurationVersion: 1}, b.now)
	configuration := &config.Configuration{Version: 2, ScorerWeights: map[string]float64{"spread": 1}, Pools: []config.Pool{{Name: "p"}}, Routes: []config.Route{{Name: "chat", Kind: config.Batch, Model: "new"}}}
	configuration.Index()
	b.scheduler.SetConfiguration(configuration, b.now)
	if attempt := b.nextAttempt(); attempt.Request.Model != "new" || attempt.ForwardedItem != nil {
		t.Fatalf("%+v", attempt)
	}
}

// What found no fresh lease when its shard began to serve starts as soon as there is
// one; the store does not have to hand it over again.
func TestADeferredItemStartsOnceItMay(t *testing.T) {
	b := newBench(t, "s")
	lease := false
	b.Runner = New(Defaults(), b.machineCalls, b.scheduler, func(int, string, int, clock.Micros) bool { return lease }, func(batchstore.ItemFinished, clock.Micros) {})
	b.submitItem(0, 1)
	if attempts := b.startedAttempts(); len(attempts) != 0 {
		t.Fatalf("%d runs without a lease", len(attempts))
	}
	b.now += retryInterval
	b.Tick(b.now)
	if attempts := b.startedAttempts(); len(attempts) != 0 {
		t.Fatalf("%d runs without a lease", len(attempts))
	}
	lease = true
	b.now += retryInterval
	b.Tick(b.now)
	if attempts := b.startedAttempts(); len(attempts) != 1 {
		t.Fatalf("%d runs with a lease, not one", len(attempts))
	}
}
