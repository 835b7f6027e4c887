package simulator

import (
	"strings"
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
		{Seed: 1, Filter: "store", Tenants: true},
		{Seed: 2, Tenants: true},
		{Seed: 3, Filter: "zone", Tenants: true},
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
		waited := map[string]int{}
		for name, tokens := range v.MaxWaiting {
			if tenant, isLimited := strings.CutPrefix(name, limitedRoute); isLimited {
				waited[tenant] = tokens
			}
		}
		t.Logf("faults %q, seed %d: at most %v tokens waited of %d, %d checks", run.Filter, run.Seed, waited, tokenQuota, v.CheckCounts[withinTokenQuota])
	}
}
