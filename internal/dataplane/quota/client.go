package quota

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// waiter waits for room in a share.
type waiter struct {
	count                int
	quota                int64
	configurationVersion uint64
	requested            bool // the ask under way is for this one too
	callback             func(release Release, err error, now clock.Micros)
}

func (q *Quota) share(tenant string) *Share {
	s := q.shares[tenant]
	if s == nil {
		s = &Share{}
		q.shares[tenant] = s
	}
	return s
}

// queuedItems is what waits here of a tenant without having been taken.
func (q *Quota) queuedItems(tenant string) int {
	if q.QueuedItems == nil {
		return 0
	}
	return q.QueuedItems(tenant)
}

// inUse is all that waits here of a tenant.
func (q *Quota) inUse(s *Share, tenant string) int { return s.InUse + q.queuedItems(tenant) }

const leaseRequestTimeout = 600 * clock.Millisecond

// failureBackoff is how long nobody asks again after an ask that failed: those who
// wait behind it are rejected at once.
const failureBackoff = 400 * clock.Millisecond

// maxWaiters is how many may wait for one tenant's ask; more are rejected.
const maxWaiters = 4096

// Reserve reserves waiting work; back is told once. An error turns the order away,
// and nothing of it has run or will.
func (q *Quota) Reserve(tenant string, quota int64, configurationVersion uint64, count int, now clock.Micros, callback func(Release, error, clock.Micros)) {
	if int64(count) > quota {
		callback(nil, errs.New(errs.OverQuota, "send a smaller bundle, or buy a larger allowance", "%d at once are more than the whole allowance of %d", count, quota), now)
		return
	}
	s := q.share(tenant)
	if q.Unlimited || s.HasCapacity(count+q.queuedItems(tenant), now) {
		s.Reserve(count)
		callback(q.releaseFunc(tenant, count), nil, now)
		return
	}
	if now-s.failedAt < failureBackoff || len(q.waiters[tenant]) >= maxWaiters {
		q.Rejected++
		callback(nil, errOwnerUnreachable(), now)
		return
	}
	q.waiters[tenant] = append(q.waiters[tenant], &waiter{count: count, quota: quota, configurationVersion: configurationVersion, callback: callback})
	q.requestLease(tenant, now)
}

func errOwnerUnreachable() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "come back after the time given", "the customer's account can't be reached")
}

func (q *Quota) releaseFunc(tenant string, count int) Release {
	released := false
	return func(now clock.Micros) {
		if !released {
			released = true
			q.share(tenant).Release(count, now)
		}
	}
}

// requestLease asks the holder for all who wait, one ask at a time for each tenant:
// those who come meanwhile may find room.
func (q *Quota) requestLease(tenant string, now clock.Micros) {
	waiting := q.waiters[tenant]
	if q.requesting[tenant] || len(waiting) == 0 {
		return
	}
	s, sum := q.share(tenant), 0
	last := waiting[len(waiting)-1]
	for _, t := range waiting {
		t.requested = true
		sum += t.count
	}
	inUse := q.inUse(s, tenant)
	request := LeaseRequest{Tenant: tenant, DaemonID: q.Self, Epoch: s.Epoch, InUse: inUse, Wanted: inUse + sum + int(last.quota/128), Quota: last.quota, ConfigurationVersion: last.configurationVersion}
	q.lastRequests[tenant] = request
	q.sendLeaseRequest(request, now, func(reply LeaseResponse, err error, now clock.Micros) { q.admitWaiters(tenant, reply, err, now) })
}

// admitWaiters lets those in who fit now, and rejects those the ask was for.
func (q *Quota) admitWaiters(tenant string, reply LeaseResponse, err error, now clock.Micros) {
	s := q.share(tenant)
	if err != nil {
		s.failedAt = now
	}
	waiting := q.waiters[tenant]
	delete(q.waiters, tenant)
	var remaining []*waiter
	for _, t := range waiting {
		switch {
		case err == nil && s.HasCapacity(t.count+q.queuedItems(tenant), now):
			s.Reserve(t.count)
			t.callback(q.releaseFunc(tenant, t.count), nil, now)
		case !t.requested && err == nil:
			remaining = append(remaining, t)
		case err != nil:
			q.Rejected++
			t.callback(nil, errOwnerUnreachable(), now)
		case !reply.Ready:
			q.Rejected++
			t.callback(nil, errs.NewWithRetry(errs.NotReady, clock.Second, "come back after the time given", "the customer's account passes to another daemon"), now)
		default:
			q.Rejected++
			t.callback(nil, errs.NewWithRetry(errs.OverQuota, s.RetryAfter(t.count, now), "come back after the time given, or buy a larger allowance",
				"%d more would take customer %s over its allowance of %d waiting", t.count, tenant, t.quota), now)
		}
	}
	q.waiters[tenant] = append(remaining, q.waiters[tenant]...)
	if len(q.waiters[tenant]) == 0 {
		delete(q.waiters, tenant)
	}
	q.requestLease(tenant, now)
}

// sendLeaseRequest asks the holder and takes its answer.
func (q *Quota) sendLeaseRequest(request LeaseRequest, sent clock.Micros, callback func(LeaseResponse, error, clock.Micros)) {
	q.requesting[request.Tenant] = true
	apply := func(reply LeaseResponse, err error, now clock.Micros) {
		delete(q.requesting, request.Tenant)
		if err == nil && !q.share(request.Tenant).ApplyGrant(reply.Epoch, reply.Granted, sent) {
			err = errs.New(errs.NotReady, "ask again", "the holder's epoch is behind")
		}
		callback(reply, err, now)
	}
	id, peer := q.accountOwner(request.Tenant)
	switch id {
	case "":
		apply(LeaseResponse{}, errs.New(errs.NotReady, "start an edge", "no live edge holds accounts"), sent)
	case q.Self:
		q.HandleLeaseRequest(request, sent, func(reply LeaseResponse, now clock.Micros) { apply(reply, nil, now) })
	default:
		q.Calls.Request(peer, request, leaseRequestTimeout, func(body any, err error, now clock.Micros) {
			reply, _ := body.(LeaseResponse)
			apply(reply, err, now)
		})
	}
}

// HandleUsageRequest is the borrower's answer to a new holder: from here on the old one's
// loans count only as far as they are in use.
func (q *Quota) HandleUsageRequest(request UsageRequest) UsageResponse {
	s := q.share(request.Tenant)
	if !s.Fence(request.Epoch) {
		return UsageResponse{Stale: true, Epoch: s.Epoch}
	}
	return UsageResponse{InUse: q.inUse(s, request.Tenant), Epoch: request.Epoch}
}

// TrackUsage notes waiting work that came by other ways (a takeover), so that it is
// told at the next renewal.
func (q *Quota) TrackUsage(tenant string, quota int64, configurationVersion uint64) {
	if _, known := q.lastRequests[tenant]; !known {
		q.lastRequests[tenant] = LeaseRequest{Tenant: tenant, DaemonID: q.Self, Quota: quota, ConfigurationVersion: configurationVersion}
	}
}
