package simulation

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// operatorConflicts are operators who choose the same number, orders whose answers
// are lost, and both while the primary is lost.
func operatorConflicts(slots int) []Act {
	const span = 2 * clock.Second
	during := func(name string, lose func(w *World) func(), conflict func(w *World)) Act {
		return Act{Name: familyOperators + name, Span: span, Do: func(w *World) func() {
			w.After(w.between(0, 300*clock.Millisecond), func() { conflict(w) })
			w.Run(w.between(0, 400*clock.Millisecond))
			return lose(w)
		}}
	}
	nothing := func(_ *World) func() { return nil }
	killed := func(w *World) func() { return crash(w.primary(), slots) }
	cut := func(w *World) func() { return isolate(w, w.primary()) }
	frozen := func(w *World) func() { return freeze(w.primary()) }
	return []Act{
		during("two under one number", nothing, sameNumber(2)),
		during("two under one number as the primary dies", killed, sameNumber(2)),
		during("two under one number as the primary is cut off", cut, sameNumber(2)),
		during("two under one number as the primary freezes", frozen, sameNumber(2)),
		during("eight at once", nothing, sameNumber(8)),
		during("eight at once as the primary dies", killed, sameNumber(8)),
		during("answers lost, sent again after newer versions", nothing, sentAgain),
		during("answers lost as the primary dies, sent again", killed, sentAgain),
		during("answers lost as the primary freezes, sent again", frozen, sentAgain),
	}
}

// sameNumber has operators send different documents under one number at once, each
// at a core of its own choice, and each again until its outcome is clear.
func sameNumber(count int) func(w *World) {
	return func(w *World) {
		v := w.Watch
		v.ReadLatest(w.any(identity.Core), func(r *ConfigRead) {
			latest := r.Version
			if r.Failed {
				latest = w.any(identity.Edge).plan
			}
			for i := 0; i < count; i++ {
				o := v.newOrder(latest+1, latest)
				w.After(w.between(0, 100*clock.Millisecond), func() {
					v.Send(w.any(identity.Core), o, w.Chance.Intn(3) == 0, func(*Put) { v.SendUntilClear(o, 40) })
				})
			}
		})
	}
}

// sentAgain loses the answer to an order and sends it again at another core: at
// once, and again after newer versions came.
func sentAgain(w *World) {
	v := w.Watch
	v.ReadLatest(w.any(identity.Core), func(r *ConfigRead) {
		if r.Failed {
			return
		}
		o := v.newOrder(r.Version+1, r.Version)
		v.Send(w.any(identity.Core), o, true, func(*Put) {
			v.SendUntilClear(o, 40)
			for i := 0; i < 3; i++ {
				w.After(w.between(500, 1500)*clock.Millisecond, func() { v.PutPlan(false) })
			}
			for _, after := range []clock.Micros{3 * clock.Second, 6 * clock.Second} {
				w.After(after, func() { v.Send(w.any(identity.Core), o, false, nil) })
			}
		})
	})
}

// manyChanges puts hundreds of configurations while a core is away, and then has
// the cores start again: who was away has to catch up, and may lead.
func manyChanges(size Size) []Act {
	slots := size.Slots
	away := func(name string, disk bool, leave func(w *World, n *Node) func()) Act {
		cores := 0
		if disk {
			cores = 1
		}
		return Act{Name: familyChanges + name, Span: 500 * clock.Millisecond, Disk: disk, Cores: cores, Do: func(w *World) func() {
			n := w.any(identity.Core)
			w.putMany(20 + w.Chance.Intn(40))
			come := leave(w, n)
			w.putMany(40 + w.Chance.Intn(160))
			come()
			if w.Chance.Intn(2) == 0 {
				w.Until(repairTime, w.noteSettled)
			}
			return w.restartCores(n, slots)
		}}
	}
	return []Act{
		away("a core is killed meanwhile", false, func(_ *World, n *Node) func() { return crash(n, slots) }),
		away("a core is frozen meanwhile", false, func(_ *World, n *Node) func() { return freeze(n) }),
		away("a core is cut off meanwhile", false, func(w *World, n *Node) func() { return isolate(w, n) }),
		away("a core is emptied meanwhile", true, func(_ *World, n *Node) func() { return wipe(n, slots) }),
		away("a core is replaced meanwhile", true, func(w *World, n *Node) func() { return replace(w, n, slots) }),
	}
}

// putMany has an operator put configurations one after the other, as fast as they
// are confirmed.
func (w *World) putMany(count int) {
	v, done := w.Watch, 0
	latest := v.w.any(identity.Edge).plan
	for failures := 0; done < count && failures < 40; {
		at, o, over := w.any(identity.Core), v.newOrder(latest+1, latest), false
		v.Send(at, o, false, func(p *Put) {
			over = true
			if p != nil && p.Version > 0 {
				latest = p.Version
				done++
				return
			}
			failures++
		})
		for !over {
			w.Run(10 * clock.Millisecond)
		}
		if !o.settled || o.settled && !o.confirmed {
			v.SendUntilClear(o, 10)
			v.ReadLatest(w.any(identity.Core), func(r *ConfigRead) { latest = max(latest, r.Version) })
			w.Run(300 * clock.Millisecond)
		}
	}
	w.Note("%d configurations put", done)
}

// restartCores restarts the cores: all at once, one after the other, or all but the
// one that was away, so that it may lead.
func (w *World) restartCores(away *Node, slots int) func() {
	var undos []func()
	switch w.Chance.Intn(3) {
	case 0:
		for _, n := range w.nodes(identity.Core) {
			undos = append(undos, crash(n, slots))
		}
	case 1:
		for _, n := range w.nodes(identity.Core) {
			boot := crash(n, slots)
			w.Run(300 * clock.Millisecond)
			boot()
			w.Run(w.between(100, 1500) * clock.Millisecond)
		}
	default:
		if primary := w.primary(); primary != away {
			undos = append(undos, crash(primary, slots))
			w.Run(w.between(1000, 4000) * clock.Millisecond)
		}
	}
	return func() { run(undos) }
}
