package simulator

import (
	"testing"

	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/machine"
)

// TestTenantsBatchesAreTheirOwn has tenants' keys removed and added while their batches run, and others
// call for them, while daemons restart, freeze, are cut off and replaced. (Issue 40.)
func TestTenantsBatchesAreTheirOwn(t *testing.T) {
	for _, run := range []Run{
		{Seed: 1},
		{Seed: 2, Filter: "store"},
		{Seed: 3, Filter: "edge"},
		{Seed: 4, Filter: "all stores at once"},
	} {
		run.Shape = defaultShape
		run.Conditions = MildConditions()
		run.Faults = 4
		run.Forwarding = true
		run.Tenants = true
		w := run.Execute()
		v := w.Workload
		if len(v.Violations) > 0 {
			t.Errorf("faults %q, seed %d: %s", run.Filter, run.Seed, w.Report(20))
		}
		t.Logf("faults %q, seed %d: %d batches, %d checks, %d configurations", run.Filter, run.Seed, len(v.Batches), v.CheckCounts[tenantsApart], len(v.ConfigurationPuts))
	}
}

// The checks of tenants find an item that runs under no tenant.
func TestAnItemWithoutItsTenantIsFound(t *testing.T) {
	run := Run{Seed: 1, Shape: defaultShape, Conditions: MildConditions(), Forwarding: true, Tenants: true}
	run.OnEffect = func(_ *Node, effect machine.Effect) {
		if work, ok := effect.(machine.Execute); ok {
			if attempt, ok := work.Task.(execution.Attempt); ok && attempt.ForwardedItem != nil {
				attempt.ForwardedItem.Tenant = ""
			}
		}
	}
	if w := run.Execute(); !w.Workload.HasViolated(tenantsApart) {
		t.Error("nothing was found")
	}
}
