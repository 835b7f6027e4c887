package simulator

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// Live requests go on while all cores are lost, also after two of three stores have been replaced
// and no core was primary for long since. (Found by seed 44 with the faults of cores,
// docs/incidents/issue-29.md: the replaced stores are voters for updates until a primary has served
// for 10 s, and the stores that are left are no majority without the cores.)
func TestLiveRequestsGoOnWhileReplacedStoresHaveVotes(t *testing.T) {
	const (
		coreDownTime = 200 * clock.Millisecond
		primaryTime  = 4 * clock.Second // less than an eviction takes
	)
	w := NewWorld(1, defaultShape, Conditions{SyncTime: 2 * clock.Millisecond})
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
	if len(w.Workload.Violations) > 0 {
		t.Error(w.Report(20))
	}
}
