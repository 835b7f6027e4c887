package simulator

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Run is one simulated day.
type Run struct {
	Seed       int64
	Shape      Shape
	Conditions Conditions
	Faults     int    // how many failures
	SkipFaults []int  // acts left out, for shrinking
	Filter     string // only acts whose names hold this
	AllCalls   bool   // the callers use every kind of call early on
	// Forwarding adds requests that are passed on unchanged, alone and in batches.
	Forwarding bool
	// Scenarios adds the directed scenarios (Scenarios) to the acts.
	Scenarios bool
	// MeasureRecovery times, before the acts, how fast the fleet recovers (Recovery).
	MeasureRecovery bool
	InjectBug       func(n *Node)

	OnEffect      func(n *Node, effect machine.Effect) // as in World
	DeliveryFault func(from, to string, body any) (bool, bool, clock.Micros)
}

// Execute lives the day through and gives the world back.
func (r Run) Execute() *World {
	w := NewWorld(r.Seed, r.Shape, r.Conditions)
	w.InjectBug, w.DeliveryFault, w.OnEffect, w.Forwarding = r.InjectBug, r.DeliveryFault, r.OnEffect, r.Forwarding
	v := w.Workload
	if !w.RunUntil(10*clock.Second, w.allEdgesReady) {
		v.reportViolation(serviceRestored, "the fleet is not ready 10 s after boot: %s", w.Describe())
		return w
	}
	v.Start()
	v.runBatchCallers()
	if r.Forwarding {
		v.runForwardedBatchCallers()
	}
	if r.AllCalls {
		v.exerciseAllCalls()
	}
	if r.MeasureRecovery && !w.measureRecovery(r.Shape.Shards) {
		return w
	}
	if !r.injectFaults(w) {
		return w
	}
	v.Finish(20 * clock.Second)
	return w
}

// allEdgesReady tells whether every edge can serve.
func (w *World) allEdgesReady() bool {
	for _, name := range w.Names(membership.Edge) {
		if e := w.Nodes[name].edge; e == nil || !e.Reader.IsReady() {
			return false
		}
	}
	return true
}

// candidateFaults are the acts this day may pick from.
func (r Run) candidateFaults() []Fault {
	faults := append(UntimedFaults(r.Shape.Shards), TriggeredFaults(r.Shape.Shards)...)
	if r.Scenarios {
		faults = append(faults, Scenarios(r.Shape)...)
	}
	return faults
}

// Validate tells what is wrong with a day; nil when nothing is.
func (r Run) Validate() error {
	matches := func(fault Fault) bool { return strings.Contains(fault.Name, r.Filter) }
	if !slices.ContainsFunc(r.candidateFaults(), matches) {
		return fmt.Errorf("no failure's name holds %q; see the lists in test/simulator", r.Filter)
	}
	return r.Shape.Validate()
}

// injectFaults lets the day's failures happen one after the other; false ends the day.
func (r Run) injectFaults(w *World) bool {
	faults, skip := r.candidateFaults(), map[int]bool{}
	for _, i := range r.SkipFaults {
		skip[i] = true
	}
	for i := 0; i < r.Faults; i++ {
		w.RunFor(w.randomBetween(200, 3000) * clock.Millisecond)
		fault := faults[w.Random.Intn(len(faults))]
		for r.Filter != "" && !strings.Contains(fault.Name, r.Filter) {
			fault = faults[w.Random.Intn(len(faults))]
		}
		if skip[i] || fault.CoresLost >= r.Shape.Cores {
			continue
		}
		if !w.awaitTolerance(fault) {
			w.Workload.reportViolation(batchKept, "no second copy %d s after a failure: %s", repairTimeout/clock.Second, w.Describe())
			return false
		}
		w.Tracef("act %d: %s", i, fault.Name)
		w.Workload.FaultsInjected++
		undo := fault.Inject(w)
		w.RunFor(fault.Duration/2 + w.randomBetween(0, fault.Duration))
		if undo != nil {
			undo()
		}
		if w.Random.Intn(3) > 0 {
			w.RunUntil(15*clock.Second, w.checkFullyReplicated)
		}
	}
	return true
}

// awaitTolerance waits until an act's losses are within the fleet's tolerance: false when
// the fleet does not restore its copies in time. Where the tolerance allows, an act
// comes before the copies of the one before are restored.
func (w *World) awaitTolerance(fault Fault) bool {
	if !fault.ReducesRedundancy {
		return true
	}
	counted := fault.StoresLost+fault.CoresLost > 0
	if counted && w.Shape.tolerance() > 1 && w.canLose(membership.Store, fault.StoresLost) && w.canLose(membership.Core, fault.CoresLost) {
		return true
	}
	return w.RunUntil(repairTimeout, w.checkFullyReplicated)
}
