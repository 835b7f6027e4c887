package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// This file is the client's side for live requests, which wait in this daemon's memory. It keeps
// a lease for LeaseDuration, so that most requests need no request to the owner.

// renewalInterval is how often a client renews its leases.
const renewalInterval = LeaseDuration / 4

// A lease request asks for one part in leaseHeadroomDivisor of the quota more than
// is needed now, so that the next few reservations need no request of their own.
const leaseHeadroomDivisor = 128

// liveClient is an account's part of this daemon's queue.
type liveClient struct {
	share      Share
	quota      *AccountQuota // of the latest reservation; nil: there is nothing to renew
	waiters    []*liveWaiter // reservations that wait for a lease request, the oldest first
	requesting bool          // a lease request is under way
	failedAt   clock.Micros  // when one failed last
	sequence   uint64        // of the latest report
}

// liveWaiter is a reservation that waits for a larger lease.
type liveWaiter struct {
	quota    AccountQuota
	count    int
	requests int // how many lease requests have included it
	callback func(release Release, err error, now clock.Micros)
}

func (q *Quota) liveClient(name shard.AccountName) *liveClient { return &q.client(name).live }

// Reserve reserves the given weight of an account's quota for live work that waits here. The
// callback is called once, at once or when the account's owner has answered: with the means to
// return the reservation, or with an error. An error means that the work must not be queued; its
// kind is errs.OverQuota, or errs.NotReady while the account can't be used.
func (q *Quota) Reserve(quota AccountQuota, count int, now clock.Micros, callback func(Release, error, clock.Micros)) {
	if int64(count) > quota.Limit {
		callback(nil, errLargerThanQuota(quota, count), now)
		return
	}
	c := q.liveClient(quota.Account)
	if q.InjectedFaults.AdmitEverything || c.share.HasCapacity(count, now) {
		callback(c.reserve(count), nil, now)
		return
	}
	if err := q.earlyRejection(c.failedAt, len(c.waiters), now); err != nil {
		callback(nil, err, now)
		return
	}
	c.waiters = append(c.waiters, &liveWaiter{quota: quota, count: count, callback: callback})
	q.requestLiveLease(quota.Account, now)
}

// reserve takes a weight into use and returns the means to return it.
func (c *liveClient) reserve(count int) Release {
	c.share.Reserve(count)
	released := false
	return func(now clock.Micros) {
		if released {
			return
		}
		released = true
		c.share.Release(count, now)
	}
}

// requestLiveLease asks the owner for all that wait. There is one request at a time for
// each account; those that come meanwhile may fit into its response.
func (q *Quota) requestLiveLease(name shard.AccountName, now clock.Micros) {
	c := q.liveClient(name)
	if c.requesting || len(c.waiters) == 0 {
		return
	}
	needed := 0
	for _, w := range c.waiters {
		w.requests++
		needed += w.count
	}
	latest := c.waiters[len(c.waiters)-1].quota
	c.quota = &latest
	wanted := c.share.InUse + needed + int(latest.Limit/leaseHeadroomDivisor)
	q.sendLiveRequest(latest, wanted, now, func(response LeaseResponse, err error, now clock.Micros) {
		q.admitWaiters(name, response, err, now)
	})
}

// sendLiveRequest asks the owner for a lease of a size, and applies the response. What exceeds
// that size is given up first: the owner may grant it to others before the response arrives.
func (q *Quota) sendLiveRequest(quota AccountQuota, wanted int, sent clock.Micros, callback func(LeaseResponse, error, clock.Micros)) {
	c := q.liveClient(quota.Account)
	if !q.InjectedFaults.UseReturnedLease {
		c.share.ShrinkTo(wanted)
	}
	report := q.reportLive(quota.Account, sent)
	request := newLeaseRequest(quota, report)
	request.Wanted = max(wanted, report.InUse)
	c.requesting = true
	q.sendLeaseRequest(request, sent, func(response LeaseResponse, err error, now clock.Micros) {
		c.requesting = false
		if c.sequence != report.Sequence {
			response.Superseded = true
		}
		if err == nil && !response.Superseded {
			c.share.ApplyGrant(response.Granted, sent)
		}
		callback(response, err, now)
	})
}

// reportLive reports on this daemon's own queue. What may still be admitted counts as in use.
func (q *Quota) reportLive(name shard.AccountName, now clock.Micros) Report {
	c := q.liveClient(name)
	if q.startedAt == 0 {
		q.startedAt = now
	}
	q.lastSequence++
	c.sequence = q.lastSequence
	inUse := c.share.committed(now)
	if q.InjectedFaults.UseReturnedLease {
		inUse = c.share.InUse
	}
	return Report{
		Queue:    daemonQueue(q.self),
		Epoch:    uint64(q.startedAt),
		Sequence: c.sequence,
		Account:  q.client(name).account,
		InUse:    inUse,
	}
}

// admitWaiters admits the reservations that fit after a lease request, and rejects the
// others that it was for.
func (q *Quota) admitWaiters(name shard.AccountName, response LeaseResponse, err error, now clock.Micros) {
	c := q.liveClient(name)
	if err != nil {
		c.failedAt = now
	}
	waiters := c.waiters
	c.waiters = nil // callbacks may reserve again
	var remaining []*liveWaiter
	for _, w := range waiters {
		switch {
		case err == nil && c.share.HasCapacity(w.count, now):
			w.callback(c.reserve(w.count), nil, now)
		case err == nil && w.mayRetry(response):
			remaining = append(remaining, w)
		default:
			q.Rejected++
			w.callback(nil, c.rejection(w, response, err, now), now)
		}
	}
	c.waiters = append(remaining, c.waiters...)
	q.requestLiveLease(name, now)
}

// mayRetry tells whether a reservation waits for another lease request: the last one was not
// for it, or this daemon's report was superseded while it was under way.
func (w *liveWaiter) mayRetry(response LeaseResponse) bool {
	return w.requests == 0 || response.Superseded && w.requests < maxLeaseRequests
}

// rejection is why a reservation isn't admitted after a lease request.
func (c *liveClient) rejection(w *liveWaiter, response LeaseResponse, err error, now clock.Micros) error {
	switch {
	case err != nil, response.Superseded:
		return errOwnerUnreachable()
	case !response.Ready:
		return errRebuilding()
	default:
		return errOverQuota(w.quota, w.count, c.share.RetryAfter(w.count, now))
	}
}

// renewLeases reports what is in use to every account's owner, and asks for no more. A
// request that is under way renews as well.
func (q *Quota) renewLeases(now clock.Micros) {
	for _, name := range sortedAccounts(q.clients) { // effects have an order that doesn't differ between runs
		if c := q.clients[name]; c.live.quota != nil && !c.live.requesting {
			q.renewLease(name, now)
		}
	}
}

func (q *Quota) renewLease(name shard.AccountName, now clock.Micros) {
	c := q.liveClient(name)
	quota := *c.quota
	if c.share.InUse == 0 {
		c.quota = nil // this report is the last one
	}
	q.sendLiveRequest(quota, c.share.InUse, now, func(response LeaseResponse, err error, now clock.Micros) {
		if err != nil {
			// Those that came meanwhile don't wait for a second request.
			q.admitWaiters(name, response, err, now)
			return
		}
		q.requestLiveLease(name, now)
	})
}
