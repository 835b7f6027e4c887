package simulator

import (
	"flag"
	"slices"
	"strings"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/exclusive"
)

// actSeeds plays more runs than CI does.
var actSeeds = flag.Int64("act-seeds", 8, "simulated runs with acts on an outside system")

// Whatever happens to the node that acts, at any step, what the outside system receives keeps the rules,
// and acts are performed again in bounded time.
func TestActsKeepTheirRules(t *testing.T) {
	for seed := range *actSeeds {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			shape := Shapes[[]string{"three", "five"}[seed%2]]
			w := Run{Seed: 900 + seed, Shape: shape, Conditions: MildConditions(), Faults: 8, Filter: "acts: ", Acts: true}.Execute()
			if len(w.Workload.Violations) > 0 {
				t.Fatalf("seed %d: %s", 900+seed, w.Report(60))
			}
			if w.Outside.accepted < 5 {
				t.Fatalf("seed %d: only %d acts were done", 900+seed, w.Outside.accepted)
			}
		})
	}
}

// Each way of failing comes right after each step of an act: before the grant is durable, with the permit,
// before and during the call, before the report.
func TestActsAtEachStep(t *testing.T) {
	for i, fault := range actFaults(defaultShape.Shards) {
		if !strings.Contains(fault.Name, " as the ") {
			continue
		}
		t.Run(fault.Name, func(t *testing.T) {
			t.Parallel()
			w := Run{Seed: 800 + int64(i), Shape: defaultShape, Conditions: MildConditions(), Faults: 2, Filter: fault.Name, Acts: true}.Execute()
			if len(w.Workload.Violations) > 0 {
				t.Fatal(w.Report(60))
			}
			if !slices.ContainsFunc(w.Trace, func(line string) bool { return strings.Contains(line, "has its fault at step") }) {
				t.Fatal("no act came to the step")
			}
		})
	}
}

// All other faults of a fleet leave the rules intact, too.
func TestActsBesideOtherFaults(t *testing.T) {
	for seed := range max(2, *actSeeds/2) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			w := Run{Seed: 950 + seed, Shape: defaultShape, Conditions: MildConditions(), Faults: 6, Scenarios: true, Forwarding: true, Acts: true}.Execute()
			if len(w.Workload.Violations) > 0 {
				t.Fatalf("seed %d: %s", 950+seed, w.Report(60))
			}
		})
	}
}

// A check that can't fail proves nothing.
func TestPlantedFaultsOfActsAreCaught(t *testing.T) {
	const runs = 60
	for name, faults := range map[string]exclusive.InjectedFaults{
		"no holder lease":               {NoHolderLease: true, IgnorePresence: true},
		"content of the later proposer": {LatestProposedContent: true},
		"the former holder's fence":     {StaleFence: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(runs) {
				run := Run{Seed: 1000 + seed, Shape: defaultShape, Conditions: Conditions{SyncTime: 2 * clock.Millisecond}, Faults: 6, Filter: "acts: ", Acts: true}
				run.InjectBug = func(n *Node) {
					if n.Core != nil {
						n.Core.InjectFaults(controlplane.InjectedFaults{Acts: faults})
					}
				}
				if w := run.Execute(); w.Workload.HasViolated(actsExclusive) {
					t.Logf("seed %d: %s", 1000+seed, w.Workload.Violations[0])
					return
				}
			}
			t.Fatalf("not caught in %d runs", runs)
		})
	}
}
