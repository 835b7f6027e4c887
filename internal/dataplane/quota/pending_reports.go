package quota

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// This file reports to owners the batches that may have been accepted without a grant: a store that
// receives a configuration late accepts work under an older one that set no limit or counted the
// work in another account. An owner queries only queues that it knows to have something in use, so
// without these reports such work would count only from the store's next submission, which may
// never come.
//
// A store may have to report on very many accounts at once, so the reports for one owner share a
// message, and a report does not open an account of batches: when the account is opened, every
// queue is queried.

// maxReportsPerMessage is the maximum number of reports in one message; all reports on an account
// are in one message.
const maxReportsPerMessage = 512

// ReportPending reports the batches of the given accounts that wait here to the accounts' owners,
// repeatedly until an owner has acknowledged the report.
func (q *Quota) ReportPending(quotas []AccountQuota, now clock.Micros) {
	for _, quota := range quotas {
		q.unacknowledged[quota.Account] = quota
	}
	q.reportPending(now)
}

// reportPending sends all reports that no owner has acknowledged.
func (q *Quota) reportPending(now clock.Micros) {
	byOwner := map[string][]pendingReports{}
	for _, name := range sortedAccounts(q.unacknowledged) {
		reports, isComplete := q.pendingReportsOf(q.unacknowledged[name], now)
		switch {
		case !isComplete:
		case len(reports.requests) == 0:
			delete(q.unacknowledged, name)
		default:
			owner := q.OwnerOf(name)
			byOwner[owner] = append(byOwner[owner], reports)
		}
	}
	for _, owner := range sortedKeys(byOwner) {
		for _, message := range splitReports(byOwner[owner]) {
			q.sendPendingReports(owner, message, now)
		}
	}
}

// pendingReports holds the reports on one account from all shards that a daemon serves.
type pendingReports struct {
	quota    AccountQuota
	requests []LeaseRequest
}

// pendingReportsOf makes a report on each shard that this daemon serves. isComplete is false while
// a lease request is in progress: that request reports on one shard only, and a new report would
// supersede it.
func (q *Quota) pendingReportsOf(quota AccountQuota, now clock.Micros) (reports pendingReports, isComplete bool) {
	reports.quota = quota
	c := q.client(quota.Account)
	for shardIndex := range q.shardMap().Shards {
		if s := c.shards[shardIndex]; s != nil && s.requesting {
			return reports, false
		}
	}
	for shardIndex := range q.shardMap().Shards {
		if report, isServing := q.reportShard(quota.Account, shardIndex, now); isServing && report.InUse > 0 {
			reports.requests = append(reports.requests, newLeaseRequest(quota, report))
		}
	}
	return reports, true
}

// splitReports divides the reports for one owner into messages.
func splitReports(all []pendingReports) [][]pendingReports {
	var out [][]pendingReports
	size := maxReportsPerMessage
	for _, reports := range all {
		if size+len(reports.requests) > maxReportsPerMessage {
			out = append(out, nil)
			size = 0
		}
		size += len(reports.requests)
		out[len(out)-1] = append(out[len(out)-1], reports)
	}
	return out
}

// sendPendingReports sends a message to an owner, which may be this daemon.
func (q *Quota) sendPendingReports(owner string, message []pendingReports, now clock.Micros) {
	var body PendingReports
	for _, reports := range message {
		body.Requests = append(body.Requests, reports.requests...)
	}
	acknowledge := func(response PendingReportsResponse) {
		for _, reports := range message {
			name := reports.quota.Account
			if !slices.Contains(response.Refused, name) && q.unacknowledged[name] == reports.quota {
				delete(q.unacknowledged, name)
			}
		}
	}
	peer := q.peerAddress(owner)
	switch {
	case owner == q.self:
		acknowledge(q.recordPendingReports(body, now))
	case peer != "":
		q.calls.Request(peer, body, leaseRequestTimeout, func(body any, err error, _ clock.Micros) {
			if response, ok := body.(PendingReportsResponse); ok && err == nil {
				acknowledge(response)
			}
		})
	}
}

// recordPendingReports records the reports of a message at the accounts' owner.
func (q *Quota) recordPendingReports(message PendingReports, now clock.Micros) PendingReportsResponse {
	var response PendingReportsResponse
	for _, request := range message.Requests {
		if !q.recordPendingReport(request, now) {
			response.Refused = append(response.Refused, request.Name)
		}
	}
	return response
}

// recordPendingReport records one report; it returns false if this daemon does not own the account.
// An account of batches that is not open stays closed, and one that has to be reopened queries no
// daemon before the next lease request.
func (q *Quota) recordPendingReport(request LeaseRequest, now clock.Micros) bool {
	if request.Name.BatchesOnly() && q.accounts[request.Name] == nil {
		_, ok := q.homeEpoch(request.Name, now)
		return ok
	}
	a := q.findOrOpenAccount(request, now)
	if a == nil {
		return false
	}
	latest := q.latestQuota(request)
	if a.Record(request.Report, now) {
		q.logQuotaExceeded(a, latest, now)
	}
	return true
}

// handlePendingReports answers a message with pending reports from another daemon.
func (q *Quota) handlePendingReports(number uint64, message PendingReports, now clock.Micros) {
	q.calls.Emit(machine.Reply{Call: number, Body: q.recordPendingReports(message, now)})
}
