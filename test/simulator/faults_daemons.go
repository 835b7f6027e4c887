package simulator

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// storeFaults stop, freeze, isolate or wipe single stores.
func storeFaults(shards int) []Fault {
	ms := clock.Millisecond
	return []Fault{
		{Name: "kill a store", Duration: 3000 * ms, Inject: func(w *World) func() { return crash(randomStore(w), shards) }},
		{Name: "restart a store", Duration: 200 * ms, Inject: func(w *World) func() { return crash(randomStore(w), shards) }},
		{Name: "wipe a store", Duration: 1500 * ms, ReducesRedundancy: true, StoresLost: 1, Inject: func(w *World) func() { return wipe(randomStore(w), shards) }},
		{Name: "freeze a store", Duration: 5000 * ms, Inject: func(w *World) func() { return freeze(randomStore(w)) }},
		{Name: "freeze a store for a second", Duration: 1200 * ms, Inject: func(w *World) func() { return freeze(randomStore(w)) }},
		{Name: "cut a store off", Duration: 5000 * ms, Inject: func(w *World) func() { return isolate(w, randomStore(w)) }},
		{Name: "stall a disk", Duration: 3000 * ms, Inject: func(w *World) func() { randomStore(w).StallDisk(3000 * ms); return nil }},
		{Name: "cut two stores", Duration: 4000 * ms, Inject: func(w *World) func() { return blockTwo(w, membership.Store) }},
	}
}

// coreFaults do the same to the cores.
func coreFaults(shards int) []Fault {
	ms := clock.Millisecond
	return []Fault{
		{Name: "kill the primary", Duration: 3000 * ms, Inject: func(w *World) func() { return crash(w.primary(), shards) }},
		{Name: "restart a core", Duration: 200 * ms, Inject: func(w *World) func() { return crash(randomCore(w), shards) }},
		{Name: "wipe a core", Duration: 1500 * ms, ReducesRedundancy: true, CoresLost: 1, Inject: func(w *World) func() { return wipe(randomCore(w), shards) }},
		{Name: "freeze the primary", Duration: 5000 * ms, Inject: func(w *World) func() { return freeze(w.primary()) }},
		{Name: "cut a core off", Duration: 5000 * ms, Inject: func(w *World) func() { return isolate(w, randomCore(w)) }},
		{Name: "cut two cores", Duration: 4000 * ms, Inject: func(w *World) func() { return blockTwo(w, membership.Core) }},
		{Name: "all cores at once", Duration: 500 * ms, Inject: func(w *World) func() { return crashAll(w.nodes(membership.Core), shards) }},
	}
}

// groupFaults take whole groups of daemons, or retire, drain or replace one.
func groupFaults(shards int) []Fault {
	ms := clock.Millisecond
	return []Fault{
		{Name: "all stores at once", Duration: 500 * ms, Inject: func(w *World) func() { return crashAll(w.nodes(membership.Store), shards) }},
		{Name: "lose a zone", Duration: 4000 * ms, Inject: func(w *World) func() { return crashAll(w.nodesOfZone(randomStore(w).Zone), shards) }},
		{Name: "retire a store", Duration: 6000 * ms, ReducesRedundancy: true, Inject: retireStore},
		{Name: "drain a store", Duration: 2500 * ms, Inject: func(w *World) func() { return drainStore(w, shards) }},
		{Name: "replace a store", Duration: 1500 * ms, ReducesRedundancy: true, StoresLost: 1, Inject: func(w *World) func() { return replaceDaemon(w, randomStore(w), shards) }},
		{Name: "replace a core", Duration: 1500 * ms, ReducesRedundancy: true, CoresLost: 1, Inject: func(w *World) func() { return replaceDaemon(w, randomCore(w), shards) }},
		{Name: "cut a zone off", Duration: 6000 * ms, Inject: func(w *World) func() { return partitionZones(w, map[string]bool{randomStore(w).Zone: true}) }},
	}
}

// retireStore has a store retire, and cancels that.
func retireStore(w *World) (cancel func()) {
	id := randomStore(w).ID
	w.Workload.RetireStore(id, false)
	return func() { w.Workload.RetireStore(id, true) }
}

// drainStore notifies a store that it is about to stop, and restarts it.
func drainStore(w *World, shards int) (restart func()) {
	n := randomStore(w)
	if n.up && !n.frozen {
		n.execute(n.Store.Do(batchstore.Drain{}, w.Now))
	}
	w.Tracef("%s drains", n.Name)
	return func() { n.Crash(); n.Boot(shards) }
}

// outageFaults take all cores, the whole fleet, a disk's speed or an edge.
func outageFaults(shards int) []Fault {
	ms := clock.Millisecond
	return []Fault{
		{Name: "all cores are gone for a while", Duration: 8000 * ms, Inject: func(w *World) func() { return loseAllCores(w, shards) }},
		{Name: "stop the whole fleet and start it", Duration: 400 * ms, Inject: func(w *World) func() { return crashAll(w.allNodes(), shards) }},
		{Name: "slow disks", Duration: 8000 * ms, Inject: slowDisk},
		{Name: "restart an edge", Duration: 300 * ms, Inject: func(w *World) func() { return crash(randomEdge(w), shards) }},
		{Name: "freeze an edge", Duration: 4000 * ms, Inject: func(w *World) func() { return freeze(randomEdge(w)) }},
	}
}

// loseAllCores crashes the cores and checks that live requests go on without them.
func loseAllCores(w *World, shards int) (boot func()) {
	boot = crashAll(w.nodes(membership.Core), shards)
	lostAt := w.Now
	w.RunFor(6 * clock.Second)
	w.Workload.checkStillServed("with the cores lost", lostAt)
	return boot
}

// slowDisk makes the syncs of a store slow.
func slowDisk(w *World) (restore func()) {
	n := randomStore(w)
	n.disk.extraSyncTime = w.randomBetween(50, 500) * clock.Millisecond
	w.Tracef("%s: every sync takes %d ms", n.Name, n.disk.extraSyncTime/1000)
	n.lastFaultAt = w.Now + 60*clock.Second
	return func() { n.disk.extraSyncTime, n.lastFaultAt = 0, w.Now }
}
