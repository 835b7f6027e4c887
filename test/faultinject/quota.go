package faultinject

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tuliprudder/test/localfleet"
	"tuliprudder/test/verify"
)

// auditInterval is the time between two audits of the quotas.
const auditInterval = 150 * time.Millisecond

// quotaStatus is what a daemon reports of its shares of the tenants' quotas, and of the quotas
// that it owns.
type quotaStatus struct {
	Shares map[string]struct {
		Waiting int64 `json:"held"`
	} `json:"shares"`
	Accounts map[string]struct {
		Quota int64 `json:"allowance"`
	} `json:"accounts"`
}

// startQuotaAudit adds up, until it is finished, what waits of each tenant at all daemons. The
// returned function ends it and returns the verdict.
func startQuotaAudit(ctx context.Context, fleet *localfleet.Fleet) (finish func() verify.Guarantee) {
	ctx, cancel := context.WithCancel(ctx)
	guarantee := verify.Guarantee{Name: "a tenant's waiting work stays within its quota, by about a tenth"}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			auditQuotas(fleet, &guarantee)
			select {
			case <-time.After(auditInterval):
			case <-ctx.Done():
			}
		}
	}()
	return func() verify.Guarantee {
		cancel()
		<-done
		return guarantee
	}
}

// auditQuotas compares what waits of each tenant with its quota. A daemon that can't be reached
// is left out.
func auditQuotas(fleet *localfleet.Fleet, guarantee *verify.Guarantee) {
	waiting, quotas := map[string]int64{}, map[string]int64{}
	for _, name := range append(fleet.Names("edge"), fleet.Names("store")...) {
		var got quotaStatus
		if fleet.Call(name, http.MethodGet, "/v1/operator/purse", nil, &got) != nil {
			continue
		}
		for tenant, share := range got.Shares {
			waiting[tenant] += share.Waiting
		}
		for tenant, account := range got.Accounts {
			quotas[tenant] = max(quotas[tenant], account.Quota)
		}
	}
	for tenant, quota := range quotas {
		if quota == 0 {
			continue // none
		}
		guarantee.Checked++
		if waiting[tenant]*10 > quota*11 {
			guarantee.Violations = append(guarantee.Violations, fmt.Sprintf("%d of %s wait; its quota is %d", waiting[tenant], tenant, quota))
		}
	}
}
