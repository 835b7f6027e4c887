package simulator

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/membership"
)

// Recovery is how fast a fleet recovered, each in a run of its own on a fleet that
// had all its copies before.
type Recovery struct {
	// FailoverAfterKill and FailoverAfterIsolation are from the loss of the primary core to the acknowledgement of
	// a configuration that was sent after it.
	FailoverAfterKill, FailoverAfterIsolation clock.Micros
	// CoreRepair and StoreRepair are from the start of an empty machine, in place of
	// one that lost its disk, until every group has all its copies again.
	CoreRepair, StoreRepair clock.Micros
}

// probeInterval is the time between two probes of a recovery.
const probeInterval = 50 * clock.Millisecond

// measureRecovery brings each loss about once and times the recovery; false where the fleet
// did not recover.
func (w *World) measureRecovery(shards int) bool {
	if w.Shape.Cores == 1 {
		return true // there is no other core to take over
	}
	v := w.Workload
	steps := []struct {
		name   string
		result *clock.Micros
		do     func() clock.Micros
	}{
		{"a kill of the primary", &v.Recovery.FailoverAfterKill, func() clock.Micros { return w.timeFailover(func(n *Node) func() { return crash(n, shards) }) }},
		{"a cut of the primary", &v.Recovery.FailoverAfterIsolation, func() clock.Micros { return w.timeFailover(func(n *Node) func() { return isolate(w, n) }) }},
		{"an empty core", &v.Recovery.CoreRepair, func() clock.Micros { return w.timeRepair(w.randomNode(membership.Core), shards) }},
		{"an empty store", &v.Recovery.StoreRepair, func() clock.Micros { return w.timeRepair(w.randomNode(membership.Store), shards) }},
	}
	for _, step := range steps {
		if !w.RunUntil(repairTimeout, w.checkFullyReplicated) {
			v.reportViolation(serviceRestored, "not settled before %s: %s", step.name, w.Describe())
			return false
		}
		w.RunFor(w.randomBetween(0, 2*clock.Second))
		w.Tracef("measuring: %s", step.name)
		if *step.result = step.do(); *step.result == 0 {
			v.reportViolation(serviceRestored, "no recovery within %d s after %s: %s", repairTimeout/clock.Second, step.name, w.Describe())
			return false
		}
	}
	return w.RunUntil(repairTimeout, w.checkFullyReplicated)
}

// timeFailover takes the primary away and has an operator send at the other cores
// until one of the orders is confirmed.
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
		w.RunFor(probeInterval)
	}
	w.RunFor(2 * clock.Second)
	undo()
	return first
}

// timeRepair empties a daemon and times the repair from the empty one's start.
func (w *World) timeRepair(n *Node, shards int) clock.Micros {
	boot := wipe(n, shards)
	w.RunFor(1500 * clock.Millisecond)
	from := w.Now
	boot()
	w.RunFor(probeInterval)
	for w.Now < from+repairTimeout {
		if w.checkFullyReplicated() && w.isRepaired(n) {
			return w.Now - from
		}
		w.RunFor(probeInterval)
	}
	return 0
}

// isRepaired tells whether a core has a seat; a store is whole where the groups are.
func (w *World) isRepaired(n *Node) bool {
	if n.Core == nil {
		return true
	}
	return slices.ContainsFunc(w.primary().Core.Vote().Voters, func(ref election.CoreRef) bool { return ref.ID == n.ID })
}
