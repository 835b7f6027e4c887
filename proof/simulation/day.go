package simulation

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
)

// Day is one simulated day.
type Day struct {
	Seed       int64
	Size       Size
	Conditions Conditions
	Acts       int    // how many failures
	Skip       []int  // acts left out, for shrinking
	Only       string // only acts whose names hold this
	Busy       bool   // the callers use every kind of call early on
	// Forwarding adds requests that are passed on unchanged, alone and in bundles.
	Forwarding bool
	// Scenarios adds the directed scenarios (Scenarios) to the acts.
	Scenarios bool
	// Measure times, before the acts, how fast the fleet recovers (Recovery).
	Measure bool
	Plant   func(n *Node)

	OnEffect func(n *Node, effect machine.Effect) // as in World
	Mutate   func(from, to string, body any) (bool, bool, clock.Micros)
}

// Run lives the day through and gives the world back.
func (d Day) Run() *World {
	w := NewWorld(d.Seed, d.Size, d.Conditions)
	w.Plant, w.Mutate, w.OnEffect, w.Forwarding = d.Plant, d.Mutate, d.OnEffect, d.Forwarding
	v := w.Watch
	if !w.Until(10*clock.Second, w.ready) {
		v.breach(back, "the fleet is not ready 10 s after boot: %s", w.Describe())
		return w
	}
	v.Open()
	v.call()
	if d.Forwarding {
		v.callForwarded()
	}
	if d.Busy {
		d.useAll(w)
	}
	if d.Measure && !w.measure(d.Size.Slots) {
		return w
	}
	if !d.strikeAll(w) {
		return w
	}
	v.Last(20 * clock.Second)
	return w
}

// ready tells whether every edge can serve.
func (w *World) ready() bool {
	for _, name := range w.Names(identity.Edge) {
		if e := w.Nodes[name].edge; e == nil || !e.Reader.Ready() {
			return false
		}
	}
	return true
}

// call has callers use the fleet until Calling is false.
func (v *Watch) call() {
	w := v.w
	var callers func()
	callers = func() {
		if !v.Calling {
			return
		}
		switch w.Chance.Intn(8) {
		case 0:
			v.PutPlan(w.Chance.Intn(2) == 0)
		case 1:
			v.Claim()
		case 2:
			v.Look()
			v.Hand(1+w.Chance.Intn(10), 1)
		case 3:
			v.endSome()
		default:
			v.Hand(1+w.Chance.Intn(20), 200)
		}
		w.After(w.between(50, 400)*clock.Millisecond, callers)
	}
	callers()
}

// endSome ends, now and then, one of the bundles that are open.
func (v *Watch) endSome() {
	var open []*Handed
	for _, h := range v.Bundles {
		if h.Accepted > 0 && h.Ended == 0 {
			open = append(open, h)
		}
	}
	if len(open) > 0 && v.w.Chance.Intn(3) == 0 {
		v.End(open[v.w.Chance.Intn(len(open))])
	}
}

// callForwarded has callers hand in bundles of requests until Calling is false.
func (v *Watch) callForwarded() {
	w := v.w
	var callers func()
	callers = func() {
		if !v.Calling {
			return
		}
		v.HandRequests(1+w.Chance.Intn(8), 200)
		w.After(w.between(300, 1500)*clock.Millisecond, callers)
	}
	callers()
}

// useAll uses every kind of call early on.
func (d Day) useAll(w *World) {
	v := w.Watch
	h := v.Hand(10, 50)
	w.Run(200 * clock.Millisecond)
	v.Look()
	v.End(h)
	id := w.any(identity.Store).ID
	v.Retire(id, false)
	w.Run(2 * clock.Second)
	v.Retire(id, true)
}

// pool are the acts this day may pick from.
func (d Day) pool() []Act {
	acts := append(Acts(d.Size.Slots), Moments(d.Size.Slots)...)
	if d.Scenarios {
		acts = append(acts, Scenarios(d.Size)...)
	}
	return acts
}

// Check tells what is wrong with a day; nil when nothing is.
func (d Day) Check() error {
	matches := func(act Act) bool { return strings.Contains(act.Name, d.Only) }
	if !slices.ContainsFunc(d.pool(), matches) {
		return fmt.Errorf("no failure's name holds %q; see the lists in proof/simulation", d.Only)
	}
	return d.Size.Check()
}

// strikeAll lets the day's failures happen one after the other; false ends the day.
func (d Day) strikeAll(w *World) bool {
	acts, skip := d.pool(), map[int]bool{}
	for _, i := range d.Skip {
		skip[i] = true
	}
	for i := 0; i < d.Acts; i++ {
		w.Run(w.between(200, 3000) * clock.Millisecond)
		act := acts[w.Chance.Intn(len(acts))]
		for d.Only != "" && !strings.Contains(act.Name, d.Only) {
			act = acts[w.Chance.Intn(len(acts))]
		}
		if skip[i] || act.Cores >= d.Size.Cores {
			continue
		}
		if !w.mayStrike(act) {
			w.Watch.breach(kept, "no second copy %d s after a failure: %s", repairTime/clock.Second, w.Describe())
			return false
		}
		w.Note("act %d: %s", i, act.Name)
		w.Watch.Faults++
		undo := act.Do(w)
		w.Run(act.Span/2 + w.between(0, act.Span))
		if undo != nil {
			undo()
		}
		if w.Chance.Intn(3) > 0 {
			w.Until(15*clock.Second, w.noteSettled)
		}
	}
	return true
}

// mayStrike waits until an act's losses are within the fleet's tolerance: false when
// the fleet does not restore its copies in time. Where the tolerance allows, an act
// comes before the copies of the one before are restored.
func (w *World) mayStrike(act Act) bool {
	if !act.Disk {
		return true
	}
	counted := act.Stores+act.Cores > 0
	if counted && w.Size.tolerance() > 1 && w.mayLose(identity.Store, act.Stores) && w.mayLose(identity.Core, act.Cores) {
		return true
	}
	return w.Until(repairTime, w.noteSettled)
}
