package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
)

// This file is a route of batches with a quota of tokens (DESIGN §11.3, §12.5): callers who press
// against the quota all the time, and the check that what was accepted stays within it.

const (
	limitedRoute  = "limited"
	tokenQuota    = 600 // of limitedRoute
	tokensPerItem = 5   // of a batch on limitedRoute
)

// withinTokenQuota: batches that were accepted and wait within the quota of tokens.
const withinTokenQuota Guarantee = "accepted tokens stay within the route's quota"

// limitedRouteDocument is the route whose batches have a quota of tokens.
func limitedRouteDocument(kind string) document {
	route := forwardedRouteDocument(limitedRoute, kind)
	route["forward"].(document)["most_tokens"] = tokenQuota
	return route
}

// SubmitLimitedBatch submits a batch of requests that count against the quota of tokens.
func (v *Workload) SubmitLimitedBatch(items, attempts int) *Batch {
	v.lastNumber++
	key := fmt.Sprintf("limited-%d", v.lastNumber)
	b := &Batch{ID: key, Key: key, ItemCount: items, Forwarded: true, Limited: true, Tenant: v.tenantOf(v.lastNumber)}
	v.ForwardedRequests += items
	return v.submit(b, attempts)
}

// runLimitedBatchCallers has callers press against the quota of tokens until Calling is false; where there
// are tenants, each against its own.
func (v *Workload) runLimitedBatchCallers() {
	w := v.world
	var callers func()
	callers = func() {
		if !v.Calling {
			return
		}
		v.SubmitLimitedBatch(8+w.Random.Intn(17), 6)
		interval := w.randomBetween(20, 80) * clock.Millisecond
		if w.Tenants {
			interval /= clock.Micros(len(batchTenants))
		}
		w.After(interval, callers)
	}
	callers()
}

// pendingTokens is what was accepted of a tenant on limitedRoute and waits: items that no server has
// completed, that servers have not failed for good, and whose batch was not ended.
func (v *Workload) pendingTokens(tenant string) int {
	sum := 0
	for _, b := range v.Batches {
		if !b.Limited || b.Tenant != tenant || b.AcceptedAt == 0 || b.endRequested || len(b.completedAt) == b.ItemCount {
			continue
		}
		for item := range b.ItemCount {
			if b.completedAt[item] == 0 && b.failuresByItem[item] < forwardAttempts {
				sum += tokensPerItem
			}
		}
	}
	return sum
}

// checkTokenQuota is called when a batch on limitedRoute is acknowledged to its caller.
func (v *Workload) checkTokenQuota(b *Batch) {
	v.countCheck(withinTokenQuota)
	pending := v.pendingTokens(b.Tenant)
	v.MaxWaiting[limitedRoute+b.Tenant] = max(v.MaxWaiting[limitedRoute+b.Tenant], pending)
	if pending > tokenQuota {
		v.reportViolation(withinTokenQuota, "with batch %s %d tokens of tenant %q wait; the quota is %d", b.ID, pending, b.Tenant, tokenQuota)
	}
}
