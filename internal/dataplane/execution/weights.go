package execution

// weights are sums by tenant; a tenant whose sum is 0 has no entry.
type weights map[string]int

func (w weights) add(tenant string, weight int) { w[tenant] += weight }

func (w weights) subtract(tenant string, weight int) {
	w[tenant] -= weight
	if w[tenant] <= 0 {
		delete(w, tenant)
	}
}

// WaitingWeight is the weight of a tenant's waiting items, here or in a server's queue. Opaque
// items count until a server has finished them.
func (r *Runner) WaitingWeight(tenant string) int {
	return r.scheduler.QueuedWeight(tenant) + r.assignedWeight[tenant] + r.deferredWeight[tenant]
}
