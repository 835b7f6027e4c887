package simulation

import (
	"tuliprudder/core/control"
	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// Moments are failures at the worst moment: each waits for it, then strikes.
//
//revive:disable-next-line:cyclomatic,function-length a table, one moment an entry
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
			undos := []func(){crash(w.any(identity.Store), slots)}
			var backup *Node
			w.Until(8*clock.Second, func() bool {
				for _, name := range w.Names(identity.Core) {
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
			w.Spy = func(_, to *Node, body any) {
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
			id := w.any(identity.Store).ID
			undo := crash(w.primary(), slots)
			w.Watch.Retire(id, false)
			w.Watch.PutPlan(false)
			w.Watch.PutPlan(true)
			return func() { undo(); w.Watch.Retire(id, true) }
		}},
		{Name: "moment: two retirements at once", Span: 5000 * ms, Disk: true, Do: func(w *World) func() {
			names := w.Names(identity.Store)
			one, other := w.Nodes[names[0]].ID, w.Nodes[names[1]].ID
			w.Watch.Retire(one, false)
			w.Watch.Retire(other, false)
			return func() { w.Watch.Retire(one, true); w.Watch.Retire(other, true) }
		}},
		{Name: "moment: a store and a core swapped together", Span: 2000 * ms, Disk: true, Stores: 1, Cores: 1, Do: func(w *World) func() {
			var undos []func()
			for _, kind := range []string{identity.Store, identity.Core} {
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
				w.Watch.breach(kept, "no second copy 20 s after a disk was lost: %s", w.Describe())
				return nil
			}
			return wipe(w.busiest(), slots)
		}},
		{Name: "moment: all seeds exchanged, then every core restarted", Span: 500 * ms, Disk: true, Cores: 1, Do: func(w *World) func() {
			for _, name := range w.Names(identity.Core) {
				n := w.Nodes[name]
				n.Crash()
				n.Wipe()
				w.Move(n)
				w.Run(300 * ms)
				n.Boot(slots)
				if !w.Until(20*clock.Second, w.Settled) {
					w.Watch.breach(back, "the exchange of %s has not settled after 20 s: %s", name, w.Describe())
				}
			}
			var undos []func()
			for _, name := range w.Names(identity.Core) {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			return func() { run(undos) }
		}},
		{Name: "moment: a cold start with one disk gone", Span: 400 * ms, Disk: true, Do: func(w *World) func() {
			var undos []func()
			lost := w.any(identity.Store)
			for _, name := range w.names {
				undos = append(undos, crash(w.Nodes[name], slots))
			}
			lost.Wipe()
			return func() { run(undos) }
		}},
	}
}
