package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// partitionFaults partition the network, both ways or one way only.
func partitionFaults(_ int) []Fault {
	ms := clock.Millisecond
	return []Fault{
		{Name: "partition the zones in two halves", Duration: 9000 * ms, Inject: func(w *World) func() { return partitionZones(w, w.randomZones()) }},
		{Name: "partition the zones while a burst of batches comes", Duration: 9000 * ms, Inject: partitionUnderLoad},
		{Name: "partition the zones and mark a server in each part", Duration: 9000 * ms, Inject: partitionAndDrainServers},
		{Name: "cut one way between two zones", Duration: 5000 * ms, Inject: blockOneWayBetweenZones},
		{Name: "cut one way from a daemon", Duration: 5000 * ms, Inject: blockOneWayOfDaemon},
		{Name: "a cut heals in the midst of a takeover", Duration: 400 * ms, Inject: func(w *World) func() {
			heal := isolate(w, randomStore(w))
			w.RunFor(w.randomBetween(1500, 3000) * ms)
			return heal
		}},
	}
}

// partitionUnderLoad partitions the zones while many batches and requests come.
func partitionUnderLoad(w *World) (heal func()) {
	heal = partitionZones(w, w.randomZones())
	w.Workload.SubmitBurst(25, 20)
	w.RunFor(w.randomBetween(0, 3000) * clock.Millisecond)
	w.Workload.SendBurst(100, "gold")
	w.Workload.SubmitBurst(25, 20)
	return heal
}

// partitionAndDrainServers partitions the zones and has two servers drain meanwhile.
func partitionAndDrainServers(w *World) (undo func()) {
	heal := partitionZones(w, w.randomZones())
	w.RunFor(w.randomBetween(0, 4000) * clock.Millisecond)
	one, other := w.Servers[0], w.Servers[1]
	w.Workload.SetDraining(one, true)
	w.Workload.SetDraining(other, true)
	w.Workload.PutConfiguration(false)
	return func() {
		heal()
		w.RunFor(3 * clock.Second)
		w.Workload.SetDraining(one, false)
		w.Workload.SetDraining(other, false)
	}
}

func blockOneWayBetweenZones(w *World) (heal func()) {
	from, to := randomStore(w).Zone, randomStore(w).Zone
	setBlocked := func(blocked bool) {
		for _, sender := range w.nodesOfZone(from) {
			for _, receiver := range w.nodesOfZone(to) {
				if from != to {
					w.SetOneWayBlocked(sender.Name, receiver.Name, blocked)
				}
			}
		}
		w.Tracef("one way from %s to %s blocked: %v", from, to, blocked)
	}
	setBlocked(true)
	return func() { setBlocked(false) }
}

func blockOneWayOfDaemon(w *World) (heal func()) {
	kinds := []string{membership.Store, membership.Core, membership.Edge}
	n := w.randomNode(kinds[w.Random.Intn(len(kinds))])
	inward := w.Random.Intn(2) == 0
	setBlocked := func(blocked bool) {
		for _, other := range w.nodeNames {
			switch {
			case other == n.Name:
			case inward:
				w.SetOneWayBlocked(other, n.Name, blocked)
			default:
				w.SetOneWayBlocked(n.Name, other, blocked)
			}
		}
		w.Tracef("%s blocked one way (inward %v): %v", n.Name, inward, blocked)
	}
	setBlocked(true)
	return func() { setBlocked(false) }
}
