package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
)

// quotas are the most that a tenant may have waiting by the configurations that may
// be in force now, or were while what waits was taken in.
func (v *Workload) quotaOf(tenant string) int {
	limit := liveQuota
	if tenant == defaultTenant {
		limit = 0
		for _, number := range v.documentsInForceSince(v.world.Now - 20*clock.Second) {
			limit = max(limit, batchQuota(number))
		}
	}
	return limit
}

// checkWaiting is the outside count of waiting work: what callers have handed in
// and have not been told is over, less what the servers' logs show started. An
// order counts once its caller has had no word for a second: before that it may
// be about to be turned away.
//
//revive:disable-next-line:cyclomatic still to be split (issue 18)
func (v *Workload) checkWaiting() {
	waiting := map[string]int{}
	open := v.unansweredRequests[:0]
	for _, req := range v.unansweredRequests {
		if req.Outcome == "" && len(req.Starts) == 0 {
			open = append(open, req)
			// What came to a frozen edge is in nobody's hands yet.
			n := v.world.Nodes[req.Edge]
			if notReceived := n != nil && n.frozen && req.SentAt >= n.lastFaultAt; !notReceived && v.world.Now-req.SentAt > clock.Second {
				waiting[req.Tenant]++
			}
		}
	}
	v.unansweredRequests = open
	describe := func(tenant string) string {
		at := map[string]int{}
		for _, req := range open {
			if req.Tenant == tenant && v.world.Now-req.SentAt > clock.Second {
				at[req.Edge]++
			}
		}
		shares := ""
		for _, name := range v.world.nodeNames {
			if scheduling := v.world.Nodes[name].scheduling(); scheduling != nil {
				shares += fmt.Sprintf(" %s %v", name, scheduling.Quota.Snapshot(v.world.Now))
			}
		}
		return fmt.Sprintf("live at %v; shares%s", at, shares)
	}
	for _, b := range v.Batches {
		if !b.Forwarded && b.AcceptedAt > 0 && b.EndedAt == 0 && b.itemsStarted < b.ItemCount {
			waiting[defaultTenant] += b.ItemCount - b.itemsStarted
		}
	}
	for _, tenant := range sorted(waiting) {
		v.countCheck(withinQuota)
		v.MaxWaiting[tenant] = max(v.MaxWaiting[tenant], waiting[tenant])
		if limit := v.quotaOf(tenant); limit > 0 && waiting[tenant]*10 > limit*11 {
			v.reportViolation(withinQuota, "%d of %s wait; its allowance is %d: %s", waiting[tenant], tenant, limit, describe(tenant))
		}
	}
}
