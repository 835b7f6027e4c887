package simulation

import (
	"fmt"
	"strings"

	"tuliprudder/core/control"
	"tuliprudder/kernel/clock"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

// Act is one failure of a day.
type Act struct {
	Name string
	Do   func(w *World) (undo func())
	Span clock.Micros
	Disk bool // takes a disk: only when all has its two copies
}

func (w *World) any(kind string) *Node {
	names := w.Names(kind)
	return w.Nodes[names[w.Chance.Intn(len(names))]]
}

func (w *World) anyServer() *Server { return w.Servers[w.Chance.Intn(len(w.Servers))] }

// someZones are at least one zone, and not all.
func (w *World) someZones() map[string]bool {
	zones := map[string]bool{}
	for _, name := range w.names {
		zones[w.Nodes[name].Zone] = true
	}
	all := sorted(zones)
	out := map[string]bool{}
	for _, at := range w.Chance.Perm(len(all))[:1+w.Chance.Intn(len(all)-1)] {
		out[all[at]] = true
	}
	return out
}

// turn lets a server go wrong in some way.
func (s *Server) turn(mode string) func() {
	s.mode = mode
	s.world.Note("%s: %s", s.Name, mode)
	return func() {
		s.mode = ""
		s.world.Note("%s is well again", s.Name)
		s.wake()
	}
}

// holder is the edge that holds a customer's account.
func (w *World) holder(who string) *Node {
	if n := w.Watch.edgeNode(); n != nil {
		id := registry.First("account/"+who, n.edge.Members(), identity.Edge)
		for _, name := range w.Names(identity.Edge) {
			if w.Nodes[name].ID == id {
				return w.Nodes[name]
			}
		}
	}
	return w.any(identity.Edge)
}

// keeperOf is the store that keeps a bundle, as an edge knows it.
func (w *World) keeperOf(h *Handed) *Node {
	if n := w.Watch.edgeNode(); n != nil {
		if _, owner, err := n.edge.Reader.StoreOf(h.ID); err == nil && w.byPeer[owner.Peer] != nil {
			return w.byPeer[owner.Peer]
		}
	}
	return w.any(identity.Store)
}

// primary is the core that serves, or any.
func (w *World) primary() *Node {
	for _, name := range w.Names("cairn") {
		if n := w.Nodes[name]; n.up && n.Core.Serving() {
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
	ms := clock.Millisecond
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
				n.do(n.Keeper.Do(store.Drain{}, w.Now))
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
			zone := map[string]bool{w.any("refuge").Zone: true}
			w.Part(zone, true)
			return func() { w.Part(zone, false) }
		}},
		{Name: "crash a server", Span: 2500 * ms, Do: func(w *World) func() {
			s := w.anyServer()
			s.Kill()
			return func() { s.up = true }
		}},
		{Name: "darken a server", Span: 5000 * ms, Do: func(w *World) func() { return w.anyServer().turn("dark") }},
		{Name: "cut a server's streams", Span: 3000 * ms, Do: func(w *World) func() { return w.anyServer().turn("cut") }},
		{Name: "a server turns away", Span: 3000 * ms, Do: func(w *World) func() { return w.anyServer().turn("refuse") }},
		{Name: "a server turns away late", Span: 3000 * ms, Do: func(w *World) func() { return w.anyServer().turn("late") }},
		{Name: "a server leaves", Span: 8000 * ms, Do: func(w *World) func() {
			s := w.anyServer()
			w.Watch.Leave(s, true)
			return func() { w.Watch.Leave(s, false) }
		}},
		{Name: "a server leaves while an edge is cut off", Span: 8000 * ms, Do: func(w *World) func() {
			heal := isolate(w, w.any("trailhead"))
			s := w.anyServer()
			w.Watch.Leave(s, true)
			return func() { heal(); w.Run(2500 * ms); w.Watch.Leave(s, false) }
		}},
		{Name: "a server leaves while an edge is frozen", Span: 7000 * ms, Do: func(w *World) func() {
			wake := freeze(w.any("trailhead"))
			s := w.anyServer()
			w.Watch.Leave(s, true)
			return func() { wake(); w.Run(2500 * ms); w.Watch.Leave(s, false) }
		}},
		{Name: "a server leaves while a store is frozen", Span: 7000 * ms, Do: func(w *World) func() {
			wake := freeze(w.any("refuge"))
			s := w.anyServer()
			w.Watch.Leave(s, true)
			return func() { wake(); w.Run(2500 * ms); w.Watch.Leave(s, false) }
		}},
		{Name: "roll the servers", Span: 500 * ms, Do: func(w *World) func() {
			for _, s := range w.Servers[:2] {
				w.Watch.Leave(s, true)
				w.Run(3500 * ms)
				s.Kill()
				w.Run(300 * ms)
				s.up = true
				w.Watch.Leave(s, false)
			}
			return nil
		}},
		{Name: "a crowd comes", Span: 2000 * ms, Do: func(w *World) func() { w.Watch.Crowd(150, "gold"); return nil }},
		{Name: "a flock comes", Span: 2000 * ms, Do: func(w *World) func() { w.Watch.Flock(30, 20); return nil }},
		{Name: "a flock comes and the account's holder dies", Span: 2000 * ms, Do: func(w *World) func() {
			w.Watch.Flock(30, 20)
			w.Run(w.between(10, 150) * ms)
			n := w.holder(customer)
			return crash(n, slots)
		}},
		{Name: "a crowd comes and the account's holder freezes", Span: 4000 * ms, Do: func(w *World) func() {
			w.Watch.Crowd(150, "silver")
			w.Run(w.between(10, 120) * ms)
			return freeze(w.holder("silver"))
		}},
		{Name: "a bundle ends while its keeper freezes", Span: 5000 * ms, Do: func(w *World) func() {
			h := w.Watch.Hand(30, 200)
			w.Until(5*clock.Second, func() bool { return h.Accepted > 0 })
			n := w.keeperOf(h)
			wake := freeze(n)
			w.Watch.End(h)
			return wake
		}},
		{Name: "a bundle ends while its keeper is cut off", Span: 5000 * ms, Do: func(w *World) func() {
			h := w.Watch.Hand(30, 200)
			w.Until(5*clock.Second, func() bool { return h.Accepted > 0 })
			heal := isolate(w, w.keeperOf(h))
			w.Watch.End(h)
			return heal
		}},
		{Name: "a plan comes in a takeover", Span: 2500 * ms, Do: func(w *World) func() {
			undo := crash(w.primary(), slots)
			w.Watch.PutPlan(false)
			w.Watch.PutPlan(true)
			return undo
		}},
		{Name: "part the zones in two halves", Span: 9000 * ms, Do: func(w *World) func() {
			half := w.someZones()
			w.Part(half, true)
			return func() { w.Part(half, false) }
		}},
		{Name: "part the zones while a flock comes", Span: 9000 * ms, Do: func(w *World) func() {
			half := w.someZones()
			w.Part(half, true)
			w.Watch.Flock(25, 20)
			w.Run(w.between(0, 3000) * ms)
			w.Watch.Crowd(100, "gold")
			w.Watch.Flock(25, 20)
			return func() { w.Part(half, false) }
		}},
		{Name: "part the zones and mark a server in each part", Span: 9000 * ms, Do: func(w *World) func() {
			half := w.someZones()
			w.Part(half, true)
			w.Run(w.between(0, 4000) * ms)
			one, other := w.Servers[0], w.Servers[1]
			w.Watch.Leave(one, true)
			w.Watch.Leave(other, true)
			w.Watch.PutPlan(false)
			return func() {
				w.Part(half, false)
				w.Run(3000 * ms)
				w.Watch.Leave(one, false)
				w.Watch.Leave(other, false)
			}
		}},
		{Name: "cut one way between two zones", Span: 5000 * ms, Do: func(w *World) func() {
			from, to := w.any("refuge").Zone, w.any("refuge").Zone
			set := func(cut bool) {
				for _, one := range w.names {
					for _, other := range w.names {
						if from != to && w.Nodes[one].Zone == from && w.Nodes[other].Zone == to {
							w.CutWay(one, other, cut)
						}
					}
				}
				w.Note("one way from %s to %s cut: %v", from, to, cut)
			}
			set(true)
			return func() { set(false) }
		}},
		{Name: "cut one way from a daemon", Span: 5000 * ms, Do: func(w *World) func() {
			n, inward := w.any([]string{"refuge", "cairn", "trailhead"}[w.Chance.Intn(3)]), w.Chance.Intn(2) == 0
			set := func(cut bool) {
				for _, other := range w.names {
					if other == n.Name {
						continue
					}
					if inward {
						w.CutWay(other, n.Name, cut)
					} else {
						w.CutWay(n.Name, other, cut)
					}
				}
				w.Note("%s cut one way (inward %v): %v", n.Name, inward, cut)
			}
			set(true)
			return func() { set(false) }
		}},
		{Name: "a cut heals in the midst of a takeover", Span: 400 * ms, Do: func(w *World) func() {
			heal := isolate(w, w.any("refuge"))
			w.Run(w.between(1500, 3000) * ms)
			return heal
		}},
		{Name: "all cores are gone for a while", Span: 8000 * ms, Do: func(w *World) func() {
			var undos []func()
			for _, name := range w.Names("cairn") {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			gone := w.Now
			w.Run(6000 * ms)
			w.Watch.stillServed("with the cores lost", gone)
			return func() { run(undos) }
		}},
		{Name: "stop the whole fleet and start it", Span: 400 * ms, Do: func(w *World) func() {
			var undos []func()
			for _, name := range w.names {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			return func() { run(undos) }
		}},
		{Name: "slow disks", Span: 8000 * ms, Do: func(w *World) func() {
			n := w.any("refuge")
			n.disk.slow = w.between(50, 500) * ms
			w.Note("%s: every sync takes %d ms", n.Name, n.disk.slow/1000)
			n.ill = w.Now + 60*clock.Second
			return func() { n.disk.slow, n.ill = 0, w.Now }
		}},
		{Name: "restart an edge", Span: 300 * ms, Do: func(w *World) func() { return crash(w.any("trailhead"), slots) }},
		{Name: "freeze an edge", Span: 4000 * ms, Do: func(w *World) func() { return freeze(w.any("trailhead")) }},
	}
}

// Moments are failures at the worst moment: each waits for it, then strikes.
func Moments(slots int) []Act {
	ms := clock.Millisecond
	after := func(strike func(n *Node) func()) func(w *World) func() {
		return func(w *World) func() {
			var undo func()
			struck := false
			w.Watch.AfterReceipt = func(h *Handed, keeper string) {
				if n := w.byID(keeper); n != nil && n == w.busiest() && n.up && !struck {
					struck = true
					w.Note("%s is struck right after its receipt for %s", n.Name, h.ID)
					undo = strike(n)
				}
			}
			for i := 0; i < 40; i++ {
				w.Watch.Hand(3, 200)
			}
			w.Until(4*clock.Second, func() bool { return struck })
			w.Watch.AfterReceipt = nil
			return undo
		}
	}
	return []Act{
		{Name: "moment: power lost right after a receipt, on the busiest store", Span: 2500 * ms, Do: after(func(n *Node) func() { return crash(n, slots) })},
		{Name: "moment: the disk lost right after a receipt, on the busiest store", Span: 2500 * ms, Disk: true, Do: after(func(n *Node) func() { return wipe(n, slots) })},
		{Name: "moment: the busiest store freezes right after a receipt", Span: 5000 * ms, Do: after(func(n *Node) func() { return freeze(n) })},
		{Name: "moment: an owner freezes between its sync and its answer", Span: 4000 * ms, Do: func(w *World) func() {
			var undo func()
			target := w.busiest()
			for i := 0; i < 20; i++ {
				w.Watch.Hand(3, 200)
			}
			w.Wrote = func(n *Node) {
				if n == target && undo == nil && n.up {
					undo = freeze(n)
				}
			}
			w.Until(3*clock.Second, func() bool { return undo != nil })
			w.Wrote = nil
			return undo
		}},
		{Name: "moment: the backup lost in the midst of copying", Span: 3000 * ms, Disk: true, Do: func(w *World) func() {
			undos := []func(){crash(w.any("refuge"), slots)}
			var backup *Node
			w.Until(8*clock.Second, func() bool {
				for _, name := range w.Names("cairn") {
					if n := w.Nodes[name]; n.up && n.Core.Serving() {
						for _, pairing := range n.Core.State().Slots {
							for _, replica := range pairing.Replicas {
								if b := w.byID(replica.ID); !pairing.Complete && b != nil && b.up && w.live(pairing.Primary.ID) {
									backup = b
									return true
								}
							}
						}
					}
				}
				return false
			})
			if backup != nil {
				undos = append(undos, wipe(backup, slots))
			}
			return func() { run(undos) }
		}},
		{Name: "moment: the primary lost between sealing and answering", Span: 3000 * ms, Do: func(w *World) func() {
			undos := []func(){crash(w.primary(), slots)}
			w.Watch.PutPlan(false)
			struck := false
			w.Spy = func(from, to *Node, body any) {
				if _, ok := body.(control.CommitAck); ok && !struck && to.up {
					struck = true
					w.After(1, func() { undos = append(undos, crash(to, slots)) })
				}
			}
			w.Until(6*clock.Second, func() bool { return struck })
			w.Spy = nil
			w.Run(300 * ms)
			return func() { run(undos) }
		}},
		{Name: "moment: retire and put in a takeover", Span: 3000 * ms, Disk: true, Do: func(w *World) func() {
			id := w.any("refuge").ID
			undo := crash(w.primary(), slots)
			w.Watch.Retire(id, false)
			w.Watch.PutPlan(false)
			w.Watch.PutPlan(true)
			return func() { undo(); w.Watch.Retire(id, true) }
		}},
		{Name: "moment: two retirements at once", Span: 5000 * ms, Disk: true, Do: func(w *World) func() {
			names := w.Names("refuge")
			one, other := w.Nodes[names[0]].ID, w.Nodes[names[1]].ID
			w.Watch.Retire(one, false)
			w.Watch.Retire(other, false)
			return func() { w.Watch.Retire(one, true); w.Watch.Retire(other, true) }
		}},
		{Name: "moment: a store and a core swapped together", Span: 2000 * ms, Disk: true, Do: func(w *World) func() {
			var undos []func()
			for _, kind := range []string{"refuge", "cairn"} {
				n := w.any(kind)
				n.Crash()
				n.Wipe()
				w.Move(n)
				undos = append(undos, func() { n.Boot(slots) })
			}
			return func() { run(undos) }
		}},
		{Name: "moment: the next loss as soon as there are two copies", Span: 1500 * ms, Disk: true, Do: func(w *World) func() {
			first := wipe(w.busiest(), slots)
			w.Run(500 * ms)
			first()
			if !w.Until(20*clock.Second, w.Settled) {
				w.Watch.breach(kept, "no second copy 20 s after a disk was lost: %s", w.Standing())
				return nil
			}
			return wipe(w.busiest(), slots)
		}},
		{Name: "moment: all seeds exchanged, then every core restarted", Span: 500 * ms, Disk: true, Do: func(w *World) func() {
			for _, name := range w.Names("cairn") {
				n := w.Nodes[name]
				n.Crash()
				n.Wipe()
				w.Move(n)
				w.Run(300 * ms)
				n.Boot(slots)
				if !w.Until(20*clock.Second, w.Settled) {
					w.Watch.breach(back, "the exchange of %s has not settled after 20 s: %s", name, w.Standing())
				}
			}
			var undos []func()
			for _, name := range w.Names("cairn") {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			return func() { run(undos) }
		}},
		{Name: "moment: a cold start with one disk gone", Span: 400 * ms, Disk: true, Do: func(w *World) func() {
			var undos []func()
			lost := w.any("refuge")
			for _, name := range w.names {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			lost.Wipe()
			return func() { run(undos) }
		}},
	}
}

// byID finds a node by the identity it has now.
func (w *World) byID(id string) *Node {
	for _, name := range w.names {
		if w.Nodes[name].ID == id {
			return w.Nodes[name]
		}
	}
	return nil
}

// busiest is the live store that has listed most.
func (w *World) busiest() *Node {
	var best *Node
	for _, name := range w.Names("refuge") {
		if n := w.Nodes[name]; n.up && !n.frozen && (best == nil || n.Keeper.Listed > best.Keeper.Listed) {
			best = n
		}
	}
	if best == nil {
		return w.any("refuge")
	}
	return best
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
		for _, name := range w.Names("trailhead") {
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
		id := w.any("refuge").ID
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

// Report is a day's breaches with the tail of its trace.
func (w *World) Report(lines int) string {
	trace := w.Trace
	if len(trace) > lines {
		trace = trace[len(trace)-lines:]
	}
	var breaches []string
	for _, b := range w.Watch.Breaches {
		breaches = append(breaches, b.String())
	}
	return fmt.Sprintf("breaches:\n  %s\ntrace:\n  %s", strings.Join(breaches, "\n  "), strings.Join(trace, "\n  "))
}
