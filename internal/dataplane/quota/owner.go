package quota

import (
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/replication"
)

// This file implements the owner's side: which accounts this daemon owns, and how it answers
// requests.
//
// An account of batches alone is owned by the primary of its home shard while that daemon holds the
// shard's lease: there is one owner at a time, and its epoch is the shard's. Live requests must not
// depend on the stores, so an account that has some is owned by the first live edge in the
// rendezvous order of the account's name, according to each daemon's own directory. Two edges may
// own such an account while directories differ; a daemon follows the higher of the accounts that it
// knows.

// homeShard returns the index of the shard whose primary owns an account of batches.
func homeShard(name shard.AccountName, m state.Map) int {
	return shard.ShardOf(accountRole(name), len(m.Shards))
}

// accountRole returns the role name of an account's owner, which is hashed to select the owner.
func accountRole(name shard.AccountName) string { return "account/" + name.String() }

// OwnerOf returns the id of the daemon that owns an account as far as this daemon knows; "" if it
// knows none.
func (q *Quota) OwnerOf(name shard.AccountName) string {
	if !name.BatchesOnly() {
		return endpoints.RendezvousOwner(accountRole(name), q.members(), membership.Edge)
	}
	m := q.shardMap()
	if len(m.Shards) == 0 {
		return ""
	}
	return m.Shards[homeShard(name, m)].Primary.ID
}

// homeEpoch returns the epoch under which this daemon serves an account's home shard now; false if
// it does not serve it, in which case another daemon may.
func (q *Quota) homeEpoch(name shard.AccountName, now clock.Micros) (epoch uint64, ok bool) {
	m := q.shardMap()
	if q.Shards == nil || len(m.Shards) == 0 {
		return 0, false
	}
	return q.Shards.ServingEpoch(homeShard(name, m), now)
}

// owns reports whether this daemon owns an account now.
func (q *Quota) owns(name shard.AccountName, a *Account, now clock.Micros) bool {
	if q.InjectedFaults.SkipOwnershipCheck {
		return true
	}
	if !a.batchesOnly {
		return q.accounts[name] == a
	}
	epoch, ok := q.homeEpoch(name, now)
	return ok && epoch == a.ID.Epoch
}

// handleLeaseRequest answers a client's request, after querying queues whose reports are missing or
// stale.
func (q *Quota) handleLeaseRequest(request LeaseRequest, now clock.Micros, respond func(LeaseResponse, error, clock.Micros)) {
	a := q.findOrOpenAccount(request, now)
	if a == nil {
		respond(LeaseResponse{}, errNotOwner(q.self, request.Name), now)
		return
	}
	q.removeLostShards(a)
	limit := q.latestQuota(request).Limit
	if !a.Record(request.Report, now) && !a.unreported[request.Report.Queue] {
		respond(LeaseResponse{Account: a.ID, Superseded: true}, nil, now)
		return
	}
	finish := func(now clock.Micros) {
		response, err := q.grant(a, request, now)
		respond(response, err, now)
	}
	if outdated := a.QueuesToQuery(request, limit, now); len(outdated) > 0 {
		q.queryUsage(request.Name, a, outdated, now, finish)
		return
	}
	finish(now)
}

// findOrOpenAccount returns the account for a request, or nil if this daemon cannot own it. It
// opens the account if this daemon has none, or only a superseded one.
func (q *Quota) findOrOpenAccount(request LeaseRequest, now clock.Micros) *Account {
	if len(q.shardMap().Shards) == 0 {
		return nil // the daemons that may have work are unknown
	}
	epoch := max(request.Report.Account.Epoch, q.client(request.Name).account.Epoch) + 1
	if request.Name.BatchesOnly() {
		serving, ok := q.homeEpoch(request.Name, now)
		switch {
		case ok:
			epoch = serving
		case q.InjectedFaults.SkipOwnershipCheck:
			return q.accounts[request.Name]
		default:
			return nil
		}
	}
	if a := q.accounts[request.Name]; a != nil {
		if !a.isSuperseded(request, epoch) && !q.mayHaveBeenUnlimited(request) {
			return a
		}
		if !request.Name.BatchesOnly() {
			// The request's client may not know this account, but other clients do.
			epoch = max(epoch, a.ID.Epoch+1)
		}
	}
	id := AccountID{Epoch: epoch, OpenedAt: now, Owner: q.self}
	a := OpenAccount(id, request.Name.BatchesOnly(), q.queuesOf(request))
	a.InjectedFaults = q.InjectedFaults
	q.accounts[request.Name] = a
	q.calls.Emit(machine.LogEvent{Event: AccountOpened{Tenant: request.Name.Tenant, Route: request.Name.Route, Epoch: epoch, Queues: len(a.unreported)}})
	return a
}

// removeLostShards removes permanently lost shards from an account: their work will never run, and
// the account would wait indefinitely for a report on them.
func (q *Quota) removeLostShards(a *Account) {
	m := q.shardMap()
	for shardIndex, assignment := range m.Shards {
		if isLost(assignment, m) {
			a.RemoveQueue(shardQueue(shardIndex))
		}
	}
}

// isLost reports whether the control state knows that no copy of a shard is left: each store that
// may have one has been removed, or evicted because an empty store has replaced it. The elapsed
// time has no influence: a shard that a long partition keeps from being served is not lost.
func isLost(assignment replication.Assignment, m state.Map) bool {
	if assignment.IsZero() {
		return false
	}
	for _, id := range slices.Concat(assignment.IDs(), assignment.Trusted) {
		if store, known := m.Stores[id]; known && !store.Evicted {
			return false
		}
	}
	return true
}

// isSuperseded reports whether a request is for a later account than this one; epoch is the epoch
// under which an account would be opened now.
func (a *Account) isSuperseded(request LeaseRequest, epoch uint64) bool {
	if a.batchesOnly {
		return a.ID.Epoch != epoch
	}
	return a.ID.compare(request.Report.Account) < 0
}

// queuesOf returns the queues that may hold work of a request's account: all shards, and the live
// edges if the account has live requests. An edge unknown to this daemon may use a lease of the
// former owner for LeaseDuration.
func (q *Quota) queuesOf(request LeaseRequest) []Queue {
	var out []Queue
	for shardIndex, assignment := range q.shardMap().Shards {
		if !assignment.IsZero() {
			out = append(out, shardQueue(shardIndex))
		}
	}
	if request.Name.BatchesOnly() {
		return out
	}
	for _, member := range q.members() {
		if member.Kind == membership.Edge && member.Status < membership.Dead {
			out = append(out, daemonQueue(member.ID))
		}
	}
	return out
}

// latestQuota returns the newest quota that any client has sent for a request's account, after
// recording the request's own.
func (q *Quota) latestQuota(request LeaseRequest) AccountQuota {
	latest := q.quotas[request.Name]
	if request.ConfigurationVersion >= latest.ConfigurationVersion {
		latest = AccountQuota{
			Account:              request.Name,
			Limit:                request.Quota,
			ConfigurationVersion: request.ConfigurationVersion,
			LimitedSince:         request.LimitedSince,
		}
		q.quotas[request.Name] = latest
	}
	return latest
}

// mayHaveBeenUnlimited reports whether the account may have had no limit, or the work another
// account, since this owner's latest quota: an owner receives no message about such a
// configuration, and work accepted under it is in no report.
func (q *Quota) mayHaveBeenUnlimited(request LeaseRequest) bool {
	latest, isKnown := q.quotas[request.Name]
	wasLimited := request.LimitedSince > 0 && request.LimitedSince <= latest.ConfigurationVersion
	return isKnown && request.ConfigurationVersion > latest.ConfigurationVersion+1 && !wasLimited
}

// grant answers a request from an account, if this daemon still owns it.
func (q *Quota) grant(a *Account, request LeaseRequest, now clock.Micros) (LeaseResponse, error) {
	if !q.owns(request.Name, a, now) {
		return LeaseResponse{}, errNotOwner(q.self, request.Name)
	}
	latest := q.latestQuota(request)
	granted, ok := a.Grant(request.Report, request.Wanted, latest.Limit, now)
	if !ok {
		return LeaseResponse{Account: a.ID, Superseded: true}, nil
	}
	q.logQuotaExceeded(a, latest, now)
	return LeaseResponse{Account: a.ID, Granted: granted, Ready: a.IsReady(now)}, nil
}

// logQuotaExceeded logs that more than the quota is in use, once each time that the quota becomes
// exceeded.
func (q *Quota) logQuotaExceeded(a *Account, latest AccountQuota, now clock.Micros) {
	inUse := 0
	for _, count := range a.Leases(now) {
		inUse += count
	}
	wasOverQuota := a.isOverQuota
	a.isOverQuota = int64(inUse) > latest.Limit
	if !a.isOverQuota || wasOverQuota {
		return
	}
	q.calls.Emit(machine.LogEvent{Event: QuotaExceeded{
		Tenant:   latest.Account.Tenant,
		Route:    latest.Account.Route,
		Epoch:    a.ID.Epoch,
		Quota:    latest.Limit,
		InUse:    inUse,
		Reported: q.leasesByDaemon(a, now),
		Remedy:   "no action is needed if the quota was lowered; otherwise report a bug with the logs of the listed daemons",
	}})
}

// leasesByDaemon returns the total size of the leases that count now, by the daemon that serves
// their queues.
func (q *Quota) leasesByDaemon(a *Account, now clock.Micros) map[string]int {
	out := map[string]int{}
	for queue, count := range a.Leases(now) {
		out[q.servingDaemon(queue)] += count
	}
	return out
}

// servingDaemon returns the id of the daemon that serves a queue according to this daemon's cluster
// map; "" if the map does not have the shard.
func (q *Quota) servingDaemon(queue Queue) string {
	if !queue.isShard() {
		return queue.Daemon
	}
	m := q.shardMap()
	if queue.Shard >= len(m.Shards) {
		return ""
	}
	return m.Shards[queue.Shard].Primary.ID
}

// removeIdleAccounts removes expired leases and idle accounts.
func (q *Quota) removeIdleAccounts(now clock.Micros) {
	for name, a := range q.accounts {
		a.removeEnded(now)
		if a.IsIdle(now) {
			delete(q.accounts, name)
			delete(q.quotas, name)
		}
	}
}

func errNotOwner(daemonID string, name shard.AccountName) error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the account has another owner",
		"%s does not own the account %s now", daemonID, name)
}
