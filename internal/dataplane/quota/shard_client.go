package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// This file implements the client's side for batches, which wait in the shards that a store serves.
// The client keeps no lease: what is granted is in use at once, or relinquished.

// Shards gives access to the shards that a store serves.
type Shards interface {
	// ServingEpoch returns the epoch under which this daemon serves a shard at the given time; no
	// other daemon serves it then. It returns false if this daemon does not serve the shard, or
	// cannot be sure that it does.
	ServingEpoch(shardIndex int, now clock.Micros) (epoch uint64, ok bool)
	// PendingWeight returns the weight of an account's work in a shard that this daemon serves. A
	// successor finds no more than that, as long as nothing is admitted.
	PendingWeight(shardIndex int, account shard.AccountName) int
	// PendingWeights returns the total weight of the work in all shards that this daemon serves, by
	// account.
	PendingWeights(now clock.Micros) map[shard.AccountName]int
}

// maxLeaseRequests is the maximum number of lease requests for a batch whose shard's report is
// superseded while a request is in progress.
const maxLeaseRequests = 4

// shardClient is the client state of an account for one shard.
type shardClient struct {
	waiters    []*batchWaiter // oldest first
	requesting bool           // a lease request is in progress
	sequence   uint64         // sequence number of the latest report
	failedAt   clock.Micros   // time of the latest failed lease request
}

// batchWaiter is a batch that waits for a grant.
type batchWaiter struct {
	quota    AccountQuota
	weight   int
	requests int // number of lease requests that have included it
	callback func(err error, now clock.Micros)
}

// ReserveInShard reserves the given weight of an account's quota for a batch in a shard that this
// daemon serves. The callback is called once, immediately or when the account's owner has answered.
// If the error is nil, the callback has to queue the batch in the shard in the same step. Otherwise
// the batch must not be queued; the kind of the error is errs.OverQuota, or errs.NotReady while the
// account is unavailable.
func (q *Quota) ReserveInShard(quota AccountQuota, shardIndex, weight int, now clock.Micros, callback func(err error, now clock.Micros)) {
	if int64(weight) > quota.Limit {
		callback(errLargerThanQuota(quota, weight), now)
		return
	}
	if q.InjectedFaults.AdmitEverything {
		callback(nil, now)
		return
	}
	c := q.client(quota.Account).shardClient(shardIndex)
	if err := q.earlyRejection(c.failedAt, len(c.waiters), now); err != nil {
		callback(err, now)
		return
	}
	c.waiters = append(c.waiters, &batchWaiter{quota: quota, weight: weight, callback: callback})
	q.requestShardLease(quota.Account, shardIndex, now)
}

// shardClient returns the account's client state for a shard, creating it if there is none.
func (c *client) shardClient(shardIndex int) *shardClient {
	if c.shards == nil {
		c.shards = map[int]*shardClient{}
	}
	if c.shards[shardIndex] == nil {
		c.shards[shardIndex] = &shardClient{}
	}
	return c.shards[shardIndex]
}

// reportShard makes a report on a shard's queue; it returns false if this daemon does not serve the
// shard. From here on a grant that answers an earlier report is discarded.
func (q *Quota) reportShard(name shard.AccountName, shardIndex int, now clock.Micros) (Report, bool) {
	if q.Shards == nil {
		return Report{}, false
	}
	epoch, isServing := q.Shards.ServingEpoch(shardIndex, now)
	if !isServing {
		return Report{}, false
	}
	q.lastSequence++
	c := q.client(name)
	c.lastUsedAt = now
	if c.shards[shardIndex] != nil {
		c.shards[shardIndex].sequence = q.lastSequence
	}
	return Report{
		Queue:    shardQueue(shardIndex),
		Epoch:    epoch,
		Sequence: q.lastSequence,
		Account:  c.account,
		InUse:    q.Shards.PendingWeight(shardIndex, name),
	}, true
}

// requestShardLease sends one lease request for all waiting batches. There is one request at a time
// for each shard.
func (q *Quota) requestShardLease(name shard.AccountName, shardIndex int, now clock.Micros) {
	c := q.client(name).shardClient(shardIndex)
	if c.requesting || len(c.waiters) == 0 {
		return
	}
	report, isServing := q.reportShard(name, shardIndex, now)
	if !isServing {
		q.rejectBatches(c.takeWaiters(), errNotServing(q.self, shardIndex), now)
		return
	}
	request := newLeaseRequest(c.waiters[len(c.waiters)-1].quota, report)
	for _, w := range c.waiters {
		w.requests++
		request.Wanted += w.weight
	}
	c.requesting = true
	q.sendLeaseRequest(request, now, func(response LeaseResponse, err error, now clock.Micros) {
		c.requesting = false
		if err != nil {
			c.failedAt = now
			q.rejectBatches(c.takeWaiters(), errOwnerUnreachable(), now)
			return
		}
		q.handleShardLease(c, request, response, now)
		q.requestShardLease(name, shardIndex, now)
	})
}

func (c *shardClient) takeWaiters() []*batchWaiter {
	waiters := c.waiters
	c.waiters = nil
	return waiters
}

// handleShardLease admits the batches that fit after a lease request, and rejects the others that
// the request included.
func (q *Quota) handleShardLease(c *shardClient, request LeaseRequest, response LeaseResponse, now clock.Micros) {
	isLatest := c.sequence == request.Report.Sequence || q.InjectedFaults.UseStaleGrants
	isSuperseded := response.Superseded || !isLatest
	for _, w := range c.takeWaiters() {
		switch {
		case w.requests == 0, isSuperseded && w.requests < maxLeaseRequests:
			c.waiters = append(c.waiters, w)
		case isSuperseded:
			q.rejectBatches([]*batchWaiter{w}, errOwnerUnreachable(), now)
		case !q.isServingAt(request.Report, now):
			q.rejectBatches([]*batchWaiter{w}, errNotServing(q.self, request.Report.Queue.Shard), now)
		case q.fitsGrant(response.Granted, w, request):
			q.client(request.Name).admissions.Record(now)
			w.callback(nil, now)
		default:
			q.rejectBatches([]*batchWaiter{w}, q.batchRejection(w, response, now), now)
		}
	}
}

// isServingAt reports whether this daemon still serves the report's shard under the same epoch.
func (q *Quota) isServingAt(report Report, now clock.Micros) bool {
	epoch, isServing := q.Shards.ServingEpoch(report.Queue.Shard, now)
	return isServing && epoch == report.Epoch
}

// fitsGrant reports whether a batch fits into a grant in addition to the work pending in its shard
// now.
func (q *Quota) fitsGrant(granted int, w *batchWaiter, request LeaseRequest) bool {
	return q.Shards.PendingWeight(request.Report.Queue.Shard, request.Name)+w.weight <= granted
}

// batchRejection returns the reason why a batch is not admitted after a lease request.
func (q *Quota) batchRejection(w *batchWaiter, response LeaseResponse, now clock.Micros) error {
	if !response.Ready {
		return errRebuilding()
	}
	return errOverQuota(w.quota, w.weight, q.client(w.quota.Account).admissions.Estimate(w.weight, now))
}

// rejectBatches rejects batches with an error.
func (q *Quota) rejectBatches(waiters []*batchWaiter, err error, now clock.Micros) {
	for _, w := range waiters {
		q.Rejected++
		w.callback(err, now)
	}
}
