package simulator

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// The families of directed scenarios: each brings about, at a random moment, one of
// the five kinds of trouble that operators of such systems report. The names of a
// family's acts begin with its name.
const (
	familyPartition  = "cut-off: "
	familyOperators  = "operators: "
	familySecondLoss = "second-loss: "
	familyChanges    = "many-changes: "
	familyResponses  = "answers: "
)

// Scenarios are the directed scenarios for a fleet of a shape.
func Scenarios(shape Shape) []Fault {
	return slices.Concat(isolationScenarios(shape), operatorScenarios(shape.Shards), secondLossScenarios(shape), acknowledgementScenarios(shape), manyChangesScenarios(shape), responseFaultScenarios(shape.Shards))
}

// isolationScenarios cut daemons off for about twenty seconds, alone or in twos, while
// operators put and read on both sides.
func isolationScenarios(shape Shape) []Fault {
	const duration = 20 * clock.Second
	cut := func(name string, pick func(w *World) []*Node) Fault {
		return Fault{Name: familyPartition + name, Duration: duration, Inject: func(w *World) func() { return isolateWithOperators(w, pick(w)) }}
	}
	anyOf := func(kind string) func(w *World) []*Node {
		return func(w *World) []*Node { return []*Node{w.randomNode(kind)} }
	}
	faults := []Fault{
		cut("a core alone", anyOf(membership.Core)),
		cut("the primary alone", func(w *World) []*Node { return []*Node{w.primary()} }),
		cut("a store alone", anyOf(membership.Store)),
		cut("a core with a store", func(w *World) []*Node { return []*Node{w.randomNode(membership.Core), w.randomNode(membership.Store)} }),
		cut("the primary with a store", func(w *World) []*Node { return []*Node{w.primary(), w.randomNode(membership.Store)} }),
	}
	if shape.Cores > 1 {
		faults = append(faults,
			cut("two cores", func(w *World) []*Node { return w.withAnother(w.randomNode(membership.Core)) }),
			cut("the primary with a core", func(w *World) []*Node { return w.withAnother(w.primary()) }))
	}
	return append(faults, cut("two stores", func(w *World) []*Node { return w.withAnother(w.randomNode(membership.Store)) }))
}

// withAnother is a node with another of its kind.
func (w *World) withAnother(one *Node) []*Node {
	others := slices.DeleteFunc(w.nodes(one.Kind), func(n *Node) bool { return n == one })
	return []*Node{one, others[w.Random.Intn(len(others))]}
}

// setGroupIsolated cuts or heals every link between a group and the rest of the fleet.
func (w *World) setGroupIsolated(group []*Node, cut bool) {
	inside := func(name string) bool {
		return slices.ContainsFunc(group, func(n *Node) bool { return n.Name == name })
	}
	for _, n := range group {
		for _, other := range w.nodeNames {
			if !inside(other) {
				w.SetLinkBlocked(n.Name, other, cut)
			}
		}
		for _, s := range w.Servers {
			w.SetLinkBlocked(n.Name, s.Name, cut)
		}
		w.Tracef("%s is cut off: %v", n.Name, cut)
	}
}

// tolerates tells whether the fleet goes on without a group.
func (w *World) tolerates(group []*Node) bool {
	count := map[string]int{}
	for _, n := range group {
		count[n.Kind]++
	}
	return max(count[membership.Core], count[membership.Store]) <= w.Shape.tolerance()
}

// leaseTime is within which a core that lost contact with the majority has stopped
// confirming, and takeoverTime within which the majority confirms again.
const (
	leaseTime    = 10 * clock.Second
	takeoverTime = 12 * clock.Second
)

// isolateWithOperators cuts a group off and lets operators work on both sides. Where
// the fleet bears the group's loss the rest has to confirm orders again; the side
// without most of the cores may confirm none that come after its lease has lapsed.
func isolateWithOperators(w *World, group []*Node) func() {
	v, replicated := w.Workload, w.FullyReplicated()
	var inside, outside []*Node
	for _, core := range w.nodes(membership.Core) {
		if slices.Contains(group, core) {
			inside = append(inside, core)
		} else {
			outside = append(outside, core)
		}
	}
	from := w.Now
	w.setGroupIsolated(group, true)
	one, other := v.StartOperator(inside), v.StartOperator(outside)
	return func() {
		one.stop()
		other.stop()
		minority, majority := one, other
		if 2*len(inside) > w.Shape.Cores {
			minority, majority = other, one
		}
		for _, p := range minority.Confirmed {
			v.countCheck(configurationInForce)
			if p.CalledAt > from+leaseTime {
				v.reportViolation(configurationInForce, "version %d, sent %d us into the cut, was confirmed without contact with most of the cores", p.Version, p.CalledAt-from)
			}
		}
		// Most of the cores without the stores and edges can have nothing in force.
		if replicated && majority == other && w.tolerates(group) && w.Now > from+takeoverTime {
			v.countCheck(serviceRestored)
			if len(majority.Confirmed) == 0 {
				v.reportViolation(serviceRestored, "most of the cores confirmed nothing in %d us of a cut: %s", w.Now-from, w.Describe())
			}
		}
		w.setGroupIsolated(group, false)
	}
}

// responseFaultScenarios let servers spoil, lose or delay the answers to requests that are
// passed on.
func responseFaultScenarios(shards int) []Fault {
	var faults []Fault
	for _, fault := range responseFaults {
		faults = append(faults, Fault{Name: familyResponses + string(fault) + " at a server", Duration: 4 * clock.Second, Inject: func(w *World) func() { return w.randomServer().injectResponseFault(fault) }})
	}
	every := Fault{Name: familyResponses + "all servers, each in its way", Duration: 3 * clock.Second, Inject: func(w *World) func() {
		var undos []func()
		for _, s := range w.Servers {
			undos = append(undos, s.injectResponseFault(responseFaults[w.Random.Intn(len(responseFaults))]))
		}
		return func() { undoAll(undos) }
	}}
	edge := Fault{Name: familyResponses + "resets while an edge restarts", Duration: 2 * clock.Second, Inject: func(w *World) func() {
		heal := w.randomServer().injectResponseFault(connectionReset)
		boot := crash(w.randomNode(membership.Edge), shards)
		return func() { boot(); heal() }
	}}
	store := Fault{Name: familyResponses + "silence while a store is cut off", Duration: 5 * clock.Second, Inject: func(w *World) func() {
		restore := w.randomServer().injectResponseFault(noResponse)
		heal := isolate(w, w.randomNode(membership.Store))
		return func() { heal(); restore() }
	}}
	return append(faults, every, edge, store)
}
