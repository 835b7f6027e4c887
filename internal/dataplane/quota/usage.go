package quota

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// This file implements usage queries: an owner requests new reports from the daemons that serve an
// account's queues, and these daemons answer.

// usageRequestTimeout is how long an owner waits for a daemon's reports. It is a fraction of
// leaseRequestTimeout because a client waits while the reports are collected.
const usageRequestTimeout = leaseRequestTimeout / 3

// usageQuery is a group of usage requests for one account whose responses are awaited together.
type usageQuery struct {
	outstanding int                      // responses not yet received or timed out
	callbacks   []func(now clock.Micros) // called once no response is outstanding
}

// queryUsage requests reports on some queues of an account, and invokes the callback when all
// daemons have answered or timed out. There is one query at a time for each account; callers that
// arrive during a query wait for its result.
func (q *Quota) queryUsage(name shard.AccountName, a *Account, queues []Queue, now clock.Micros, callback func(now clock.Micros)) {
	if a.usageQuery != nil {
		a.usageQuery.callbacks = append(a.usageQuery.callbacks, callback)
		return
	}
	requests := q.usageRequests(name, a, queues)
	query := &usageQuery{outstanding: len(requests), callbacks: []func(clock.Micros){callback}}
	if len(requests) == 0 {
		callback(now)
		return
	}
	a.usageQuery = query
	for _, daemonID := range sortedKeys(requests) {
		q.sendUsageRequest(daemonID, *requests[daemonID], now, func(response UsageResponse, now clock.Micros) {
			q.handleUsageResponse(name, a, response, now)
			a.countResponse(query, now)
		})
	}
}

// sendUsageRequest requests reports from a daemon, which may be this one. The callback receives an
// empty response if the request fails or times out.
func (q *Quota) sendUsageRequest(daemonID string, request UsageRequest, now clock.Micros, callback func(UsageResponse, clock.Micros)) {
	if daemonID == q.self {
		callback(q.answerUsageRequest(request, now), now)
		return
	}
	q.calls.Request(q.peerAddress(daemonID), request, usageRequestTimeout, func(body any, _ error, now clock.Micros) {
		response, _ := body.(UsageResponse)
		callback(response, now)
	})
}

// usageRequests returns the requests for reports on some queues, by the daemons that serve them as
// far as this daemon knows. Queues served by a daemon with an unknown address are omitted.
func (q *Quota) usageRequests(name shard.AccountName, a *Account, queues []Queue) map[string]*UsageRequest {
	out := map[string]*UsageRequest{}
	for _, queue := range queues {
		daemonID := q.servingDaemon(queue)
		if daemonID != q.self && q.peerAddress(daemonID) == "" {
			continue
		}
		if out[daemonID] == nil {
			out[daemonID] = &UsageRequest{Name: name, Account: a.ID}
		}
		if queue.isShard() {
			out[daemonID].Shards = append(out[daemonID].Shards, queue.Shard)
		}
	}
	return out
}

// peerAddress returns the address of a store or an edge; "" if this daemon does not know it.
func (q *Quota) peerAddress(daemonID string) string {
	m := q.shardMap()
	if store, ok := m.Stores[daemonID]; ok {
		return store.Peer
	}
	for _, member := range q.members() {
		if member.ID == daemonID {
			return member.Peer
		}
	}
	return ""
}

// handleUsageResponse records a daemon's reports. If the daemon knows a later account, this one is
// dropped, and the next request opens another with a higher id.
func (q *Quota) handleUsageResponse(name shard.AccountName, a *Account, response UsageResponse, now clock.Micros) {
	if response.Account.compare(a.ID) > 0 {
		q.acceptAccount(name, response.Account)
		if q.accounts[name] == a {
			delete(q.accounts, name)
		}
		return
	}
	for _, report := range response.Reports {
		a.Record(report, now)
	}
}

// countResponse counts a response or timeout, and completes the query with the last one.
func (a *Account) countResponse(query *usageQuery, now clock.Micros) {
	query.outstanding--
	if query.outstanding > 0 {
		return
	}
	a.usageQuery = nil
	for _, callback := range query.callbacks {
		callback(now)
	}
}

// answerUsageRequest answers an owner's usage request. From here on this daemon admits nothing more
// until it has a grant for a later report.
func (q *Quota) answerUsageRequest(request UsageRequest, now clock.Micros) UsageResponse {
	if !q.acceptAccount(request.Name, request.Account) {
		return UsageResponse{Account: q.client(request.Name).account}
	}
	if len(request.Shards) == 0 {
		return UsageResponse{Account: request.Account, Reports: []Report{q.reportOwnQueue(request.Name, now)}}
	}
	response := UsageResponse{Account: request.Account}
	for _, shardIndex := range request.Shards {
		if report, ok := q.reportShard(request.Name, shardIndex, now); ok {
			response.Reports = append(response.Reports, report)
		}
	}
	return response
}

// reportOwnQueue reports the usage of live requests here, and relinquishes the unused part of the
// lease.
func (q *Quota) reportOwnQueue(name shard.AccountName, now clock.Micros) Report {
	c := q.liveClient(name)
	c.share.ShrinkTo(c.share.InUse)
	return q.reportLive(name, now)
}
