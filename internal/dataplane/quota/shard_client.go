package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// This file is the client's side for batches, which wait in the shards that a store serves. It
// keeps no lease: what is granted is in use at once, or given up.

// Shards are the shards of a store, which serves some of them.
type Shards interface {
	// ServingEpoch is the epoch under which this daemon serves a shard at a time: no other
	// daemon does then. It is false where this one doesn't, or can't be sure.
	ServingEpoch(shardIndex int, now clock.Micros) (epoch uint64, ok bool)
	// PendingWeight is the weight of an account's work in a shard that this daemon serves. A
	// successor finds no more than that, as long as nothing is admitted.
	PendingWeight(shardIndex int, account shard.AccountName) int
	// PendingWeights are the weights in all shards that this daemon serves, by account.
	PendingWeights(now clock.Micros) map[shard.AccountName]int
}

// maxLeaseRequests is how many lease requests a batch may need because its shard's report was
// superseded while one was under way.
const maxLeaseRequests = 4

// shardClient is an account's part of one shard.
type shardClient struct {
	waiters    []*batchWaiter // the oldest first
	requesting bool           // a lease request is under way
	sequence   uint64         // of the latest report
	failedAt   clock.Micros   // when a request failed last
}

// batchWaiter is a batch that waits for its grant.
type batchWaiter struct {
	quota    AccountQuota
	weight   int
	requests int // how many lease requests have included it
	callback func(err error, now clock.Micros)
}

// ReserveInShard asks for the given weight of an account's quota for a batch in a shard that this
// daemon serves. The callback is called once, at once or when the account's owner has answered.
// Without an error it has to queue the batch in the shard in the same step; an error means that
// the batch must not be queued; its kind is errs.OverQuota, or errs.NotReady while the account
// can't be used.
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

// shardClient is the account's part of a shardClient.
func (c *client) shardClient(shardIndex int) *shardClient {
	if c.shards == nil {
		c.shards = map[int]*shardClient{}
	}
	if c.shards[shardIndex] == nil {
		c.shards[shardIndex] = &shardClient{}
	}
	return c.shards[shardIndex]
}

// reportShard reports on a shard's queue; false where this daemon doesn't serve the shard. A
// grant that answers an earlier report is refused from here on.
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

// requestShardLease asks the owner for all batches that wait. There is one request at a time for
// each shard.
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
// it was for.
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

// isServingAt tells whether this daemon still serves a report's shard under the same epoch.
func (q *Quota) isServingAt(report Report, now clock.Micros) bool {
	epoch, isServing := q.Shards.ServingEpoch(report.Queue.Shard, now)
	return isServing && epoch == report.Epoch
}

// fitsGrant tells whether a batch fits into a grant beside what is pending in its shard now.
func (q *Quota) fitsGrant(granted int, w *batchWaiter, request LeaseRequest) bool {
	return q.Shards.PendingWeight(request.Report.Queue.Shard, request.Name)+w.weight <= granted
}

// batchRejection is why a batch isn't admitted after a lease request.
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
