package simulator

import (
	"testing"
)

// TestAcceptedTokensStayWithinTheQuota presses against a route's quota of tokens while daemons
// restart, freeze, are cut off and replaced, and while shards move. (Issue 29.)
func TestAcceptedTokensStayWithinTheQuota(t *testing.T) {
	for _, run := range []Run{
		{Seed: 4, Filter: "account's owner"},
		{Seed: 2, Filter: "zone"},
		{Seed: 3, Filter: "zone"},
		{Seed: 1, Filter: "all stores at once"},
		{Seed: 1, Filter: "store"},
		{Seed: 2},
	} {
		run.Shape = defaultShape
		run.Conditions = MildConditions()
		run.Faults = 6
		run.TokenQuota = true
		w := run.Execute()
		v := w.Workload
		if len(v.Violations) > 0 {
			t.Errorf("faults %q, seed %d: %s", run.Filter, run.Seed, w.Report(20))
		}
		t.Logf("faults %q, seed %d: at most %d tokens waited of %d, %d checks", run.Filter, run.Seed, v.MaxWaiting[limitedRoute], tokenQuota, v.CheckCounts[withinTokenQuota])
	}
}
