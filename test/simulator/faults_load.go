package simulator

import "tuliprudder/internal/clock"

// loadFaults bring many requests or changes at a bad moment.
func loadFaults(shards int) []Fault {
	ms := clock.Millisecond
	return []Fault{
		{Name: "a burst of requests comes", Duration: 2000 * ms, Inject: func(w *World) func() { w.Workload.SendBurst(150, "gold"); return nil }},
		{Name: "a burst of batches comes", Duration: 2000 * ms, Inject: func(w *World) func() { w.Workload.SubmitBurst(30, 20); return nil }},
		{Name: "a burst of batches comes and the account's owner dies", Duration: 2000 * ms, Inject: func(w *World) func() {
			w.Workload.SubmitBurst(30, 20)
			w.RunFor(w.randomBetween(10, 150) * ms)
			return crash(w.quotaOwner(defaultTenant), shards)
		}},
		{Name: "a burst of requests comes and the account's owner freezes", Duration: 4000 * ms, Inject: func(w *World) func() {
			w.Workload.SendBurst(150, "silver")
			w.RunFor(w.randomBetween(10, 120) * ms)
			return freeze(w.quotaOwner("silver"))
		}},
		{Name: "a batch ends while its primary freezes", Duration: 5000 * ms, Inject: endBatchDuring(func(_ *World, owner *Node) func() { return freeze(owner) })},
		{Name: "a batch ends while its primary is cut off", Duration: 5000 * ms, Inject: endBatchDuring(isolate)},
		{Name: "a configuration comes during a takeover", Duration: 2500 * ms, Inject: func(w *World) func() {
			boot := crash(w.primary(), shards)
			w.Workload.PutConfiguration(false)
			w.Workload.PutConfiguration(true)
			return boot
		}},
	}
}

// endBatchDuring ends a batch during a fault of the store that owns it.
func endBatchDuring(inject func(w *World, owner *Node) (undo func())) func(w *World) (undo func()) {
	return func(w *World) func() {
		b := w.Workload.SubmitBatch(30, 200)
		w.RunUntil(5*clock.Second, func() bool { return b.AcceptedAt > 0 })
		undo := inject(w, w.ownerOf(b))
		w.Workload.EndBatch(b)
		return undo
	}
}
