package simulator

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/membership"
)

// Live requests go on while all cores are lost, also after two of three stores have been replaced
// and no core was primary for long since. (Found by seed 44 with the faults of cores,
// docs/incidents/issue-29.md: the replaced stores are voters for updates until a primary has served
// for 10 s, and the stores that are left are no majority without the cores.)
func TestLiveRequestsGoOnWhileReplacedStoresHaveVotes(t *testing.T) {
	w := loseReplacedStoresAndCores(nil)
	if len(w.Workload.Violations) > 0 {
		t.Error(w.Report(20))
	}
}

// The same is found broken where lost stores keep their votes.
func TestStoresThatKeepTheirVotesAreCaught(t *testing.T) {
	w := loseReplacedStoresAndCores(func(n *Node) {
		if n.Core != nil {
			n.Core.InjectFaults(controlplane.InjectedFaults{SkipStoreEviction: true})
		}
	})
	if !w.Workload.HasViolated(serviceRestored) {
		t.Error("the planted fault was not caught")
	}
}

// loseReplacedStoresAndCores replaces two of three stores, restarts the primary core so often that
// none serves for long, and then loses all cores.
func loseReplacedStoresAndCores(injectBug func(n *Node)) *World {
	const (
		coreDownTime = 200 * clock.Millisecond
		primaryTime  = 4 * clock.Second // less than an eviction takes
	)
	w := NewWorld(1, defaultShape, Conditions{SyncTime: 2 * clock.Millisecond})
	w.InjectBug = injectBug
	for _, name := range w.nodeNames {
		if injectBug != nil {
			injectBug(w.Nodes[name])
		}
	}
	w.RunUntil(10*clock.Second, w.allEdgesReady)
	w.Workload.Start()
	for _, name := range w.Names(membership.Store)[:2] {
		boot := replaceDaemon(w, w.Nodes[name], defaultShape.Shards)
		w.RunFor(clock.Second)
		boot()
		w.RunUntil(repairTimeout, w.FullyReplicated)
	}
	for range 5 {
		boot := crash(w.primary(), defaultShape.Shards)
		w.RunFor(coreDownTime)
		boot()
		w.RunFor(primaryTime)
	}
	loseAllCores(w, defaultShape.Shards)()
	return w
}
