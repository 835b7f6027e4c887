package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/retryafter"
	"tuliprudder/internal/errs"
)

const (
	// failureBackoff is how long a client rejects at once after a lease request
	// failed, instead of having more callers wait for the next one.
	failureBackoff = 400 * clock.Millisecond
	// maxWaiters is how many reservations in one queue may wait for a lease request.
	maxWaiters = 4096
	// unusedClientTTL is how long a client is kept that nobody uses.
	unusedClientTTL = 600 * clock.Second
)

// client is what this daemon has of one account, wherever that is owned.
type client struct {
	live       liveClient
	shards     map[int]*shardClient // by index; of batches
	admissions retryafter.Estimator // when batches were admitted
	lastUsedAt clock.Micros         // of its latest report on a shard, or its latest tick with something in use
	account    AccountID            // the highest of which an owner has sent a message
}

// client is the client of an account.
func (q *Quota) client(name shard.AccountName) *client {
	c := q.clients[name]
	if c == nil {
		c = &client{}
		q.clients[name] = c
	}
	return c
}

// acceptAccount takes an owner's account into account from now on; false where a later one is known.
func (q *Quota) acceptAccount(name shard.AccountName, account AccountID) bool {
	c := q.client(name)
	if account.compare(c.account) < 0 && !q.InjectedFaults.AcceptOlderAccounts {
		return false
	}
	c.account = account
	return true
}

// isBusy tells whether something waits for an owner's response, or is in use.
func (c *client) isBusy() bool {
	for _, s := range c.shards {
		if s.requesting || len(s.waiters) > 0 {
			return true
		}
	}
	return c.live.requesting || len(c.live.waiters) > 0 || c.live.share.InUse > 0 || c.live.share.Granted > 0
}

// removeUnusedClients forgets clients that nobody has used for a while.
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

// earlyRejection tells why a reservation is rejected without a lease request; nil: it isn't.
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

// newLeaseRequest is a request for what is in use, and no more.
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
	return errs.New(errs.OverQuota, "send a smaller batch, or buy a larger quota", "%d at once is more than the whole quota of %d", count, quota.Limit)
}

func errOverQuota(quota AccountQuota, count int, retryAfter clock.Micros) error {
	return errs.NewWithRetry(errs.OverQuota, retryAfter, "retry after the time given, or buy a larger quota",
		"%d more would take %s over the quota of %d queued", count, quota.Account, quota.Limit)
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

func errNoOwner(name shard.AccountName) error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; the daemon has just started", "no daemon is known that owns the account %s", name)
}

func errNotServing(daemonID string, shardIndex int) error {
	return errs.NewWithRetry(errs.NotReady, clock.Second, "retry; another store may serve the shard",
		"%s does not serve shard %d now", daemonID, shardIndex)
}
