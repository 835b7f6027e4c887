package simulator

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Run is one simulated run: a fleet, callers, and faults one after the other.
type Run struct {
	Seed       int64
	Shape      Shape
	Conditions Conditions
	Faults     int    // how many
	SkipFaults []int  // numbers of faults that are left out, for shrinking
	Filter     string // only faults whose names contain it
	AllCalls   bool   // the callers use every kind of call early on
	// Forwarding adds requests that are forwarded unchanged, alone and in batches.
	Forwarding bool
	// TokenQuota adds callers who press against a quota of tokens.
	TokenQuota bool
	// Tenants has batches of requests belong to tenants, and others try to use them.
	Tenants bool
	// Scenarios adds the directed scenarios (Scenarios) to the faults.
	Scenarios bool
	// Acts adds a system outside the fleet that cores perform acts on, and its faults.
	Acts bool
	// Calm is for how long callers go on before the first fault.
	Calm clock.Micros
	// MeasureRecovery times, before the faults, how fast the fleet recovers (Recovery).
	MeasureRecovery bool

	// As in World.
	InjectBug     func(n *Node)
	OnEffect      func(n *Node, effect machine.Effect)
	DeliveryFault func(from, to string, body any) (drop, duplicate bool, delay clock.Micros)
}

// Execute runs it to its end and returns the world with its violations.
func (r Run) Execute() *World {
	w := NewWorld(r.Seed, r.Shape, r.Conditions)
	w.InjectBug = r.InjectBug
	w.DeliveryFault = r.DeliveryFault
	w.OnEffect = r.OnEffect
	w.Forwarding = r.Forwarding
	w.TokenQuota = r.TokenQuota
	if r.Acts {
		w.Outside = newOutside(w)
	}
	w.Tenants = r.Tenants
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
	if r.TokenQuota {
		v.runLimitedBatchCallers()
	}
	if r.Tenants {
		v.runUnauthorisedCallers()
	}
	if r.AllCalls {
		v.exerciseAllCalls()
	}
	if r.MeasureRecovery && !w.measureRecovery(r.Shape.Shards) {
		return w
	}
	if r.Calm > 0 {
		w.RunFor(r.Calm)
	}
	if !r.injectFaults(w) {
		return w
	}
	v.Finish(20 * clock.Second)
	return w
}

// allEdgesReady says whether every edge can serve.
func (w *World) allEdgesReady() bool {
	for _, name := range w.Names(membership.Edge) {
		if e := w.Nodes[name].edge; e == nil || !e.Reader.IsReady() {
			return false
		}
	}
	return true
}

// candidateFaults are the faults that the run may pick from.
func (r Run) candidateFaults() []Fault {
	faults := append(UntimedFaults(r.Shape.Shards), TriggeredFaults(r.Shape.Shards)...)
	if r.Scenarios {
		faults = append(faults, Scenarios(r.Shape)...)
	}
	if r.Acts {
		faults = append(faults, actFaults(r.Shape.Shards)...)
	}
	return faults
}

// Validate returns what is wrong with a run, or nil.
func (r Run) Validate() error {
	matches := func(fault Fault) bool { return strings.Contains(fault.Name, r.Filter) }
	if !slices.ContainsFunc(r.candidateFaults(), matches) {
		return fmt.Errorf("no fault's name contains %q; see the lists in test/simulator", r.Filter)
	}
	return r.Shape.Validate()
}

// injectFaults injects the faults one after the other; false ends the run.
func (r Run) injectFaults(w *World) bool {
	candidates := r.candidateFaults()
	for i := range r.Faults {
		w.RunFor(w.randomBetween(200, 3000) * clock.Millisecond)
		fault := r.pickFault(w, candidates)
		if slices.Contains(r.SkipFaults, i) || fault.CoresLost >= r.Shape.Cores {
			continue
		}
		if !w.awaitTolerance(fault) {
			w.Workload.reportViolation(batchKept, "no second replica %d s after a fault: %s", repairTimeout/clock.Second, w.Describe())
			return false
		}
		w.Tracef("fault %d: %s", i, fault.Name)
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

// pickFault draws faults until one passes the filter.
func (r Run) pickFault(w *World, candidates []Fault) Fault {
	for {
		fault := candidates[w.Random.Intn(len(candidates))]
		if strings.Contains(fault.Name, r.Filter) {
			return fault
		}
	}
}

// awaitTolerance waits until a fault's losses are within the fleet's tolerance: false when
// the fleet does not restore its replicas in time. Where the tolerance allows, a fault
// comes before the replicas that the one before took are restored.
func (w *World) awaitTolerance(fault Fault) bool {
	if !fault.ReducesRedundancy {
		return true
	}
	losesDisks := fault.StoresLost+fault.CoresLost > 0
	isTolerated := w.canLose(membership.Store, fault.StoresLost) && w.canLose(membership.Core, fault.CoresLost)
	if losesDisks && isTolerated && w.Shape.tolerance() > 1 {
		return true
	}
	return w.RunUntil(repairTimeout, w.checkFullyReplicated)
}
