package weather

import (
	"fmt"
	"strings"

	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/keeper"
)

// Act is one failure of a day.
type Act struct {
	Name string
	Do   func(w *World) (undo func())
	Span sundial.Micros
	Disk bool // takes a disk: only when all has its two copies
}

func (w *World) any(kind string) *Node {
	names := w.Names(kind)
	return w.Nodes[names[w.Chance.Intn(len(names))]]
}

// primary is the core that serves, or any.
func (w *World) primary() *Node {
	for _, name := range w.Names("cairn") {
		if n := w.Nodes[name]; n.up && n.Summit.Serving() {
			return n
		}
	}
	return w.any("cairn")
}

func crash(n *Node, slots int) func() {
	n.Crash()
	return func() { n.Boot(slots) }
}

func wipe(n *Node, slots int) func() {
	n.Crash()
	n.Wipe()
	return func() { n.Boot(slots) }
}

func freeze(n *Node) func() {
	n.Freeze()
	return n.Thaw
}

func isolate(w *World, n *Node) func() {
	w.CutOff(n.Name, true)
	w.Note("%s is cut off", n.Name)
	return func() { w.CutOff(n.Name, false); w.Note("%s is back", n.Name) }
}

// Acts are the failures the simulator knows.
func Acts(slots int) []Act {
	ms := sundial.Millisecond
	return []Act{
		{Name: "kill a store", Span: 3000 * ms, Do: func(w *World) func() { return crash(w.any("refuge"), slots) }},
		{Name: "bounce a store", Span: 200 * ms, Do: func(w *World) func() { return crash(w.any("refuge"), slots) }},
		{Name: "wipe a store", Span: 1500 * ms, Disk: true, Do: func(w *World) func() { return wipe(w.any("refuge"), slots) }},
		{Name: "freeze a store", Span: 5000 * ms, Do: func(w *World) func() { return freeze(w.any("refuge")) }},
		{Name: "blink a store", Span: 1200 * ms, Do: func(w *World) func() { return freeze(w.any("refuge")) }},
		{Name: "cut a store off", Span: 5000 * ms, Do: func(w *World) func() { return isolate(w, w.any("refuge")) }},
		{Name: "stall a disk", Span: 3000 * ms, Do: func(w *World) func() { w.any("refuge").Stall(3000 * ms); return nil }},
		{Name: "cut two stores", Span: 4000 * ms, Do: func(w *World) func() {
			a, b := w.any("refuge"), w.any("refuge")
			w.Cut(a.Name, b.Name, a != b)
			w.Note("%s and %s are cut", a.Name, b.Name)
			return func() { w.Cut(a.Name, b.Name, false) }
		}},
		{Name: "kill the primary", Span: 3000 * ms, Do: func(w *World) func() { return crash(w.primary(), slots) }},
		{Name: "bounce a core", Span: 200 * ms, Do: func(w *World) func() { return crash(w.any("cairn"), slots) }},
		{Name: "wipe a core", Span: 1500 * ms, Disk: true, Do: func(w *World) func() { return wipe(w.any("cairn"), slots) }},
		{Name: "freeze the primary", Span: 5000 * ms, Do: func(w *World) func() { return freeze(w.primary()) }},
		{Name: "cut a core off", Span: 5000 * ms, Do: func(w *World) func() { return isolate(w, w.any("cairn")) }},
		{Name: "cut two cores", Span: 4000 * ms, Do: func(w *World) func() {
			a, b := w.any("cairn"), w.any("cairn")
			w.Cut(a.Name, b.Name, a != b)
			w.Note("%s and %s are cut", a.Name, b.Name)
			return func() { w.Cut(a.Name, b.Name, false) }
		}},
		{Name: "all cores at once", Span: 500 * ms, Do: func(w *World) func() {
			var undos []func()
			for _, name := range w.Names("cairn") {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			return func() { run(undos) }
		}},
		{Name: "all stores at once", Span: 500 * ms, Do: func(w *World) func() {
			var undos []func()
			for _, name := range w.Names("refuge") {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			return func() { run(undos) }
		}},
		{Name: "lose a zone", Span: 4000 * ms, Do: func(w *World) func() {
			zone := w.any("refuge").Zone
			var undos []func()
			for _, name := range w.names {
				if n := w.Nodes[name]; n.Zone == zone {
					undos = append(undos, crash(n, slots))
				}
			}
			return func() { run(undos) }
		}},
		{Name: "retire a store", Span: 6000 * ms, Disk: true, Do: func(w *World) func() {
			id := w.any("refuge").ID
			w.Watch.Retire(id, false)
			return func() { w.Watch.Retire(id, true) }
		}},
		{Name: "drain a store", Span: 2500 * ms, Do: func(w *World) func() {
			n := w.any("refuge")
			if n.up && !n.frozen {
				n.do(n.Keeper.Do(keeper.Drain{}, w.Now))
			}
			w.Note("%s drains", n.Name)
			return func() { n.Crash(); n.Boot(slots) }
		}},
		{Name: "swap a store", Span: 1500 * ms, Disk: true, Do: func(w *World) func() {
			n := w.any("refuge")
			n.Crash()
			n.Wipe()
			w.Move(n)
			return func() { n.Boot(slots) }
		}},
		{Name: "swap a core", Span: 1500 * ms, Disk: true, Do: func(w *World) func() {
			n := w.any("cairn")
			n.Crash()
			n.Wipe()
			w.Move(n)
			return func() { n.Boot(slots) }
		}},
		{Name: "cut a zone off", Span: 6000 * ms, Do: func(w *World) func() {
			zone := w.any("refuge").Zone
			set := func(cut bool) {
				for _, one := range w.names {
					for _, other := range w.names {
						if w.Nodes[one].Zone == zone && w.Nodes[other].Zone != zone {
							w.Cut(one, other, cut)
						}
					}
				}
				w.Note("%s cut off: %v", zone, cut)
			}
			set(true)
			return func() { set(false) }
		}},
		{Name: "restart an edge", Span: 300 * ms, Do: func(w *World) func() { return crash(w.any("trailhead"), slots) }},
		{Name: "freeze an edge", Span: 4000 * ms, Do: func(w *World) func() { return freeze(w.any("trailhead")) }},
	}
}

func run(undos []func()) {
	for _, undo := range undos {
		undo()
	}
}

// Day is one simulated day.
type Day struct {
	Seed    int64
	Size    Size
	Climate Climate
	Acts    int   // how many failures
	Skip    []int // acts left out, for shrinking
	Only    string
	Plant   func(n *Node)
	Mutate  func(from, to string, body any) (bool, bool, sundial.Micros)
}

// Run lives the day through and gives the world back.
func (d Day) Run() *World {
	w := NewWorld(d.Seed, d.Size, d.Climate)
	w.Plant, w.Mutate = d.Plant, d.Mutate
	v := w.Watch
	if !w.Until(10*sundial.Second, func() bool {
		for _, name := range w.Names("trailhead") {
			if e := w.Nodes[name].edge; e == nil {
				return false
			} else if _, whole := e.view.UpTo(); !whole {
				return false
			}
		}
		return true
	}) {
		v.breach("the fleet is not ready 10 s after boot: %s", w.Standing())
		return w
	}
	v.Follow()
	v.PutPlan(false)
	working := true
	var callers func()
	callers = func() {
		if !working {
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
		w.After(w.between(50, 400)*sundial.Millisecond, callers)
	}
	callers()
	acts := Acts(d.Size.Slots)
	skip := map[int]bool{}
	for _, i := range d.Skip {
		skip[i] = true
	}
	for i := 0; i < d.Acts; i++ {
		w.Run(w.between(200, 3000) * sundial.Millisecond)
		act := acts[w.Chance.Intn(len(acts))]
		for d.Only != "" && !strings.Contains(act.Name, d.Only) {
			act = acts[w.Chance.Intn(len(acts))]
		}
		if skip[i] {
			continue
		}
		if act.Disk && !w.Until(20*sundial.Second, w.Settled) {
			v.breach("no second copy 20 s after a failure: %s", w.Standing())
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
			w.Until(15*sundial.Second, w.Settled)
		}
	}
	working = false
	v.Last(20 * sundial.Second)
	return w
}

// Report is a day's breaches with the tail of its trace.
func (w *World) Report(lines int) string {
	trace := w.Trace
	if len(trace) > lines {
		trace = trace[len(trace)-lines:]
	}
	return fmt.Sprintf("breaches:\n  %s\ntrace:\n  %s", strings.Join(w.Watch.Breaches, "\n  "), strings.Join(trace, "\n  "))
}
