package simulator

import (
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
)

// families are the five kinds of fault that are brought about on purpose.
var families = []string{familyPartition, familyOperators, familySecondLoss, familyChanges, familyResponses}

// A run of each family, with forwarded requests, keeps every guarantee.
func TestFamilies(t *testing.T) {
	for i, family := range families {
		t.Run(strings.TrimSuffix(family, ": "), func(t *testing.T) {
			t.Parallel()
			w := Run{Seed: 300 + int64(i), Shape: defaultShape, Conditions: MildConditions(), Faults: 2, Filter: family, Forwarding: true, Scenarios: true}.Execute()
			if len(w.Workload.Violations) > 0 {
				t.Fatal(w.Report(*traceLines))
			}
			if w.Workload.FaultsInjected != 2 || w.Workload.ForwardedRequests == 0 || w.Workload.CheckCounts[answeredByDeadline] == 0 {
				t.Errorf("%d faults, %d requests forwarded, %d checked", w.Workload.FaultsInjected, w.Workload.ForwardedRequests, w.Workload.CheckCounts[answeredByDeadline])
			}
		})
	}
}

// A run on each shape of fleet, with the recovery measured before the faults.
func TestShapes(t *testing.T) {
	for name, shape := range Shapes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := Run{Seed: 400, Shape: shape, Conditions: MildConditions(), Faults: 2, Forwarding: true, Scenarios: true, MeasureRecovery: true}.Execute()
			if len(w.Workload.Violations) > 0 {
				t.Fatal(w.Report(*traceLines))
			}
			measured := w.Workload.Recovery
			if shape.Cores > 1 && (measured.FailoverAfterKill == 0 || measured.FailoverAfterIsolation == 0 || measured.CoreRepair == 0 || measured.StoreRepair == 0) {
				t.Errorf("not all was measured: %+v", measured)
			}
			t.Logf("%+v", measured)
		})
	}
}

// With a tolerance of two, two disks are lost at once and no data is.
func TestTwoDisksAtOnce(t *testing.T) {
	w := Run{Seed: 500, Shape: Shapes["five"], Conditions: MildConditions(), Faults: 4, Filter: "at once", Forwarding: true, Scenarios: true}.Execute()
	if len(w.Workload.Violations) > 0 {
		t.Fatal(w.Report(*traceLines))
	}
}

// A filter that no fault's name contains is rejected before the run.
func TestUnknownFaultsAreRejected(t *testing.T) {
	run := Run{Shape: defaultShape, Filter: "no such failure", Scenarios: true}
	if run.Validate() == nil {
		t.Error("a run with a filter for no fault is accepted")
	}
	for _, family := range families {
		if run.Filter = family; run.Validate() != nil {
			t.Errorf("no fault of the family %q: %v", family, run.Validate())
		}
	}
}

// Every scenario names its family, and no two have one name.
func TestScenarioNames(t *testing.T) {
	seen := map[string]bool{}
	for _, fault := range Scenarios(Shapes["five"]) {
		if seen[fault.Name] || !slices.ContainsFunc(families, func(family string) bool { return strings.HasPrefix(fault.Name, family) }) {
			t.Errorf("scenario %q: its name is taken, or names no family", fault.Name)
		}
		seen[fault.Name] = true
		if fault.StoresLost+fault.CoresLost > 0 && !fault.ReducesRedundancy {
			t.Errorf("scenario %q takes disks and does not say so", fault.Name)
		}
	}
}

// Faults planted in what the scenarios are about are caught.
func TestPlantedFaultsOfScenarios(t *testing.T) {
	bugs := map[string]struct {
		injectBug func(n *Node)
		filter    string
		size      Shape
		from      int64 // seed to begin with: one that was seen to catch it
		violates  []Guarantee
	}{
		"a snapshot lacks what recognises repeated requests": {onCore(func(n *Node) { n.Core.InjectFaults(controlplane.InjectedFaults{SkipRequestTable: true}) }), familyOperators, defaultShape, 1, []Guarantee{configurationInForce, resendAcknowledged}},
		"a batch is confirmed before its last copy":          {onStore(func(n *Node) { n.Store.Groups().InjectedFaults.SkipLastReplica = true }), "slot but the slowest", Shapes["five"], 1, []Guarantee{batchKept, resultsExactlyOnce, readerResumes}},
		"a configuration is confirmed before the last copy":  {onCore(func(n *Node) { n.Core.Groups().InjectedFaults.SkipLastReplica = true }), "control state but the slowest", Shapes["five"], 1, []Guarantee{configurationInForce, resendAcknowledged}},
		"a request that is passed on runs again elsewhere":   {onEdge(func(n *Node) { n.edge.Proxy.InjectedFaults.RetryUnsafely = true }), familyResponses, defaultShape, 1, []Guarantee{runsAtMostOnce}},
		"cores keep changes in memory only":                  {onCore(func(n *Node) { n.disk.skipsSync = true }), familyChanges, defaultShape, 6, []Guarantee{configurationInForce, resendAcknowledged}},
	}
	for name, p := range bugs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := p.from; seed < p.from+25; seed++ {
				w := Run{Seed: seed, Shape: p.size, Conditions: MildConditions(), Faults: 4, Filter: p.filter, Forwarding: true, Scenarios: true, InjectBug: p.injectBug}.Execute()
				if slices.ContainsFunc(p.violates, w.Workload.HasViolated) {
					t.Logf("seed %d: %s", seed, w.Workload.Violations[0].String())
					return
				}
			}
			t.Fatal("the planted fault was not caught on any of 25 seeds")
		})
	}
}

func onCore(injectBug func(n *Node)) func(n *Node) {
	return func(n *Node) {
		if n.Core != nil {
			injectBug(n)
		}
	}
}

// Losses are counted against the tolerance: whoever is down, or was and has not been
// seen whole since, counts as lost.
func TestLossesAreCounted(t *testing.T) {
	shape := Shape{Zones: 3, Cores: 3, Stores: 4, Edges: 2, Shards: 4, Tolerance: 2}
	w := NewWorld(9, shape, Conditions{SyncTime: 2 * clock.Millisecond})
	if !w.RunUntil(15*clock.Second, w.checkFullyReplicated) {
		t.Fatalf("not settled: %s", w.Describe())
	}
	w.RunFor(clock.Second)
	w.checkFullyReplicated()
	if !w.canLose("refuge", 2) || w.canLose("refuge", 3) {
		t.Fatalf("%d stores count as lost in a whole fleet", w.countLost("refuge"))
	}
	boot := wipe(w.Nodes["store-1"], shape.Shards)
	if !w.canLose("refuge", 1) || w.canLose("refuge", 2) {
		t.Fatalf("%d stores count as lost, with one down", w.countLost("refuge"))
	}
	boot()
	if w.canLose("refuge", 2) {
		t.Fatal("an empty store counts before it has its copies")
	}
	if !w.RunUntil(repairTimeout, w.checkFullyReplicated) {
		t.Fatalf("not settled: %s", w.Describe())
	}
	w.RunFor(clock.Millisecond)
	if w.checkFullyReplicated(); !w.canLose("refuge", 2) {
		t.Fatalf("%d stores count as lost after the repair", w.countLost("refuge"))
	}
}

// A shape that can't be is refused.
func TestShapeCheck(t *testing.T) {
	for name, shape := range Shapes {
		if err := shape.Validate(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, shape := range map[string]Shape{
		"zones that hold fewer cores": {Zones: 3, Cores: 3, Stores: 3, CoreZones: []int{1, 1}},
		"more zones than there are":   {Zones: 2, Cores: 3, Stores: 3, CoreZones: []int{1, 1, 1}},
		"no store left":               {Zones: 3, Cores: 5, Stores: 2, Tolerance: 2},
	} {
		if shape.Validate() == nil {
			t.Errorf("%s: taken as a shape", name)
		}
	}
}

// The same seed lives the same day with all that the scenarios add.
func TestSameSeedIsSameRunOfScenarios(t *testing.T) {
	run := Run{Seed: 6, Shape: Shapes["five"], Conditions: MildConditions(), Faults: 3, Forwarding: true, Scenarios: true, MeasureRecovery: true}
	one, two := run.Execute(), run.Execute()
	if one.Steps != two.Steps || one.Messages != two.Messages || strings.Join(one.Trace, "\n") != strings.Join(two.Trace, "\n") {
		t.Fatalf("%d and %d steps, %d and %d messages", one.Steps, two.Steps, one.Messages, two.Messages)
	}
	for _, guarantee := range []Guarantee{answeredByDeadline, runsAtMostOnce, configurationInForce, resendAcknowledged} {
		if one.Workload.CheckCounts[guarantee] == 0 {
			t.Errorf("not put to the test: %s", guarantee)
		}
	}
}
