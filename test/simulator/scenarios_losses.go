package simulator

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// secondLossScenarios are further losses right after a repair, a replacement or a retirement,
// as many as the fleet tolerates.
func secondLossScenarios(shape Shape) []Fault {
	shards, limit := shape.Shards, shape.tolerance()
	const duration = 1500 * clock.Millisecond
	faults := []Fault{
		{Name: familySecondLoss + "the holders of a slot as another of them retires", Duration: duration, ReducesRedundancy: true, Inject: func(w *World) func() { return wipePeersOfRetiring(w, limit, shards) }},
		{Name: familySecondLoss + "stores as soon as a replaced one is whole", Duration: duration, ReducesRedundancy: true, Inject: func(w *World) func() {
			return wipeAfterRepair(w, membership.Store, limit, shards)
		}},
		{Name: familySecondLoss + "a core is killed as an empty one joins", Duration: 3 * clock.Second, ReducesRedundancy: true, CoresLost: 1, Inject: func(w *World) func() { return killWhileEmptyJoins(w, shards) }},
	}
	if shape.Cores > 1 {
		faults = append(faults, Fault{Name: familySecondLoss + "cores as soon as a replaced one is whole", Duration: duration, ReducesRedundancy: true, Inject: func(w *World) func() {
			return wipeAfterRepair(w, membership.Core, min(limit, (shape.Cores-1)/2), shards)
		}})
	}
	if limit > 1 {
		faults = append(faults,
			Fault{Name: familySecondLoss + "two stores' disks at once", Duration: duration, ReducesRedundancy: true, StoresLost: 2, Inject: func(w *World) func() { return wipeAll(w.withAnother(w.randomNode(membership.Store)), shards) }},
			Fault{Name: familySecondLoss + "two cores' disks at once", Duration: duration, ReducesRedundancy: true, CoresLost: 2, Inject: func(w *World) func() { return wipeAll(w.withAnother(w.primary()), shards) }},
			Fault{Name: familySecondLoss + "a store's and a core's disk at once", Duration: duration, ReducesRedundancy: true, StoresLost: 1, CoresLost: 1, Inject: func(w *World) func() {
				return wipeAll([]*Node{w.randomNode(membership.Store), w.primary()}, shards)
			}},
			Fault{Name: familySecondLoss + "two disks of one slot at once", Duration: duration, ReducesRedundancy: true, StoresLost: 2, Inject: func(w *World) func() {
				replicas := w.replicasOf(w.Random.Intn(shards))
				return wipeAll(replicas[:min(2, len(replicas))], shards)
			}})
	}
	return faults
}

// wipePeersOfRetiring retires a replica of a shard, and wipes the others while it retires.
func wipePeersOfRetiring(w *World, limit, shards int) func() {
	replicas := w.replicasOf(w.Random.Intn(shards))
	if len(replicas) < 2 {
		return nil
	}
	at := w.Random.Intn(len(replicas))
	retiring := replicas[at]
	others := slices.Delete(slices.Clone(replicas), at, at+1)
	id := retiring.ID
	w.Workload.RetireStore(id, false)
	w.RunFor(w.randomBetween(0, 2500) * clock.Millisecond)
	lost := wipeAll(others[:min(limit, len(others))], shards)
	return func() { lost(); w.Workload.RetireStore(id, true) }
}

// wipeAfterRepair replaces a daemon, and wipes as many others as the fleet tolerates as soon as
// all replicas are restored.
func wipeAfterRepair(w *World, kind string, limit, shards int) func() {
	first := w.randomNode(kind)
	boot := replaceDaemon(w, first, shards)
	w.RunFor(w.randomBetween(200, 1500) * clock.Millisecond)
	boot()
	if !w.RunUntil(repairTimeout, w.checkFullyReplicated) {
		w.Workload.reportViolation(batchKept, "no second replica %d s after a disk was lost: %s", repairTimeout/clock.Second, w.Describe())
		return nil
	}
	others := slices.DeleteFunc(w.nodes(kind), func(n *Node) bool { return n == first })
	w.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return wipeAll(others[:min(limit, len(others))], shards)
}

// killWhileEmptyJoins wipes a core and crashes another, whose disk stays, while the empty one
// joins.
func killWhileEmptyJoins(w *World, shards int) func() {
	cores := w.nodes(membership.Core)
	w.Random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	boot := wipe(cores[0], shards)
	w.RunFor(w.randomBetween(200, 1500) * clock.Millisecond)
	boot()
	if len(cores) < 3 {
		return nil
	}
	w.RunFor(w.randomBetween(0, 3000) * clock.Millisecond)
	return crash(cores[1], shards)
}
