package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/retryafter"
	"tuliprudder/internal/errs"
)

const (
	// failureBackoff is how long a client rejects reservations immediately after a failed lease
	// request, instead of queuing more callers for the next one.
	failureBackoff = 400 * clock.Millisecond
	// maxWaiters is the maximum number of reservations in one queue that wait for a lease request.
	maxWaiters = 4096
	// unusedClientTTL is how long an unused client is kept.
	unusedClientTTL = 600 * clock.Second
)

// client is this daemon's client state for one account, whichever daemon owns the account.
type client struct {
	live       liveClient
	shards     map[int]*shardClient // by shard index; for batches
	admissions retryafter.Estimator // times at which batches were admitted
	lastUsedAt clock.Micros         // time of the latest report on a shard, or of the latest tick with something in use
	account    AccountID            // the highest from which an owner has sent a message
}

// client returns the client of an account, creating it if there is none.
func (q *Quota) client(name shard.AccountName) *client {
	c := q.clients[name]
	if c == nil {
		c = &client{}
		q.clients[name] = c
	}
	return c
}

// acceptAccount records the account from an owner's message as the latest; it returns false, and
// records nothing, if a later one is known.
func (q *Quota) acceptAccount(name shard.AccountName, account AccountID) bool {
	c := q.client(name)
	if account.compare(c.account) < 0 && !q.InjectedFaults.AcceptOlderAccounts {
		return false
	}
	c.account = account
	return true
}

// isBusy reports whether a request to the owner or a reservation is pending, or live requests have
// a lease or usage.
func (c *client) isBusy() bool {
	for _, s := range c.shards {
		if s.requesting || len(s.waiters) > 0 {
			return true
		}
	}
	return c.live.requesting || len(c.live.waiters) > 0 || c.live.share.InUse > 0 || c.live.share.Granted > 0
}

// removeUnusedClients removes clients that were not used for unusedClientTTL.
func (q *Quota) removeUnusedClients(now clock.Micros) {
	for name, c := range q.clients {
		if c.isBusy() || c.lastUsedAt == 0 {
			c.lastUsedAt = now
		}
		if now-c.lastUsedAt > unusedClientTTL {
			delete(q.clients, name)
		}
	}
}

// earlyRejection returns the error with which a reservation is rejected without a lease request, or
// nil.
func (q *Quota) earlyRejection(failedAt clock.Micros, waiters int, now clock.Micros) error {
	var err error
	switch {
	case now-failedAt < failureBackoff:
		err = errOwnerUnreachable()
	case waiters >= maxWaiters:
		err = errTooManyWaiters()
	default:
		return nil
	}
	q.Rejected++
	return err
}

// newLeaseRequest returns a request that reports what is in use and asks for no more.
func newLeaseRequest(quota AccountQuota, report Report) LeaseRequest {
	return LeaseRequest{
		Name:                 quota.Account,
		Report:               report,
		Wanted:               report.InUse,
		Quota:                quota.Limit,
		ConfigurationVersion: quota.ConfigurationVersion,
		LimitedSince:         quota.LimitedSince,
	}
}

// sendLeaseRequest sends a lease request to the account's owner, which may be this daemon.
func (q *Quota) sendLeaseRequest(request LeaseRequest, now clock.Micros, callback func(LeaseResponse, error, clock.Micros)) {
	receive := func(response LeaseResponse, err error, now clock.Micros) {
		if err == nil && !q.acceptAccount(request.Name, response.Account) {
			response.Superseded = true
		}
		callback(response, err, now)
	}
	owner := q.OwnerOf(request.Name)
	peer := q.peerAddress(owner)
	switch {
	case owner == q.self:
		q.handleLeaseRequest(request, now, receive)
	case peer == "":
		receive(LeaseResponse{}, errNoOwner(request.Name), now)
	default:
		q.calls.Request(peer, request, leaseRequestTimeout, func(body any, err error, now clock.Micros) {
			response, _ := body.(LeaseResponse)
			receive(response, err, now)
		})
	}
}

func errLargerThanQuota(quota AccountQuota, count int) error {
	return errs.New(errs.OverQuota, "send a smaller batch, or buy a larger quota", "the requested amount %d exceeds the total quota of %d", count, quota.Limit)
}

func errOverQuota(quota AccountQuota, count int, retryAfter clock.Micros) error {
	return errs.NewWithRetry(errs.OverQuota, retryAfter, "retry after the time given, or buy a larger quota",
		"queuing %d more would put the account %s over its quota of %d", count, quota.Account, quota.Limit)
}

func errOwnerUnreachable() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry after the time given", "the owner of the tenant's quota account is unreachable")
}

func errTooManyWaiters() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry after the time given", "%d reservations are already waiting for the tenant's quota account", maxWaiters)
}

func errRebuilding() error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry after the time given", "the tenant's quota account is being rebuilt by a new owner")
}

func errNoOwner(name shard.AccountName) error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the daemon has just started", "no known daemon owns the account %s", name)
}

func errNotServing(daemonID string, shardIndex int) error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; another store may serve the shard",
		"%s does not serve shard %d now", daemonID, shardIndex)
}
