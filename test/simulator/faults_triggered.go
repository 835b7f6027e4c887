package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/membership"
)

// TriggeredFaults are failures at the worst moment: each waits for it, then strikes.
//
//revive:disable-next-line:cyclomatic,function-length a table, one moment an entry
func TriggeredFaults(shards int) []Fault {
	ms := clock.Millisecond
	after := func(inject func(n *Node) func()) func(w *World) func() {
		return func(w *World) func() {
			var undo func()
			triggered := false
			w.Workload.OnAcknowledgement = func(b *Batch, owner string) {
				if n := w.nodeByID(owner); n != nil && n == w.busiestStore() && n.up && !triggered {
					triggered = true
					w.Tracef("%s is struck right after its receipt for %s", n.Name, b.ID)
					undo = inject(n)
				}
			}
			for i := 0; i < 40; i++ {
				w.Workload.SubmitBatch(3, 200)
			}
			w.RunUntil(4*clock.Second, func() bool { return triggered })
			w.Workload.OnAcknowledgement = nil
			return undo
		}
	}
	return []Fault{
		{Name: "moment: power lost right after a receipt, on the busiest store", Duration: 2500 * ms, Inject: after(func(n *Node) func() { return crash(n, shards) })},
		{Name: "moment: the disk lost right after a receipt, on the busiest store", Duration: 2500 * ms, ReducesRedundancy: true, Inject: after(func(n *Node) func() { return wipe(n, shards) })},
		{Name: "moment: the busiest store freezes right after a receipt", Duration: 5000 * ms, Inject: after(func(n *Node) func() { return freeze(n) })},
		{Name: "moment: an owner freezes between its sync and its answer", Duration: 4000 * ms, Inject: func(w *World) func() {
			var undo func()
			target := w.busiestStore()
			for i := 0; i < 20; i++ {
				w.Workload.SubmitBatch(3, 200)
			}
			w.OnSync = func(n *Node) {
				if n == target && undo == nil && n.up {
					undo = freeze(n)
				}
			}
			w.RunUntil(3*clock.Second, func() bool { return undo != nil })
			w.OnSync = nil
			return undo
		}},
		{Name: "moment: the backup lost in the midst of copying", Duration: 3000 * ms, ReducesRedundancy: true, Inject: func(w *World) func() {
			undos := []func(){crash(w.randomNode(membership.Store), shards)}
			var backup *Node
			w.RunUntil(8*clock.Second, func() bool {
				for _, name := range w.Names(membership.Core) {
					if n := w.Nodes[name]; n.up && n.Core.IsServing() {
						for _, assignment := range n.Core.State().Shards {
							for _, replica := range assignment.Replicas {
								if b := w.nodeByID(replica.ID); !assignment.Complete && b != nil && b.up && w.isLive(assignment.Primary.ID) {
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
				undos = append(undos, wipe(backup, shards))
			}
			return func() { undoAll(undos) }
		}},
		{Name: "moment: the primary lost between sealing and answering", Duration: 3000 * ms, Inject: func(w *World) func() {
			undos := []func(){crash(w.primary(), shards)}
			w.Workload.PutConfiguration(false)
			triggered := false
			w.OnSend = func(_, to *Node, body any) {
				if _, ok := body.(election.CommitAck); ok && !triggered && to.up {
					triggered = true
					w.After(1, func() { undos = append(undos, crash(to, shards)) })
				}
			}
			w.RunUntil(6*clock.Second, func() bool { return triggered })
			w.OnSend = nil
			w.RunFor(300 * ms)
			return func() { undoAll(undos) }
		}},
		{Name: "moment: retire and put in a takeover", Duration: 3000 * ms, ReducesRedundancy: true, Inject: func(w *World) func() {
			id := w.randomNode(membership.Store).ID
			undo := crash(w.primary(), shards)
			w.Workload.RetireStore(id, false)
			w.Workload.PutConfiguration(false)
			w.Workload.PutConfiguration(true)
			return func() { undo(); w.Workload.RetireStore(id, true) }
		}},
		{Name: "moment: two retirements at once", Duration: 5000 * ms, ReducesRedundancy: true, Inject: func(w *World) func() {
			names := w.Names(membership.Store)
			one, other := w.Nodes[names[0]].ID, w.Nodes[names[1]].ID
			w.Workload.RetireStore(one, false)
			w.Workload.RetireStore(other, false)
			return func() { w.Workload.RetireStore(one, true); w.Workload.RetireStore(other, true) }
		}},
		{Name: "moment: a store and a core swapped together", Duration: 2000 * ms, ReducesRedundancy: true, StoresLost: 1, CoresLost: 1, Inject: func(w *World) func() {
			var undos []func()
			for _, kind := range []string{membership.Store, membership.Core} {
				n := w.randomNode(kind)
				n.Crash()
				n.Wipe()
				w.ChangeAddress(n)
				undos = append(undos, func() { n.Boot(shards) })
			}
			return func() { undoAll(undos) }
		}},
		{Name: "moment: the next loss as soon as there are two copies", Duration: 1500 * ms, ReducesRedundancy: true, Inject: func(w *World) func() {
			first := wipe(w.busiestStore(), shards)
			w.RunFor(500 * ms)
			first()
			if !w.RunUntil(20*clock.Second, w.FullyReplicated) {
				w.Workload.reportViolation(batchKept, "no second copy 20 s after a disk was lost: %s", w.Describe())
				return nil
			}
			return wipe(w.busiestStore(), shards)
		}},
		{Name: "moment: all seeds exchanged, then every core restarted", Duration: 500 * ms, ReducesRedundancy: true, CoresLost: 1, Inject: func(w *World) func() {
			for _, name := range w.Names(membership.Core) {
				n := w.Nodes[name]
				n.Crash()
				n.Wipe()
				w.ChangeAddress(n)
				w.RunFor(300 * ms)
				n.Boot(shards)
				if !w.RunUntil(20*clock.Second, w.FullyReplicated) {
					w.Workload.reportViolation(serviceRestored, "the exchange of %s has not settled after 20 s: %s", name, w.Describe())
				}
			}
			var undos []func()
			for _, name := range w.Names(membership.Core) {
				undos = append(undos, crash(w.Nodes[name], shards))
			}
			return func() { undoAll(undos) }
		}},
		{Name: "moment: a cold start with one disk gone", Duration: 400 * ms, ReducesRedundancy: true, Inject: func(w *World) func() {
			var undos []func()
			lost := w.randomNode(membership.Store)
			for _, name := range w.nodeNames {
				undos = append(undos, crash(w.Nodes[name], shards))
			}
			lost.Wipe()
			return func() { undoAll(undos) }
		}},
	}
}
