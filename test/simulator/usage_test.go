package simulator

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/usage"
)

// usageRun is a run whose callers forward requests while nothing fails, and then beside faults.
func usageRun(seed int64, faults int) Run {
	return Run{Seed: seed, Shape: defaultShape, Conditions: MildConditions(), Calm: 25 * clock.Second, Faults: faults, Forwarding: true, Acts: true}
}

// Reports of use are exact while nothing fails, never have a request twice, and are made whatever happens.
func TestReportsOfUse(t *testing.T) {
	for seed := range max(4, *actSeeds/2) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			w := usageRun(1100+seed, 5).Execute()
			if len(w.Workload.Violations) > 0 {
				t.Fatalf("seed %d: %s", 1100+seed, w.Report(60))
			}
			t.Logf("%d reports arrived, %d windows", w.Outside.usage.checked, len(w.Outside.usage.began))
			if w.Outside.usage.checked < 5 {
				t.Fatalf("seed %d: only %d reports arrived", 1100+seed, w.Outside.usage.checked)
			}
		})
	}
}

// A check that can't fail proves nothing.
func TestPlantedFaultsOfUsageAreCaught(t *testing.T) {
	for name, faults := range map[string]usage.InjectedFaults{
		"a report is added to the one before":     {AddRepeatedReports: true},
		"counts go by the time of their arrival":  {CountByArrival: true},
		"a window is proposed before all told it": {ProposeWithoutWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := usageRun(1200, 0)
			run.InjectBug = func(n *Node) {
				if n.Core != nil {
					n.Core.InjectFaults(controlplane.InjectedFaults{Usage: faults})
				}
			}
			if w := run.Execute(); !w.Workload.HasViolated(usageReportsExact) {
				t.Fatal("not caught")
			}
		})
	}
}
