package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/usage"
)

// usageDelay is when a window's report is due after its end.
const usageDelay = 10 * clock.Second

// usageReference is what began at the edges, as the simulator itself counts it, by window and tenant.
type usageReference struct {
	world   *World
	began   map[uint64]map[string]int64
	checked int // reports that arrived
}

func newUsageReference(w *World) *usageReference {
	return &usageReference{world: w, began: map[uint64]map[string]int64{}}
}

// observe has what begins at an edge counted here beside the edge's own count. Requests get tenants in
// turn: the routes of the simulated configuration ask for no key.
func (u *usageReference) observe(n *Node) {
	next := 0
	count := n.edge.Proxy.OnExecutionStarted
	n.edge.Proxy.OnExecutionStarted = func(_ string, now clock.Micros) {
		next++
		tenant := fmt.Sprint("tenant-", next%3)
		window := uint64(now / actInterval)
		if u.began[window] == nil {
			u.began[window] = map[string]int64{}
		}
		u.began[window][tenant]++
		count(tenant, now)
	}
}

// check holds a report that arrives against what began: it never has more, and while nothing has failed
// yet it has all.
func (u *usageReference) check(call outsideCall) {
	v := u.world.Workload
	v.countCheck(usageReportsExact)
	u.checked++
	content, err := usage.DecodeContent(call.permit.Content)
	if err != nil || content.Window != call.permit.Number {
		v.reportViolation(usageReportsExact, "the report of window %d is %q", call.permit.Number, call.permit.Content)
		return
	}
	began := u.began[content.Window]
	for tenant, count := range content.Counts {
		if count > began[tenant] {
			v.reportViolation(usageReportsExact, "window %d has %d of %s, of which %d began", content.Window, count, tenant, began[tenant])
		}
	}
	for tenant, count := range began {
		if content.Counts[tenant] < count && v.FaultsInjected == 0 {
			v.reportViolation(usageReportsExact, "window %d has %d of %s, of which %d began, and nothing failed", content.Window, content.Counts[tenant], tenant, count)
		}
	}
}

// checkDecided checks, when nothing has failed for a while, that the windows that were due are decided.
func (u *usageReference) checkDecided() {
	w := u.world
	due := uint64((w.Now-usageDelay)/actInterval) - 1
	if last := w.primary().Core.State().Acts.Record(usage.Subject).LastNumber; last < due {
		w.Workload.reportViolation(usageReportsExact, "window %d is due and not decided, the last is %d", due, last)
	}
}
