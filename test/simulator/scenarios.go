package simulator

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// The families of directed scenarios: each brings about, at a random moment, one of the five
// kinds of fault that operators of such systems report. The names of a family's faults begin
// with its name.
const (
	familyPartition  = "cut-off: "
	familyOperators  = "operators: "
	familySecondLoss = "second-loss: "
	familyChanges    = "many-changes: "
	familyResponses  = "answers: "
)

// Scenarios are the directed scenarios for a fleet of a shape.
func Scenarios(shape Shape) []Fault {
	return slices.Concat(
		isolationScenarios(shape),
		operatorScenarios(shape.Shards),
		secondLossScenarios(shape),
		acknowledgementScenarios(shape),
		manyChangesScenarios(shape),
		responseFaultScenarios(shape.Shards),
	)
}

// isolationScenarios isolate daemons for about twenty seconds, alone or in twos, while
// operators put and read on both sides.
func isolationScenarios(shape Shape) []Fault {
	const duration = 20 * clock.Second
	isolated := func(name string, pick func(w *World) []*Node) Fault {
		return Fault{Name: familyPartition + name, Duration: duration, Inject: func(w *World) func() { return isolateWithOperators(w, pick(w)) }}
	}
	anyOf := func(kind string) func(w *World) []*Node {
		return func(w *World) []*Node { return []*Node{w.randomNode(kind)} }
	}
	faults := []Fault{
		isolated("a core alone", anyOf(membership.Core)),
		isolated("the primary alone", func(w *World) []*Node { return []*Node{w.primary()} }),
		isolated("a store alone", anyOf(membership.Store)),
		isolated("a core with a store", func(w *World) []*Node { return []*Node{w.randomNode(membership.Core), w.randomNode(membership.Store)} }),
		isolated("the primary with a store", func(w *World) []*Node { return []*Node{w.primary(), w.randomNode(membership.Store)} }),
	}
	if shape.Cores > 1 {
		faults = append(faults,
			isolated("two cores", func(w *World) []*Node { return w.withAnother(w.randomNode(membership.Core)) }),
			isolated("the primary with a core", func(w *World) []*Node { return w.withAnother(w.primary()) }))
	}
	return append(faults, isolated("two stores", func(w *World) []*Node { return w.withAnother(w.randomNode(membership.Store)) }))
}

// withAnother is a node with another of its kind.
func (w *World) withAnother(one *Node) []*Node {
	others := slices.DeleteFunc(w.nodes(one.Kind), func(n *Node) bool { return n == one })
	return []*Node{one, others[w.Random.Intn(len(others))]}
}

// setGroupIsolated blocks or heals every link between a group and the rest of the fleet.
func (w *World) setGroupIsolated(group []*Node, blocked bool) {
	inside := func(name string) bool {
		return slices.ContainsFunc(group, func(n *Node) bool { return n.Name == name })
	}
	for _, n := range group {
		for _, other := range w.nodeNames {
			if !inside(other) {
				w.SetLinkBlocked(n.Name, other, blocked)
			}
		}
		for _, s := range w.Servers {
			w.SetLinkBlocked(n.Name, s.Name, blocked)
		}
		w.Tracef("%s is isolated: %v", n.Name, blocked)
	}
}

// tolerates says whether the fleet goes on without a group.
func (w *World) tolerates(group []*Node) bool {
	count := map[string]int{}
	for _, n := range group {
		count[n.Kind]++
	}
	return max(count[membership.Core], count[membership.Store]) <= w.Shape.tolerance()
}

// leaseTime is within which a core that can't reach the majority has stopped confirming, and
// takeoverTime within which the majority confirms again.
const (
	leaseTime    = 10 * clock.Second
	takeoverTime = 12 * clock.Second
)

// isolateWithOperators isolates a group and lets operators work on both sides. Where the fleet
// tolerates the group's loss the others have to confirm changes again; the side without the
// majority of the cores may confirm none that come after its lease has ended.
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
	isolatedAt := w.Now
	w.setGroupIsolated(group, true)
	one, other := v.startOperator(inside), v.startOperator(outside)
	return func() {
		one.stop()
		other.stop()
		minority, majority := one, other
		if 2*len(inside) > w.Shape.Cores {
			minority, majority = other, one
		}
		for _, p := range minority.confirmed {
			v.countCheck(configurationInForce)
			if p.CalledAt > isolatedAt+leaseTime {
				v.reportViolation(configurationInForce, "version %d, sent %d us into the partition, was confirmed without the majority of the cores", p.Version, p.CalledAt-isolatedAt)
			}
		}
		// A majority of the cores without the stores and edges can have nothing in force.
		mustConfirm := replicated && majority == other && w.tolerates(group)
		if mustConfirm && w.Now > isolatedAt+takeoverTime {
			v.countCheck(serviceRestored)
			if len(majority.confirmed) == 0 {
				v.reportViolation(serviceRestored, "the majority of the cores confirmed nothing in %d us of a partition: %s", w.Now-isolatedAt, w.Describe())
			}
		}
		w.setGroupIsolated(group, false)
	}
}

// responseFaultScenarios let servers spoil, lose or delay the answers to forwarded requests.
func responseFaultScenarios(shards int) []Fault {
	var faults []Fault
	for _, fault := range responseFaults {
		faults = append(faults, Fault{Name: familyResponses + string(fault) + " at a server", Duration: 4 * clock.Second, Inject: func(w *World) func() { return w.randomServer().injectResponseFault(fault) }})
	}
	return append(faults,
		Fault{Name: familyResponses + "all servers, each in its way", Duration: 3 * clock.Second, Inject: injectResponseFaultsEverywhere},
		Fault{Name: familyResponses + "resets while an edge restarts", Duration: 2 * clock.Second, Inject: func(w *World) func() {
			restore := w.randomServer().injectResponseFault(connectionReset)
			boot := crash(randomEdge(w), shards)
			return func() { boot(); restore() }
		}},
		Fault{Name: familyResponses + "silence while a store is cut off", Duration: 5 * clock.Second, Inject: func(w *World) func() {
			restore := w.randomServer().injectResponseFault(noResponse)
			heal := isolate(w, randomStore(w))
			return func() { heal(); restore() }
		}})
}

func injectResponseFaultsEverywhere(w *World) (restore func()) {
	var undos []func()
	for _, s := range w.Servers {
		fault := responseFaults[w.Random.Intn(len(responseFaults))]
		undos = append(undos, s.injectResponseFault(fault))
	}
	return func() { undoAll(undos) }
}
