package quota

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/membership"
)

// rebuildRound is one asking of those who have not told what they hold.
type rebuildRound struct {
	remaining int
	callbacks []func(now clock.Micros)
}

// accountOwner is the first live edge in the tenant's agreed order.
func (q *Quota) accountOwner(tenant string) (id, peer string) {
	members := q.Members()
	id = endpoints.RendezvousOwner("account/"+tenant, members, membership.Edge)
	for _, member := range members {
		if member.ID == id {
			return id, member.Peer
		}
	}
	return "", ""
}

// HandleLeaseRequest is the holder's part: it answers once it has asked those who have not
// told what they hold, or they had time enough.
func (q *Quota) HandleLeaseRequest(request LeaseRequest, now clock.Micros, callback func(LeaseResponse, clock.Micros)) {
	a := q.accounts[request.Tenant]
	if !q.knowsShardMap() {
		callback(LeaseResponse{Epoch: request.Epoch, Granted: request.InUse}, now)
		return
	}
	if a == nil || request.Epoch > a.Epoch {
		a = OpenAccount(request.Epoch+1, q.expectedReporters(), now)
		a.SkipRebuild, a.IsStore = q.SkipRebuild, q.isStore
		q.accounts[request.Tenant] = a
		// This daemon's own share is known at once.
		ownShare := q.share(request.Tenant)
		ownShare.Fence(a.Epoch)
		a.RecordUsage(q.Self, q.inUse(ownShare, request.Tenant), now)
	}
	a.RecordUsage(request.DaemonID, request.InUse, now)
	live := map[string]bool{}
	for _, id := range q.liveDaemons() {
		live[id] = true
	}
	for _, id := range a.Unreported() {
		if !live[id] {
			a.StopWaitingFor(id, now)
		}
	}
	reply := func(now clock.Micros) {
		if last := q.latestQuotas[request.Tenant]; request.ConfigurationVersion >= last.ConfigurationVersion {
			q.latestQuotas[request.Tenant] = request
		}
		granted := a.Grant(request.DaemonID, request.InUse, request.Wanted, q.latestQuotas[request.Tenant].Quota, now)
		q.LeasesGranted++
		callback(LeaseResponse{Epoch: a.Epoch, Granted: granted, Ready: a.IsReady(now)}, now)
	}
	if a.IsReady(now) {
		reply(now)
		return
	}
	q.rebuild(request.Tenant, a, reply)
}

// isStore tells whether a borrower is a store: one that is not known any more may
// have been.
func (q *Quota) isStore(daemonID string) bool {
	for _, member := range q.Members() {
		if member.ID == daemonID {
			return member.Kind == membership.Store
		}
	}
	return q.knownStores[daemonID]
}

// knowsShardMap tells whether this daemon knows which stores there are.
func (q *Quota) knowsShardMap() bool {
	if q.ShardMap == nil {
		return true
	}
	_, known := q.ShardMap()
	return known
}

// expectedReporters are all that may hold work: the daemons that live, and the stores that
// count, whether this daemon has heard of them in this life or not.
func (q *Quota) expectedReporters() []string {
	out := q.liveDaemons()
	if q.ShardMap == nil {
		return out
	}
	m, _ := q.ShardMap()
	for _, id := range sortedKeys(m.Stores) {
		if store := m.Stores[id]; !store.Evicted && !store.Retired && !slices.Contains(out, id) && id != q.Self {
			out = append(out, id)
			q.knownStores[id] = true
		}
	}
	return out
}

// transferGrace is how long after a store's last slot has passed on its successors
// have had time to tell what they took over.
const transferGrace = 1500 * clock.Millisecond

// releaseTransferred lets go of what is held for stores that are gone and own no slot any more:
// those that took their slots over tell it now.
func (q *Quota) releaseTransferred(now clock.Micros) {
	if q.ShardMap == nil {
		return
	}
	m, known := q.ShardMap()
	if !known {
		return
	}
	owns := map[string]bool{}
	for _, assignment := range m.Shards {
		owns[assignment.Primary.ID] = true
		if !assignment.Complete {
			for _, id := range assignment.Trusted {
				owns[id] = true
			}
		}
	}
	for _, member := range q.Members() {
		if member.Status == membership.Alive {
			owns[member.ID] = true
		}
	}
	for _, a := range q.accounts {
		for _, id := range a.LeaseHolders() {
			if q.knownStores[id] && !owns[id] {
				a.ReleaseTransferred(id, now)
			}
		}
	}
}

// liveDaemons are all daemons that may hold shares.
func (q *Quota) liveDaemons() []string {
	var out []string
	for _, member := range q.Members() {
		if member.Kind == membership.Store {
			q.knownStores[member.ID] = true
		}
		if member.Kind != membership.Core && member.Status < membership.Dead && member.ID != q.Self {
			out = append(out, member.ID)
		}
	}
	return out
}

// rebuild asks those who have not told what they hold; who asks meanwhile waits
// for the same round.
func (q *Quota) rebuild(tenant string, a *Account, then func(now clock.Micros)) {
	if r := q.rebuilds[tenant]; r != nil {
		r.callbacks = append(r.callbacks, then)
		return
	}
	peers := map[string]string{}
	for _, member := range q.Members() {
		peers[member.ID] = member.Peer
	}
	unreported := a.Unreported()
	r := &rebuildRound{remaining: len(unreported), callbacks: []func(clock.Micros){then}}
	q.rebuilds[tenant] = r
	for _, id := range unreported {
		q.Calls.Request(peers[id], UsageRequest{Tenant: tenant, Epoch: a.Epoch}, leaseRequestTimeout/3, func(body any, err error, now clock.Micros) {
			if usage, ok := body.(UsageResponse); ok && err == nil && usage.Stale {
				a.Epoch = max(a.Epoch, usage.Epoch+1)
			} else if ok && err == nil {
				a.RecordUsage(id, usage.InUse, now)
			}
			if r.remaining--; r.remaining > 0 {
				return
			}
			delete(q.rebuilds, tenant)
			for _, then := range r.callbacks {
				then(now)
			}
		})
	}
}
