package simulation

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// serverFaults let model servers go wrong, leave and come back.
func serverFaults(_ int) []Act {
	ms := clock.Millisecond
	return []Act{
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
			heal := isolate(w, w.any(identity.Edge))
			s := w.anyServer()
			w.Watch.Leave(s, true)
			return func() { heal(); w.Run(2500 * ms); w.Watch.Leave(s, false) }
		}},
		{Name: "a server leaves while an edge is frozen", Span: 7000 * ms, Do: func(w *World) func() {
			wake := freeze(w.any(identity.Edge))
			s := w.anyServer()
			w.Watch.Leave(s, true)
			return func() { wake(); w.Run(2500 * ms); w.Watch.Leave(s, false) }
		}},
		{Name: "a server leaves while a store is frozen", Span: 7000 * ms, Do: func(w *World) func() {
			wake := freeze(w.any(identity.Store))
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
	}
}

// loadFaults bring many callers or changes at a bad moment.
func loadFaults(slots int) []Act {
	ms := clock.Millisecond
	return []Act{
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
	}
}
