package quota

import "tuliprudder/internal/clock"

// usageRequestTimeout is how long a new owner waits for a daemon's report. It is a part
// of leaseRequestTimeout, because a client waits while the reports come in.
const usageRequestTimeout = leaseRequestTimeout / 3

// accountRebuild is one round of usage requests for an account.
type accountRebuild struct {
	outstanding int                      // responses still to come
	callbacks   []func(now clock.Micros) // called once all have come or timed out
}

// rebuild asks the daemons that have not reported what they have in use, and calls back
// when all have answered or timed out. There is one round at a time for each tenant;
// requests that come meanwhile wait for it.
func (q *Quota) rebuild(tenant string, a *Account, callback func(now clock.Micros)) {
	if rebuild := q.rebuilds[tenant]; rebuild != nil {
		rebuild.callbacks = append(rebuild.callbacks, callback)
		return
	}
	peers := q.peers()
	unreported := a.Unreported()
	rebuild := &accountRebuild{outstanding: len(unreported), callbacks: []func(clock.Micros){callback}}
	q.rebuilds[tenant] = rebuild
	for _, id := range unreported {
		request := UsageRequest{Tenant: tenant, Epoch: a.Epoch}
		q.calls.Request(peers[id], request, usageRequestTimeout, func(body any, err error, now clock.Micros) {
			a.applyUsageResponse(id, body, err, now)
			q.finishResponse(tenant, rebuild, now)
		})
	}
}

// applyUsageResponse takes a daemon's report. A daemon that knows a higher epoch makes
// the account go above it.
func (a *Account) applyUsageResponse(daemonID string, body any, err error, now clock.Micros) {
	response, ok := body.(UsageResponse)
	switch {
	case err != nil || !ok:
	case response.Stale:
		a.Epoch = max(a.Epoch, response.Epoch+1)
	default:
		a.RecordUsage(daemonID, response.InUse, now)
	}
}

// finishResponse counts a response or time-out, and ends the round with the last.
func (q *Quota) finishResponse(tenant string, rebuild *accountRebuild, now clock.Micros) {
	rebuild.outstanding--
	if rebuild.outstanding > 0 {
		return
	}
	delete(q.rebuilds, tenant)
	for _, callback := range rebuild.callbacks {
		callback(now)
	}
}
