package simulator

import (
	"tuliprudder/internal/clock"
)

// actSteps are the steps in the names of faults.
var actSteps = map[actStep]string{
	stepRequested: "the request is there", stepGranted: "the permit is there", stepDialled: "the call is written",
	stepArrived: "the call has arrived", stepAnswered: "the answer is there",
}

// actFaults strike the core that acted last, at any moment and at each step of an act, and the outside
// system.
func actFaults(shards int) []Fault {
	ms := clock.Millisecond
	kill := func(_ *World, n *Node) func() { return crash(n, shards) }
	stop := func(_ *World, n *Node) func() { return freeze(n) }
	faults := []Fault{
		{Name: "acts: kill the holder", Duration: 3000 * ms, Inject: onHolder(kill)},
		{Name: "acts: freeze the holder", Duration: 5000 * ms, Inject: onHolder(stop)},
		{Name: "acts: cut the holder off", Duration: 5000 * ms, Inject: onHolder(isolate)},
		{Name: "acts: cut the holder off from the outside", Duration: 6000 * ms, Inject: onHolder(blockOutside)},
		{Name: "acts: cut one way from the holder to the outside", Duration: 6000 * ms, Inject: onHolder(blockToOutside)},
		{Name: "acts: cut one way from the outside to the holder", Duration: 6000 * ms, Inject: onHolder(blockFromOutside)},
		{Name: "acts: the outside is down", Duration: 5000 * ms, Inject: outsideFails(func(o *Outside, until clock.Micros) { o.downUntil = until })},
		{Name: "acts: the outside is slow", Duration: 5000 * ms, Inject: outsideFails(func(o *Outside, until clock.Micros) { o.slowUntil = until })},
		{Name: "acts: the outside is busy", Duration: 5000 * ms, Inject: outsideFails(func(o *Outside, until clock.Micros) { o.busyUntil = until })},
		{Name: "acts: the outside's answers are lost", Duration: 5000 * ms, Inject: outsideFails(func(o *Outside, until clock.Micros) { o.answersLostUntil = until })},
	}
	for step := range actStepCount {
		for _, way := range []struct {
			name     string
			duration clock.Micros
			inject   func(w *World, n *Node) func()
		}{{"killed", 3000 * ms, kill}, {"frozen", 5000 * ms, stop}, {"cut off", 5000 * ms, isolate}} {
			faults = append(faults, Fault{Name: "acts: " + way.name + " as " + actSteps[step], Duration: way.duration, Inject: atStep(step, way.inject)})
		}
	}
	return faults
}

// onHolder injects a fault into the core that acted last.
func onHolder(inject func(w *World, n *Node) (undo func())) func(w *World) (undo func()) {
	return func(w *World) func() { return inject(w, w.Outside.lastHolder()) }
}

// atStep injects a fault into the node that comes to a step of an act next, just after the step.
func atStep(step actStep, inject func(w *World, n *Node) (undo func())) func(w *World) (undo func()) {
	return func(w *World) func() {
		var undo func()
		isTriggered := false
		w.Outside.onStep = func(reached actStep, n *Node) {
			if reached != step || isTriggered || !n.up || n.frozen {
				return
			}
			isTriggered = true
			w.After(0, func() {
				w.Tracef("%s has its fault at step %d of an act", n.Name, step)
				undo = inject(w, n)
			})
		}
		w.RunUntil(8*clock.Second, func() bool { return undo != nil })
		w.Outside.onStep = nil
		return undo
	}
}

func blockOutside(w *World, n *Node) (heal func()) {
	w.SetLinkBlocked(n.Name, outsideName, true)
	return func() { w.SetLinkBlocked(n.Name, outsideName, false) }
}

func blockToOutside(w *World, n *Node) (heal func()) {
	w.SetOneWayBlocked(n.Name, outsideName, true)
	return func() { w.SetOneWayBlocked(n.Name, outsideName, false) }
}

func blockFromOutside(w *World, n *Node) (heal func()) {
	w.SetOneWayBlocked(outsideName, n.Name, true)
	return func() { w.SetOneWayBlocked(outsideName, n.Name, false) }
}

// outsideFails has the outside system fail for some seconds.
func outsideFails(set func(o *Outside, until clock.Micros)) func(w *World) (undo func()) {
	return func(w *World) func() {
		set(w.Outside, w.Now+w.randomBetween(2, 8)*clock.Second)
		return func() { set(w.Outside, 0) }
	}
}
