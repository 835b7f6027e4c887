package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
)

const (
	// requestGrace is how long a request may be without an answer until it counts as
	// waiting: before that it may be about to be rejected.
	requestGrace = clock.Second
	// quotaWindow is how long ago what waits now was admitted at the earliest.
	quotaWindow = 20 * clock.Second
)

// quotaOf is the maximum that a tenant may have waiting by the configurations that may
// be in force now, or were while what waits was admitted.
func (v *Workload) quotaOf(tenant string) int {
	if tenant != defaultTenant {
		return liveQuota
	}
	limit := 0
	for _, number := range v.documentsInForceSince(v.world.Now - quotaWindow) {
		limit = max(limit, batchQuota(number))
	}
	return limit
}

// checkWaiting counts waiting work from outside: what callers have sent and have no answer
// to, less what the servers reported as started.
func (v *Workload) checkWaiting() {
	v.dropAnsweredRequests()
	waiting := map[string]int{}
	for _, req := range v.unansweredRequests {
		if v.isWaiting(req) && !v.isDeferred(req) {
			waiting[req.Tenant]++
		}
	}
	for _, b := range v.Batches {
		isOpen := b.AcceptedAt > 0 && b.EndedAt == 0 && !b.Forwarded
		if isOpen && b.itemsStarted < b.ItemCount {
			waiting[defaultTenant] += b.ItemCount - b.itemsStarted
		}
	}
	for _, tenant := range sorted(waiting) {
		v.countCheck(withinQuota)
		v.MaxWaiting[tenant] = max(v.MaxWaiting[tenant], waiting[tenant])
		if limit := v.quotaOf(tenant); limit > 0 && waiting[tenant]*10 > limit*11 {
			v.reportViolation(withinQuota, "%d of %s wait; its quota is %d: %s", waiting[tenant], tenant, limit, v.describeWaiting(tenant))
		}
	}
}

// dropAnsweredRequests keeps only requests that neither have an outcome nor started.
func (v *Workload) dropAnsweredRequests() {
	open := v.unansweredRequests[:0]
	for _, req := range v.unansweredRequests {
		if req.Outcome == "" && len(req.Starts) == 0 {
			open = append(open, req)
		}
	}
	v.unansweredRequests = open
}

func (v *Workload) isWaiting(req *Request) bool {
	return v.world.Now-req.SentAt > requestGrace
}

// isDeferred says whether a request came to a frozen edge, which has not received it.
func (v *Workload) isDeferred(req *Request) bool {
	n := v.world.Nodes[req.Edge]
	return n != nil && n.frozen && req.SentAt >= n.lastFaultAt
}

// describeWaiting says at which edges a tenant's requests wait, and how its quota is shared.
func (v *Workload) describeWaiting(tenant string) string {
	byEdge := map[string]int{}
	for _, req := range v.unansweredRequests {
		if req.Tenant == tenant && v.isWaiting(req) {
			byEdge[req.Edge]++
		}
	}
	shares := ""
	for _, n := range v.world.allNodes() {
		if scheduling := n.scheduling(); scheduling != nil {
			shares += fmt.Sprintf(" %s %v", n.Name, scheduling.Quota.Snapshot(v.world.Now))
		}
	}
	return fmt.Sprintf("live at %v; shares%s", byEdge, shares)
}
