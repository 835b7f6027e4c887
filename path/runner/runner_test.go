package runner

import (
	"fmt"
	"testing"

	"tuliprudder/core/planbook"
	"tuliprudder/kernel/stride"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/daybook"
	"tuliprudder/ledger/keeper"
	"tuliprudder/path/dispatch"
	"tuliprudder/path/roster"
	"tuliprudder/path/serverline"
)

// bench is a runner whose shell and keeper are the test.
type bench struct {
	*Runner
	t      *testing.T
	d      *dispatch.Dispatch
	wire   *stride.Wire
	now    sundial.Micros
	listed []keeper.Ran
}

const hour = 3600 * sundial.Second

func newBench(t *testing.T, servers ...string) *bench {
	b := &bench{t: t, wire: stride.NewWire(), d: dispatch.New(dispatch.Defaults(), 1), now: hour}
	b.Runner = New(Defaults(), b.wire, b.d, func(int, string, int, sundial.Micros) bool { return true },
		func(ran keeper.Ran, _ sundial.Micros) { b.listed = append(b.listed, ran) })
	b.plan(1, planbook.Forward{Tries: 3, Keep: 24 * hour})
	for _, name := range servers {
		b.d.SetServer(roster.Server{Name: name, Address: name + ":1", Slots: 4})
	}
	return b
}

// plan puts a plan in force with one route that passes bundles on and one that
// does not.
func (b *bench) plan(version uint64, forward planbook.Forward) {
	plan := &planbook.Plan{Version: version, Judges: map[string]float64{"spread": 1}, Pools: []planbook.Pool{{Name: "p"}},
		Routes: []planbook.Route{{Name: "r", Kind: planbook.Bundle, Forward: &forward}, {Name: "chat", Kind: planbook.Bundle}}}
	plan.Index()
	b.d.SetPlan(plan, b.now)
}

func (b *bench) take(item int, tokens int64) {
	b.Take(keeper.ItemOrder{Bundle: "b", Item: item, ItemID: fmt.Sprint("i", item), Customer: "r", Route: "r", Enrolled: hour, Plan: 1,
		Request: &daybook.Request{Target: "/x", Body: []byte(fmt.Sprint("body ", item)), Tokens: tokens}}, b.now)
}

// runs are the runs the shell is told of now.
func (b *bench) runs() []Run {
	b.d.SetFresh(b.now)
	b.d.Settle(b.now)
	var out []Run
	for _, effect := range b.wire.Drain() {
		if work, ok := effect.(stride.Work); ok {
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
	b.now += 5 * sundial.Second
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
	b.Begin(Began{Token: first.Token})
	if got := b.Waiting("r"); got != 500 {
		t.Fatalf("%d wait while it runs", got)
	}
	b.Went(Ran{Token: first.Token, Outcome: serverline.Cut}, b.now)
	if got := b.Waiting("r"); got != 500 {
		t.Fatalf("%d wait after a try that was cut", got)
	}
	second := b.run()
	b.Went(Ran{Token: second.Token, Outcome: serverline.Complete}, b.now)
	if got := b.Waiting("r"); got != 0 {
		t.Fatalf("%d wait once it is finished", got)
	}
	// Items with an input count one, and only until a server has begun them.
	b.Take(keeper.ItemOrder{Bundle: "c", Customer: "c", Route: "chat", Input: "x", Plan: 1}, b.now)
	third := b.run()
	if got := b.Waiting("c"); got != 1 {
		t.Fatalf("%d wait for a server to begin", got)
	}
	b.Begin(Began{Token: third.Token})
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
	b.Revoke(keeper.Revoke{Bundle: "b", Slot: -1}, b.now)
	if got := b.Waiting("r"); got != 0 {
		t.Fatalf("%d wait once they are called back", got)
	}
}
