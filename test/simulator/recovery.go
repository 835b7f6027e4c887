package simulator

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/membership"
)

// Recovery is how fast a fleet recovered, each time from a loss on a fully replicated fleet.
type Recovery struct {
	// FailoverAfterKill and FailoverAfterIsolation are from the loss of the primary core to
	// the acknowledgement of a configuration that was sent after it.
	FailoverAfterKill, FailoverAfterIsolation clock.Micros
	// CoreRepair and StoreRepair are from the start of an empty daemon, in place of one
	// that lost its disk, until every group has all its replicas again.
	CoreRepair, StoreRepair clock.Micros
}

// recoveryCheckInterval is the time between two checks whether the fleet has recovered.
const recoveryCheckInterval = 50 * clock.Millisecond

// measureRecovery brings each loss about once and times the recovery; false where the fleet
// did not recover.
func (w *World) measureRecovery(shards int) bool {
	if w.Shape.Cores == 1 {
		return true // there is no other core to take over
	}
	v := w.Workload
	killPrimary := func(n *Node) func() { return crash(n, shards) }
	isolatePrimary := func(n *Node) func() { return isolate(w, n) }
	steps := []struct {
		name    string
		result  *clock.Micros
		measure func() clock.Micros
	}{
		{"a kill of the primary", &v.Recovery.FailoverAfterKill, func() clock.Micros { return w.timeFailover(killPrimary) }},
		{"an isolation of the primary", &v.Recovery.FailoverAfterIsolation, func() clock.Micros { return w.timeFailover(isolatePrimary) }},
		{"an empty core", &v.Recovery.CoreRepair, func() clock.Micros { return w.timeRepair(randomCore(w), shards) }},
		{"an empty store", &v.Recovery.StoreRepair, func() clock.Micros { return w.timeRepair(randomStore(w), shards) }},
	}
	for _, step := range steps {
		if !w.RunUntil(repairTimeout, w.checkFullyReplicated) {
			v.reportViolation(serviceRestored, "not fully replicated before %s: %s", step.name, w.Describe())
			return false
		}
		w.RunFor(w.randomBetween(0, 2*clock.Second))
		w.Tracef("measuring: %s", step.name)
		*step.result = step.measure()
		if *step.result == 0 {
			v.reportViolation(serviceRestored, "no recovery within %d s after %s: %s", repairTimeout/clock.Second, step.name, w.Describe())
			return false
		}
	}
	return w.RunUntil(repairTimeout, w.checkFullyReplicated)
}

// timeFailover takes the primary from the fleet and has an operator send changes at the other
// cores until one is confirmed; 0 where none is in time.
func (w *World) timeFailover(lose func(n *Node) (undo func())) clock.Micros {
	lost := w.primary()
	var others []*Node
	for _, n := range w.nodes(membership.Core) {
		if n != lost {
			others = append(others, n)
		}
	}
	undo, from := lose(lost), w.Now
	first := clock.Micros(0)
	attempts := 0
	for w.Now < from+repairTimeout && first == 0 {
		attempts++
		change := w.Workload.newConfigurationChange(0, 0)
		w.Workload.SendConfiguration(others[attempts%len(others)], change, false, func(p *ConfigurationPut) {
			if p != nil && p.Version > 0 && first == 0 {
				first = p.AnsweredAt - from
			}
		})
		w.RunFor(recoveryCheckInterval)
	}
	w.RunFor(2 * clock.Second)
	undo()
	return first
}

// timeRepair wipes a daemon and times the repair from the empty one's start; 0 where it is not
// repaired in time.
func (w *World) timeRepair(n *Node, shards int) clock.Micros {
	boot := wipe(n, shards)
	w.RunFor(1500 * clock.Millisecond)
	from := w.Now
	boot()
	w.RunFor(recoveryCheckInterval)
	for w.Now < from+repairTimeout {
		if w.checkFullyReplicated() && w.isRepaired(n) {
			return w.Now - from
		}
		w.RunFor(recoveryCheckInterval)
	}
	return 0
}

// isRepaired says whether a core votes again; a store is repaired where the groups are.
func (w *World) isRepaired(n *Node) bool {
	if n.Core == nil {
		return true
	}
	return slices.ContainsFunc(w.primary().Core.Vote().Voters, func(ref election.CoreRef) bool { return ref.ID == n.ID })
}
