package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// This file implements the client's side for live requests, which wait in this daemon's memory. The
// client keeps a lease for LeaseDuration, so that most reservations need no request to the owner.

// renewalInterval is how often a client renews its leases.
const renewalInterval = LeaseDuration / 4

// leaseHeadroomDivisor sets the headroom of a lease request: it asks for 1/leaseHeadroomDivisor of
// the quota more than is needed now, so that the next few reservations need no request of their
// own.
const leaseHeadroomDivisor = 128

// liveClient is the client state of an account for live requests in this daemon's queue.
type liveClient struct {
	share      Share
	quota      *AccountQuota // of the latest reservation; nil if there is nothing to renew
	waiters    []*liveWaiter // reservations that wait for a lease request, oldest first
	requesting bool          // a lease request is in progress
	failedAt   clock.Micros  // time of the latest failed lease request
	sequence   uint64        // sequence number of the latest report
}

// liveWaiter is a reservation that waits for a larger lease.
type liveWaiter struct {
	quota    AccountQuota
	count    int
	requests int // number of lease requests that have included it
	callback func(release Release, err error, now clock.Micros)
}

func (q *Quota) liveClient(name shard.AccountName) *liveClient { return &q.client(name).live }

// Reserve reserves the given weight of an account's quota for live work that waits in this daemon.
// The callback is called once, immediately or when the account's owner has answered, either with a
// Release or with an error. An error means that the work must not be queued; its kind is
// errs.OverQuota, or errs.NotReady while the account is unavailable.
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

// reserve adds a weight to the usage and returns the Release for it.
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

// requestLiveLease sends one lease request for all waiting reservations. There is one request at a
// time for each account; reservations that arrive during a request may fit into its response.
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

// sendLiveRequest requests a lease of the given size from the owner, and applies the response. Any
// part of the current lease above that size is relinquished first, because the owner may grant it
// to others before the response arrives.
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

// reportLive makes a report on this daemon's own queue. The part of the lease that may still be
// admitted counts as in use.
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

// admitWaiters admits the reservations that fit after a lease request, and rejects the others that
// the request included.
func (q *Quota) admitWaiters(name shard.AccountName, response LeaseResponse, err error, now clock.Micros) {
	c := q.liveClient(name)
	if err != nil {
		c.failedAt = now
	}
	waiters := c.waiters
	c.waiters = nil // callbacks may add new reservations
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

// mayRetry reports whether a reservation waits for another lease request: the last request did not
// include it, or this daemon's report was superseded during the request.
func (w *liveWaiter) mayRetry(response LeaseResponse) bool {
	return w.requests == 0 || response.Superseded && w.requests < maxLeaseRequests
}

// rejection returns the reason why a reservation is not admitted after a lease request.
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

// renewLeases sends the usage of each account to its owner, without asking for more. A request in
// progress also serves as a renewal.
func (q *Quota) renewLeases(now clock.Micros) {
	for _, name := range sortedAccounts(q.clients) { // the order of effects must not differ between runs
		if c := q.clients[name]; c.live.quota != nil && !c.live.requesting {
			q.renewLease(name, now)
		}
	}
}

func (q *Quota) renewLease(name shard.AccountName, now clock.Micros) {
	c := q.liveClient(name)
	quota := *c.quota
	if c.share.InUse == 0 {
		c.quota = nil // no renewal follows this one
	}
	q.sendLiveRequest(quota, c.share.InUse, now, func(response LeaseResponse, err error, now clock.Micros) {
		if err != nil {
			// Reservations that arrived meanwhile do not wait for a second request.
			q.admitWaiters(name, response, err, now)
			return
		}
		q.requestLiveLease(name, now)
	})
}
