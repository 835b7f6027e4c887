package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// operatorScenarios are operators who choose the same number, changes whose responses are
// lost, and both while the primary is lost.
func operatorScenarios(shards int) []Fault {
	const duration = 2 * clock.Second
	during := func(name string, lose func(w *World) func(), conflict func(w *World)) Fault {
		return Fault{Name: familyOperators + name, Duration: duration, Inject: func(w *World) func() {
			w.After(w.randomBetween(0, 300*clock.Millisecond), func() { conflict(w) })
			w.RunFor(w.randomBetween(0, 400*clock.Millisecond))
			return lose(w)
		}}
	}
	nothing := func(_ *World) func() { return nil }
	killed := func(w *World) func() { return crash(w.primary(), shards) }
	isolated := func(w *World) func() { return isolate(w, w.primary()) }
	frozen := func(w *World) func() { return freeze(w.primary()) }
	return []Fault{
		during("two under one number", nothing, putSameVersion(2)),
		during("two under one number as the primary dies", killed, putSameVersion(2)),
		during("two under one number as the primary is cut off", isolated, putSameVersion(2)),
		during("two under one number as the primary freezes", frozen, putSameVersion(2)),
		during("eight at once", nothing, putSameVersion(8)),
		during("eight at once as the primary dies", killed, putSameVersion(8)),
		during("answers lost, sent again after newer versions", nothing, resendAfterLostResponse),
		during("answers lost as the primary dies, sent again", killed, resendAfterLostResponse),
		during("answers lost as the primary freezes, sent again", frozen, resendAfterLostResponse),
	}
}

// putSameVersion has operators send different documents under one number at once, each at a
// core of its own choice, and each again until its outcome is clear.
func putSameVersion(count int) func(w *World) {
	return func(w *World) {
		v := w.Workload
		v.ReadLatestConfiguration(w.randomNode(membership.Core), func(r *ConfigurationRead) {
			latest := r.Version
			if r.Failed {
				latest = w.randomNode(membership.Edge).configurationVersion
			}
			for i := 0; i < count; i++ {
				change := v.newConfigurationChange(latest+1, latest)
				w.After(w.randomBetween(0, 100*clock.Millisecond), func() {
					v.SendConfiguration(w.randomNode(membership.Core), change, w.Random.Intn(3) == 0, func(*ConfigurationPut) { v.SendUntilResolved(change, 40) })
				})
			}
		})
	}
}

// resendAfterLostResponse loses the response to a change and sends it again at another core:
// at once, and again after newer versions came.
func resendAfterLostResponse(w *World) {
	v := w.Workload
	v.ReadLatestConfiguration(w.randomNode(membership.Core), func(r *ConfigurationRead) {
		if r.Failed {
			return
		}
		change := v.newConfigurationChange(r.Version+1, r.Version)
		v.SendConfiguration(w.randomNode(membership.Core), change, true, func(*ConfigurationPut) {
			v.SendUntilResolved(change, 40)
			for i := 0; i < 3; i++ {
				w.After(w.randomBetween(500, 1500)*clock.Millisecond, func() { v.PutConfiguration(false) })
			}
			for _, after := range []clock.Micros{3 * clock.Second, 6 * clock.Second} {
				w.After(after, func() { v.SendConfiguration(w.randomNode(membership.Core), change, false, nil) })
			}
		})
	})
}

// manyChangesScenarios put hundreds of configurations while a core is unavailable, and have the
// cores restart then: the one that was unavailable has to catch up, and may lead.
func manyChangesScenarios(shape Shape) []Fault {
	shards := shape.Shards
	unavailable := func(name string, losesDisk bool, disrupt func(w *World, n *Node) func()) Fault {
		coresLost := 0
		if losesDisk {
			coresLost = 1
		}
		return Fault{Name: familyChanges + name, Duration: 500 * clock.Millisecond, ReducesRedundancy: losesDisk, CoresLost: coresLost, Inject: func(w *World) func() {
			n := w.randomNode(membership.Core)
			w.putConfigurations(20 + w.Random.Intn(40))
			restore := disrupt(w, n)
			w.putConfigurations(40 + w.Random.Intn(160))
			restore()
			if w.Random.Intn(2) == 0 {
				w.RunUntil(repairTimeout, w.checkFullyReplicated)
			}
			return w.restartCores(n, shards)
		}}
	}
	return []Fault{
		unavailable("a core is killed meanwhile", false, func(_ *World, n *Node) func() { return crash(n, shards) }),
		unavailable("a core is frozen meanwhile", false, func(_ *World, n *Node) func() { return freeze(n) }),
		unavailable("a core is cut off meanwhile", false, func(w *World, n *Node) func() { return isolate(w, n) }),
		unavailable("a core is emptied meanwhile", true, func(_ *World, n *Node) func() { return wipe(n, shards) }),
		unavailable("a core is replaced meanwhile", true, func(w *World, n *Node) func() { return replaceDaemon(w, n, shards) }),
	}
}

// putConfigurations has an operator put configurations one after the other, as fast as they
// are confirmed.
func (w *World) putConfigurations(count int) {
	v, confirmed := w.Workload, 0
	latest := v.world.randomNode(membership.Edge).configurationVersion
	for failures := 0; confirmed < count && failures < 40; {
		at := w.randomNode(membership.Core)
		change := v.newConfigurationChange(latest+1, latest)
		finished := false
		v.SendConfiguration(at, change, false, func(p *ConfigurationPut) {
			finished = true
			if p != nil && p.Version > 0 {
				latest = p.Version
				confirmed++
				return
			}
			failures++
		})
		for !finished {
			w.RunFor(10 * clock.Millisecond)
		}
		if !change.resolved || !change.confirmed {
			v.SendUntilResolved(change, 10)
			v.ReadLatestConfiguration(w.randomNode(membership.Core), func(r *ConfigurationRead) { latest = max(latest, r.Version) })
			w.RunFor(300 * clock.Millisecond)
		}
	}
	w.Tracef("%d configurations put", confirmed)
}

// restartCores restarts the cores: all at once, one after the other, or all but the
// one that was unavailable, so that it may lead.
func (w *World) restartCores(unavailable *Node, shards int) (boot func()) {
	var undos []func()
	switch w.Random.Intn(3) {
	case 0:
		return crashAll(w.nodes(membership.Core), shards)
	case 1:
		for _, n := range w.nodes(membership.Core) {
			boot := crash(n, shards)
			w.RunFor(300 * clock.Millisecond)
			boot()
			w.RunFor(w.randomBetween(100, 1500) * clock.Millisecond)
		}
	default:
		if primary := w.primary(); primary != unavailable {
			undos = append(undos, crash(primary, shards))
			w.RunFor(w.randomBetween(1000, 4000) * clock.Millisecond)
		}
	}
	return func() { undoAll(undos) }
}
