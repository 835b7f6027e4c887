package simulation

import (
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// Day is one simulated day.
type Day struct {
	Seed    int64
	Size    Size
	Climate Climate
	Acts    int   // how many failures
	Skip    []int // acts left out, for shrinking
	Only    string
	Busy    bool // the callers use every kind of call early on
	Plant   func(n *Node)
	Mutate  func(from, to string, body any) (bool, bool, clock.Micros)
}

// Run lives the day through and gives the world back.
func (d Day) Run() *World {
	w := NewWorld(d.Seed, d.Size, d.Climate)
	w.Plant, w.Mutate = d.Plant, d.Mutate
	v := w.Watch
	if !w.Until(10*clock.Second, func() bool {
		for _, name := range w.Names(identity.Edge) {
			if e := w.Nodes[name].edge; e == nil || !e.Reader.Ready() {
				return false
			}
		}
		return true
	}) {
		v.breach(back, "the fleet is not ready 10 s after boot: %s", w.Standing())
		return w
	}
	v.Open()
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
			var open []*Handed
			for _, h := range v.Bundles {
				if h.Accepted > 0 && h.Ended == 0 {
					open = append(open, h)
				}
			}
			if len(open) > 0 && w.Chance.Intn(3) == 0 {
				v.End(open[w.Chance.Intn(len(open))])
			}
		default:
			v.Hand(1+w.Chance.Intn(20), 200)
		}
		w.After(w.between(50, 400)*clock.Millisecond, callers)
	}
	callers()
	if d.Busy {
		h := v.Hand(10, 50)
		w.Run(200 * clock.Millisecond)
		v.Look()
		v.End(h)
		id := w.any(identity.Store).ID
		v.Retire(id, false)
		w.Run(2 * clock.Second)
		v.Retire(id, true)
	}
	acts := append(Acts(d.Size.Slots), Moments(d.Size.Slots)...)
	skip := map[int]bool{}
	for _, i := range d.Skip {
		skip[i] = true
	}
	for i := 0; i < d.Acts; i++ {
		w.Run(w.between(200, 3000) * clock.Millisecond)
		act := acts[w.Chance.Intn(len(acts))]
		for d.Only != "" && !strings.Contains(act.Name, d.Only) {
			act = acts[w.Chance.Intn(len(acts))]
		}
		if skip[i] {
			continue
		}
		if act.Disk && !w.Until(20*clock.Second, w.Settled) {
			v.breach(kept, "no second copy 20 s after a failure: %s", w.Standing())
			return w
		}
		w.Note("act %d: %s", i, act.Name)
		v.Faults++
		undo := act.Do(w)
		w.Run(act.Span/2 + w.between(0, act.Span))
		if undo != nil {
			undo()
		}
		if w.Chance.Intn(3) > 0 {
			w.Until(15*clock.Second, w.Settled)
		}
	}
	v.Last(20 * clock.Second)
	return w
}
