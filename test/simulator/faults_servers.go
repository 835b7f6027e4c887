package simulator

import "tuliprudder/internal/clock"

// serverFaults have model servers fail, drain and come back.
func serverFaults(_ int) []Fault {
	ms := clock.Millisecond
	return []Fault{
		{Name: "crash a server", Duration: 2500 * ms, Inject: func(w *World) func() {
			s := w.randomServer()
			s.Crash()
			return func() { s.up = true }
		}},
		{Name: "silence a server", Duration: 5000 * ms, Inject: func(w *World) func() { return w.randomServer().injectFault(serverUnresponsive) }},
		{Name: "cut a server's streams", Duration: 3000 * ms, Inject: func(w *World) func() { return w.randomServer().injectFault(serverBreaksStreams) }},
		{Name: "a server rejects", Duration: 3000 * ms, Inject: func(w *World) func() { return w.randomServer().injectFault(serverRejects) }},
		{Name: "a server rejects late", Duration: 3000 * ms, Inject: func(w *World) func() { return w.randomServer().injectFault(serverRejectsLate) }},
		{Name: "a server leaves", Duration: 8000 * ms, Inject: func(w *World) func() {
			s := w.randomServer()
			w.Workload.SetDraining(s, true)
			return func() { w.Workload.SetDraining(s, false) }
		}},
		{Name: "a server leaves while an edge is cut off", Duration: 8000 * ms, Inject: drainServerDuring(func(w *World) func() { return isolate(w, randomEdge(w)) })},
		{Name: "a server leaves while an edge is frozen", Duration: 7000 * ms, Inject: drainServerDuring(func(w *World) func() { return freeze(randomEdge(w)) })},
		{Name: "a server leaves while a store is frozen", Duration: 7000 * ms, Inject: drainServerDuring(func(w *World) func() { return freeze(randomStore(w)) })},
		{Name: "roll the servers", Duration: 500 * ms, Inject: restartServersInTurn},
	}
}

// drainServerDuring has a server drain during another fault, and for some time after it.
func drainServerDuring(inject func(w *World) (undo func())) func(w *World) (undo func()) {
	return func(w *World) func() {
		undo := inject(w)
		s := w.randomServer()
		w.Workload.SetDraining(s, true)
		return func() {
			undo()
			w.RunFor(2500 * clock.Millisecond)
			w.Workload.SetDraining(s, false)
		}
	}
}

// restartServersInTurn drains and restarts two servers one after the other.
func restartServersInTurn(w *World) (undo func()) {
	for _, s := range w.Servers[:2] {
		w.Workload.SetDraining(s, true)
		w.RunFor(3500 * clock.Millisecond)
		s.Crash()
		w.RunFor(300 * clock.Millisecond)
		s.up = true
		w.Workload.SetDraining(s, false)
	}
	return nil
}
