package quota

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// accountOwner is the daemon that owns a tenant's account, and its address: the first
// live edge in the rendezvous order of the tenant's name. Both are "" where no edge is
// alive.
func (q *Quota) accountOwner(tenant string) (id, peer string) {
	members := q.members()
	id = endpoints.RendezvousOwner("account/"+tenant, members, membership.Edge)
	for _, member := range members {
		if member.ID == id {
			return id, member.Peer
		}
	}
	return "", ""
}

// handleLeaseRequest answers a client, once the account is ready: at once, or when those
// that have not reported were asked for what they have in use.
func (q *Quota) handleLeaseRequest(request LeaseRequest, now clock.Micros, callback func(LeaseResponse, clock.Micros)) {
	if !q.knowsShardMap() {
		callback(LeaseResponse{Epoch: request.Epoch, Granted: request.InUse}, now)
		return
	}
	a := q.accountFor(request, now)
	a.RecordUsage(request.DaemonID, request.InUse, now)
	q.stopWaitingForTheDead(a, now)
	respond := func(now clock.Micros) { callback(q.grant(a, request, now), now) }
	if a.IsReady(now) {
		respond(now)
		return
	}
	q.rebuild(request.Tenant, a, respond)
}

// accountFor is the account that a request is for. It is opened where this daemon has
// none, and anew where the client knows a higher epoch: another daemon owned the account
// meanwhile.
func (q *Quota) accountFor(request LeaseRequest, now clock.Micros) *Account {
	if a := q.accounts[request.Tenant]; a != nil && request.Epoch <= a.Epoch {
		return a
	}
	a := OpenAccount(request.Epoch+1, q.expectedReporters(), now)
	a.InjectedFaults = q.InjectedFaults
	a.IsStore = q.isStore
	q.accounts[request.Tenant] = a
	q.calls.Emit(machine.LogEvent{Event: AccountOpened{
		Tenant:     request.Tenant,
		Epoch:      a.Epoch,
		Client:     request.DaemonID,
		Unreported: a.Unreported(),
	}})
	// This daemon's own share is known at once.
	q.share(request.Tenant).Fence(a.Epoch)
	a.RecordUsage(q.self, q.inUse(request.Tenant), now)
	return a
}

// grant answers a request by the newest quota that any client has named.
func (q *Quota) grant(a *Account, request LeaseRequest, now clock.Micros) LeaseResponse {
	latest := q.quotas[request.Tenant]
	if request.ConfigurationVersion >= latest.ConfigurationVersion {
		latest = TenantQuota{Tenant: request.Tenant, Limit: request.Quota, ConfigurationVersion: request.ConfigurationVersion}
		q.quotas[request.Tenant] = latest
	}
	granted := a.Grant(request.DaemonID, request.InUse, request.Wanted, latest.Limit, now)
	q.logExcess(a, latest, now)
	return LeaseResponse{Epoch: a.Epoch, Granted: granted, Ready: a.IsReady(now)}
}

// logExcess logs, once until it ends, that daemons report more than the quota.
func (q *Quota) logExcess(a *Account, quota TenantQuota, now clock.Micros) {
	reported := a.Granted(now)
	counted := 0
	for _, count := range reported {
		counted += count
	}
	wasExceeded := a.exceeded
	a.exceeded = int64(counted) > quota.Limit
	if !a.exceeded || wasExceeded {
		return
	}
	q.calls.Emit(machine.LogEvent{Event: QuotaExceeded{
		Tenant:   quota.Tenant,
		Epoch:    a.Epoch,
		Quota:    quota.Limit,
		Counted:  counted,
		Reported: reported,
		Remedy:   "none where the quota was lowered; otherwise report it with the logs of the daemons named",
	}})
}

// forgetIdleAccounts forgets accounts that nobody has used for a while.
func (q *Quota) forgetIdleAccounts(now clock.Micros) {
	for tenant, a := range q.accounts {
		if a.IsIdle(now) && q.rebuilds[tenant] == nil {
			delete(q.accounts, tenant)
			delete(q.quotas, tenant)
		}
	}
}
