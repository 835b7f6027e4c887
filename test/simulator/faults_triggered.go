package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/membership"
)

// TriggeredFaults are faults at the worst moment: each waits for it. A fault whose moment
// does not come does nothing.
func TriggeredFaults(shards int) []Fault {
	ms := clock.Millisecond
	return []Fault{
		{Name: "moment: power lost right after an acknowledgement, on the busiest store", Duration: 2500 * ms, Inject: afterBatchAck(func(n *Node) func() { return crash(n, shards) })},
		{Name: "moment: the disk lost right after an acknowledgement, on the busiest store", Duration: 2500 * ms, ReducesRedundancy: true, Inject: afterBatchAck(func(n *Node) func() { return wipe(n, shards) })},
		{Name: "moment: the busiest store freezes right after an acknowledgement", Duration: 5000 * ms, Inject: afterBatchAck(freeze)},
		{Name: "moment: an owner freezes between its sync and its answer", Duration: 4000 * ms, Inject: freezeAfterSync},
		{Name: "moment: the backup lost in the midst of copying", Duration: 3000 * ms, ReducesRedundancy: true, Inject: func(w *World) func() { return wipeBackupWhileCopying(w, shards) }},
		{Name: "moment: the primary lost between sealing and answering", Duration: 3000 * ms, Inject: func(w *World) func() { return crashPrimaryAtCommitAck(w, shards) }},
		{Name: "moment: retire and put in a takeover", Duration: 3000 * ms, ReducesRedundancy: true, Inject: func(w *World) func() { return retireAndPutInTakeover(w, shards) }},
		{Name: "moment: two retirements at once", Duration: 5000 * ms, ReducesRedundancy: true, Inject: retireTwoStores},
		{Name: "moment: a store and a core replaced together", Duration: 2000 * ms, ReducesRedundancy: true, StoresLost: 1, CoresLost: 1, Inject: func(w *World) func() {
			undos := []func(){replaceDaemon(w, randomStore(w), shards)}
			undos = append(undos, replaceDaemon(w, randomCore(w), shards))
			return func() { undoAll(undos) }
		}},
		{Name: "moment: the next loss as soon as there are two copies", Duration: 1500 * ms, ReducesRedundancy: true, Inject: func(w *World) func() { return wipeTwiceInARow(w, shards) }},
		{Name: "moment: all seeds exchanged, then every core restarted", Duration: 500 * ms, ReducesRedundancy: true, CoresLost: 1, Inject: func(w *World) func() { return replaceAllCores(w, shards) }},
		{Name: "moment: a cold start with one disk gone", Duration: 400 * ms, ReducesRedundancy: true, Inject: func(w *World) func() {
			lost := randomStore(w)
			boot := crashAll(w.allNodes(), shards)
			lost.Wipe()
			return boot
		}},
	}
}

// afterBatchAck injects a fault into the busiest store right after it acknowledged a batch.
func afterBatchAck(inject func(n *Node) (undo func())) func(w *World) (undo func()) {
	return func(w *World) func() {
		var undo func()
		triggered := false
		w.Workload.OnAcknowledgement = func(b *Batch, owner string) {
			n := w.nodeByID(owner)
			if !triggered && n != nil && n == w.busiestStore() && n.up {
				triggered = true
				w.Tracef("%s has its fault right after its acknowledgement of %s", n.Name, b.ID)
				undo = inject(n)
			}
		}
		for range 40 {
			w.Workload.SubmitBatch(3, 200)
		}
		w.RunUntil(4*clock.Second, func() bool { return triggered })
		w.Workload.OnAcknowledgement = nil
		return undo
	}
}

// freezeAfterSync freezes a store after its disk has synced, before its machine is notified.
func freezeAfterSync(w *World) (thaw func()) {
	target := w.busiestStore()
	for range 20 {
		w.Workload.SubmitBatch(3, 200)
	}
	w.OnSync = func(n *Node) {
		if n == target && thaw == nil && n.up {
			thaw = freeze(n)
		}
	}
	w.RunUntil(3*clock.Second, func() bool { return thaw != nil })
	w.OnSync = nil
	return thaw
}

// wipeBackupWhileCopying crashes a store, and wipes a replica while it receives the state
// of a shard.
func wipeBackupWhileCopying(w *World, shards int) (boot func()) {
	undos := []func(){crash(randomStore(w), shards)}
	var backup *Node
	w.RunUntil(8*clock.Second, func() bool {
		backup = w.incompleteReplica()
		return backup != nil
	})
	if backup != nil {
		undos = append(undos, wipe(backup, shards))
	}
	return func() { undoAll(undos) }
}

// incompleteReplica is a live replica of a shard whose assignment is not complete while its
// primary lives; nil where there is none.
func (w *World) incompleteReplica() *Node {
	for _, core := range w.nodes(membership.Core) {
		if !core.up || !core.Core.IsServing() {
			continue
		}
		for _, assignment := range core.Core.State().Shards {
			if assignment.Complete || !w.isLive(assignment.Primary.ID) {
				continue
			}
			for _, replica := range assignment.Replicas {
				if n := w.nodeByID(replica.ID); n != nil && n.up {
					return n
				}
			}
		}
	}
	return nil
}

// crashPrimaryAtCommitAck crashes the primary, and the one elected after it right after it
// receives an acknowledgement of its commit.
func crashPrimaryAtCommitAck(w *World, shards int) (boot func()) {
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
	w.RunFor(300 * clock.Millisecond)
	return func() { undoAll(undos) }
}

// retireAndPutInTakeover retires a store and puts configurations while there is no primary.
func retireAndPutInTakeover(w *World, shards int) (undo func()) {
	id := randomStore(w).ID
	boot := crash(w.primary(), shards)
	w.Workload.RetireStore(id, false)
	w.Workload.PutConfiguration(false)
	w.Workload.PutConfiguration(true)
	return func() { boot(); w.Workload.RetireStore(id, true) }
}

func retireTwoStores(w *World) (cancel func()) {
	names := w.Names(membership.Store)
	one, other := w.Nodes[names[0]].ID, w.Nodes[names[1]].ID
	w.Workload.RetireStore(one, false)
	w.Workload.RetireStore(other, false)
	return func() { w.Workload.RetireStore(one, true); w.Workload.RetireStore(other, true) }
}

// wipeTwiceInARow wipes a store, and another as soon as the fleet is fully replicated.
func wipeTwiceInARow(w *World, shards int) (boot func()) {
	bootFirst := wipe(w.busiestStore(), shards)
	w.RunFor(500 * clock.Millisecond)
	bootFirst()
	if !w.RunUntil(repairTimeout, w.FullyReplicated) {
		w.Workload.reportViolation(batchKept, "no second replica 20 s after a disk was lost: %s", w.Describe())
		return nil
	}
	return wipe(w.busiestStore(), shards)
}

// replaceAllCores replaces the cores one after the other, and crashes all of them then.
func replaceAllCores(w *World, shards int) (boot func()) {
	for _, n := range w.nodes(membership.Core) {
		bootEmpty := replaceDaemon(w, n, shards)
		w.RunFor(300 * clock.Millisecond)
		bootEmpty()
		if !w.RunUntil(repairTimeout, w.FullyReplicated) {
			w.Workload.reportViolation(serviceRestored, "the replacement of %s is not complete after 20 s: %s", n.Name, w.Describe())
		}
	}
	return crashAll(w.nodes(membership.Core), shards)
}
