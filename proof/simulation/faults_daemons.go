package simulation

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/identity"
)

// storeFaults stop, freeze, cut or wipe single stores.
func storeFaults(slots int) []Act {
	ms := clock.Millisecond
	return []Act{
		{Name: "kill a store", Span: 3000 * ms, Do: func(w *World) func() { return crash(w.any(identity.Store), slots) }},
		{Name: "bounce a store", Span: 200 * ms, Do: func(w *World) func() { return crash(w.any(identity.Store), slots) }},
		{Name: "wipe a store", Span: 1500 * ms, Disk: true, Stores: 1, Do: func(w *World) func() { return wipe(w.any(identity.Store), slots) }},
		{Name: "freeze a store", Span: 5000 * ms, Do: func(w *World) func() { return freeze(w.any(identity.Store)) }},
		{Name: "blink a store", Span: 1200 * ms, Do: func(w *World) func() { return freeze(w.any(identity.Store)) }},
		{Name: "cut a store off", Span: 5000 * ms, Do: func(w *World) func() { return isolate(w, w.any(identity.Store)) }},
		{Name: "stall a disk", Span: 3000 * ms, Do: func(w *World) func() { w.any(identity.Store).Stall(3000 * ms); return nil }},
		{Name: "cut two stores", Span: 4000 * ms, Do: func(w *World) func() {
			a, b := w.any(identity.Store), w.any(identity.Store)
			w.Cut(a.Name, b.Name, a != b)
			w.Note("%s and %s are cut", a.Name, b.Name)
			return func() { w.Cut(a.Name, b.Name, false) }
		}},
	}
}

// coreFaults do the same to the cores.
func coreFaults(slots int) []Act {
	ms := clock.Millisecond
	return []Act{
		{Name: "kill the primary", Span: 3000 * ms, Do: func(w *World) func() { return crash(w.primary(), slots) }},
		{Name: "bounce a core", Span: 200 * ms, Do: func(w *World) func() { return crash(w.any(identity.Core), slots) }},
		{Name: "wipe a core", Span: 1500 * ms, Disk: true, Cores: 1, Do: func(w *World) func() { return wipe(w.any(identity.Core), slots) }},
		{Name: "freeze the primary", Span: 5000 * ms, Do: func(w *World) func() { return freeze(w.primary()) }},
		{Name: "cut a core off", Span: 5000 * ms, Do: func(w *World) func() { return isolate(w, w.any(identity.Core)) }},
		{Name: "cut two cores", Span: 4000 * ms, Do: func(w *World) func() {
			a, b := w.any(identity.Core), w.any(identity.Core)
			w.Cut(a.Name, b.Name, a != b)
			w.Note("%s and %s are cut", a.Name, b.Name)
			return func() { w.Cut(a.Name, b.Name, false) }
		}},
		{Name: "all cores at once", Span: 500 * ms, Do: func(w *World) func() {
			var undos []func()
			for _, name := range w.Names(identity.Core) {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			return func() { run(undos) }
		}},
	}
}

// groupFaults strike whole groups of daemons, or empty and replace one.
func groupFaults(slots int) []Act {
	ms := clock.Millisecond
	return []Act{
		{Name: "all stores at once", Span: 500 * ms, Do: func(w *World) func() {
			var undos []func()
			for _, name := range w.Names(identity.Store) {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			return func() { run(undos) }
		}},
		{Name: "lose a zone", Span: 4000 * ms, Do: func(w *World) func() {
			zone := w.any(identity.Store).Zone
			var undos []func()
			for _, name := range w.names {
				if n := w.Nodes[name]; n.Zone == zone {
					undos = append(undos, crash(n, slots))
				}
			}
			return func() { run(undos) }
		}},
		{Name: "retire a store", Span: 6000 * ms, Disk: true, Do: func(w *World) func() {
			id := w.any(identity.Store).ID
			w.Watch.Retire(id, false)
			return func() { w.Watch.Retire(id, true) }
		}},
		{Name: "drain a store", Span: 2500 * ms, Do: func(w *World) func() {
			n := w.any(identity.Store)
			if n.up && !n.frozen {
				n.do(n.Store.Do(store.Drain{}, w.Now))
			}
			w.Note("%s drains", n.Name)
			return func() { n.Crash(); n.Boot(slots) }
		}},
		{Name: "swap a store", Span: 1500 * ms, Disk: true, Stores: 1, Do: func(w *World) func() {
			n := w.any(identity.Store)
			n.Crash()
			n.Wipe()
			w.Move(n)
			return func() { n.Boot(slots) }
		}},
		{Name: "swap a core", Span: 1500 * ms, Disk: true, Cores: 1, Do: func(w *World) func() {
			n := w.any(identity.Core)
			n.Crash()
			n.Wipe()
			w.Move(n)
			return func() { n.Boot(slots) }
		}},
		{Name: "cut a zone off", Span: 6000 * ms, Do: func(w *World) func() {
			zone := map[string]bool{w.any(identity.Store).Zone: true}
			w.Part(zone, true)
			return func() { w.Part(zone, false) }
		}},
	}
}

// outages take all cores, the whole fleet, a disk's speed or an edge.
func outages(slots int) []Act {
	ms := clock.Millisecond
	return []Act{
		{Name: "all cores are gone for a while", Span: 8000 * ms, Do: func(w *World) func() {
			var undos []func()
			for _, name := range w.Names(identity.Core) {
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
			n := w.any(identity.Store)
			n.disk.slow = w.between(50, 500) * ms
			w.Note("%s: every sync takes %d ms", n.Name, n.disk.slow/1000)
			n.ill = w.Now + 60*clock.Second
			return func() { n.disk.slow, n.ill = 0, w.Now }
		}},
		{Name: "restart an edge", Span: 300 * ms, Do: func(w *World) func() { return crash(w.any(identity.Edge), slots) }},
		{Name: "freeze an edge", Span: 4000 * ms, Do: func(w *World) func() { return freeze(w.any(identity.Edge)) }},
	}
}
