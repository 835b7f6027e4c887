package quota

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

const (
	// leaseRequestTimeout is how long a client waits for an owner's response.
	leaseRequestTimeout = 600 * clock.Millisecond
	// failureBackoff is how long a client rejects at once after a lease request
	// failed, instead of having more callers wait for the next one.
	failureBackoff = 400 * clock.Millisecond
	// maxWaiters is how many reservations of one tenant may wait for a lease request.
	maxWaiters = 4096
	// A lease request asks for one part in leaseHeadroomDivisor of the quota more than
	// is needed now, so that the next few reservations need no request of their own.
	leaseHeadroomDivisor = 128
)

// client is what this daemon has of one tenant's account, wherever that is owned.
type client struct {
	share      *Share       // nil until it is needed
	quota      *TenantQuota // of the latest reservation; nil: there is nothing to renew
	waiters    []*waiter    // reservations that wait for a lease request, the oldest first
	requesting bool         // a lease request is under way
	failedAt   clock.Micros // when one failed last
}

// waiter is a reservation that waits for a larger lease.
type waiter struct {
	quota     TenantQuota
	count     int
	requested bool // the lease request under way includes it
	callback  func(release Release, err error, now clock.Micros)
}

func (q *Quota) client(tenant string) *client {
	c := q.clients[tenant]
	if c == nil {
		c = &client{}
		q.clients[tenant] = c
	}
	return c
}

func (q *Quota) share(tenant string) *Share {
	c := q.client(tenant)
	if c.share == nil {
		c.share = &Share{}
	}
	return c.share
}

// unreserved is the weight of a tenant's work that is queued here without a Reserve.
func (q *Quota) unreserved(tenant string) int {
	if q.queuedItems == nil {
		return 0
	}
	return q.queuedItems(tenant)
}

// inUse is all work of a tenant that is queued here.
func (q *Quota) inUse(tenant string) int { return q.share(tenant).InUse + q.unreserved(tenant) }

// hasCapacity tells whether so much more of a tenant's work may be queued here.
func (q *Quota) hasCapacity(tenant string, count int, now clock.Micros) bool {
	return q.share(tenant).HasCapacity(count+q.unreserved(tenant), now)
}

// Reserve reserves the given weight of the tenant's quota. The callback is called once,
// at once or when the account's owner has answered: with the means to return the
// reservation, or with an error. An error means that the work must not be queued; its
// kind is errs.OverQuota, or errs.NotReady while the account can't be used.
func (q *Quota) Reserve(quota TenantQuota, count int, now clock.Micros, callback func(Release, error, clock.Micros)) {
	if int64(count) > quota.Limit {
		callback(nil, errExceedsQuota(quota, count), now)
		return
	}
	if q.InjectedFaults.AdmitEverything || q.hasCapacity(quota.Tenant, count, now) {
		callback(q.reserve(quota.Tenant, count), nil, now)
		return
	}
	c := q.client(quota.Tenant)
	if now-c.failedAt < failureBackoff {
		q.Rejected++
		callback(nil, errOwnerUnreachable(), now)
		return
	}
	if len(c.waiters) >= maxWaiters {
		q.Rejected++
		callback(nil, errTooManyWaiters(), now)
		return
	}
	c.waiters = append(c.waiters, &waiter{quota: quota, count: count, callback: callback})
	q.requestLease(quota.Tenant, now)
}

// reserve takes a weight into use and returns the means to return it.
func (q *Quota) reserve(tenant string, count int) Release {
	q.share(tenant).Reserve(count)
	released := false
	return func(now clock.Micros) {
		if released {
			return
		}
		released = true
		q.share(tenant).Release(count, now)
	}
}

// TrackUsage has work reported at renewals that is queued here without a Reserve, such
// as batch items of a shard that was taken over.
func (q *Quota) TrackUsage(quota TenantQuota) {
	if c := q.client(quota.Tenant); c.quota == nil {
		c.quota = &quota
	}
}

// requestLease asks the owner for all that wait. There is one request at a time for
// each tenant; those that come meanwhile may fit into its response.
func (q *Quota) requestLease(tenant string, now clock.Micros) {
	c := q.client(tenant)
	if c.requesting || len(c.waiters) == 0 {
		return
	}
	needed := 0
	for _, w := range c.waiters {
		w.requested = true
		needed += w.count
	}
	latest := c.waiters[len(c.waiters)-1].quota
	c.quota = &latest
	request := q.newLeaseRequest(latest)
	request.Wanted += needed + int(latest.Limit/leaseHeadroomDivisor)
	q.sendLeaseRequest(request, now, func(response LeaseResponse, err error, now clock.Micros) {
		q.admitWaiters(tenant, response, err, now)
	})
}

// newLeaseRequest is a request for what is in use, and no more.
func (q *Quota) newLeaseRequest(quota TenantQuota) LeaseRequest {
	inUse := q.inUse(quota.Tenant)
	return LeaseRequest{
		Tenant:               quota.Tenant,
		DaemonID:             q.self,
		Epoch:                q.share(quota.Tenant).Epoch,
		InUse:                inUse,
		Wanted:               inUse,
		Quota:                quota.Limit,
		ConfigurationVersion: quota.ConfigurationVersion,
	}
}

// admitWaiters admits the reservations that fit after a lease request, and rejects the
// others that it was for.
func (q *Quota) admitWaiters(tenant string, response LeaseResponse, err error, now clock.Micros) {
	c := q.client(tenant)
	if err != nil {
		c.failedAt = now
	}
	waiters := c.waiters
	c.waiters = nil // callbacks may reserve again
	var remaining []*waiter
	for _, w := range waiters {
		switch {
		case err == nil && q.hasCapacity(tenant, w.count, now):
			w.callback(q.reserve(tenant, w.count), nil, now)
		case err == nil && !w.requested:
			remaining = append(remaining, w)
		default:
			q.Rejected++
			w.callback(nil, q.rejection(w, response, err, now), now)
		}
	}
	c.waiters = append(remaining, c.waiters...)
	q.requestLease(tenant, now)
}

// rejection is why a reservation isn't admitted after a lease request.
func (q *Quota) rejection(w *waiter, response LeaseResponse, err error, now clock.Micros) error {
	switch {
	case err != nil:
		return errOwnerUnreachable()
	case !response.Ready:
		return errRebuilding()
	default:
		return errOverQuota(w.quota, w.count, q.share(w.quota.Tenant).RetryAfter(w.count, now))
	}
}

// sendLeaseRequest sends a lease request to the account's owner, which may be this
// daemon, and applies the response to the share.
func (q *Quota) sendLeaseRequest(request LeaseRequest, sent clock.Micros, callback func(LeaseResponse, error, clock.Micros)) {
	q.client(request.Tenant).requesting = true
	apply := func(response LeaseResponse, err error, now clock.Micros) {
		q.client(request.Tenant).requesting = false
		if err == nil && !q.share(request.Tenant).ApplyGrant(response.Epoch, response.Granted, sent) {
			err = errs.New(errs.NotReady, "retry", "the owner answered under epoch %d, which is over", response.Epoch)
		}
		callback(response, err, now)
	}
	id, peer := q.accountOwner(request.Tenant)
	switch id {
	case "":
		apply(LeaseResponse{}, errs.New(errs.NotReady, "start an edge", "no edge is alive that could own tenant %q's account", request.Tenant), sent)
	case q.self:
		q.handleLeaseRequest(request, sent, func(response LeaseResponse, now clock.Micros) { apply(response, nil, now) })
	default:
		q.calls.Request(peer, request, leaseRequestTimeout, func(body any, err error, now clock.Micros) {
			response, _ := body.(LeaseResponse)
			apply(response, err, now)
		})
	}
}

// renewLeases reports what is in use to every account's owner, and asks for no more. A
// request that is under way renews as well.
func (q *Quota) renewLeases(now clock.Micros) {
	var renewed []string
	for _, tenant := range sortedKeys(q.clients) {
		if q.clients[tenant].quota != nil {
			renewed = append(renewed, tenant)
		}
	}
	for _, tenant := range renewed {
		if !q.clients[tenant].requesting {
			q.renewLease(tenant, now)
		}
	}
}

func (q *Quota) renewLease(tenant string, now clock.Micros) {
	c, s := q.client(tenant), q.share(tenant)
	request := q.newLeaseRequest(*c.quota)
	if request.InUse == 0 && s.Granted == 0 {
		c.quota = nil
		return
	}
	if request.InUse == 0 {
		s.Granted = 0
	}
	q.sendLeaseRequest(request, now, func(response LeaseResponse, err error, now clock.Micros) {
		if err != nil {
			// Those that came meanwhile don't wait for a second request.
			q.admitWaiters(tenant, response, err, now)
			return
		}
		q.requestLease(tenant, now)
	})
}

// forgetUnusedShares forgets shares that nobody has used for a while, and clients of
// which nothing is left.
func (q *Quota) forgetUnusedShares(now clock.Micros) {
	for tenant, c := range q.clients {
		if c.requesting || len(c.waiters) > 0 {
			continue
		}
		if c.share != nil && c.share.isUnused(now) {
			c.share = nil
		}
		if c.share == nil && c.quota == nil {
			delete(q.clients, tenant)
		}
	}
}

func errExceedsQuota(quota TenantQuota, count int) error {
	return errs.New(errs.OverQuota, "send a smaller batch, or buy a larger quota", "%d at once is more than the whole quota of %d", count, quota.Limit)
}

func errOverQuota(quota TenantQuota, count int, retryAfter clock.Micros) error {
	return errs.NewWithRetry(errs.OverQuota, retryAfter, "retry after the time given, or buy a larger quota",
		"%d more would take tenant %s over its quota of %d queued", count, quota.Tenant, quota.Limit)
}

func errOwnerUnreachable() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry after the time given", "the owner of the tenant's account can't be reached")
}

func errTooManyWaiters() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry after the time given", "%d requests wait for the tenant's account already", maxWaiters)
}

func errRebuilding() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry after the time given", "the tenant's account moves to another daemon")
}
