package quota

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

const (
	// LeaseDuration is how long a daemon may use a lease for its live requests, counted from when
	// it sent the request.
	LeaseDuration = 2 * clock.Second
	// LeaseGrace is how much longer the owner counts such a lease, to allow for clock drift.
	LeaseGrace = 300 * clock.Millisecond

	// maxReportAge is the age from which reports on other queues are refreshed before a request is
	// rejected because of them.
	maxReportAge = 200 * clock.Millisecond
	// lostShardLiveTimeout is how long an account with live requests waits, once opened, for a
	// shard that no daemon serves: live requests do not need the shards themselves, and by then the
	// shards of a lost store are served by others. An account of batches alone waits until the
	// shard is served, or the control state says that it is lost (Quota.isLost).
	lostShardLiveTimeout = 6 * clock.Second
	// accountIdleTimeout is how long an account without requests is kept.
	accountIdleTimeout = 30 * clock.Second
)

// lease is the amount that a queue may have in use, as of the latest report on it.
type lease struct {
	epoch, sequence uint64 // of the latest report
	granted         int
	reportedAt      clock.Micros
}

// Account is the state of one account at its owner. It is a pure state machine; all amounts are
// weights.
//
// Invariant: the lease of a queue is at least what the queue has in use, at every moment and
// wherever the queue is served. A lease is lowered only by reports, and a daemon reports only an
// amount that it will not exceed before a later grant; so the sum of the leases is an upper bound
// of what is in use.
type Account struct {
	ID AccountID
	// batchesOnly is set if the account has no live requests.
	batchesOnly bool
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	leases      map[Queue]lease
	unreported  map[Queue]bool // queues without a report
	lastUsedAt  clock.Micros
	isOverQuota bool        // more than the quota was in use at the latest grant
	usageQuery  *usageQuery // in progress; nil if there is none
}

// OpenAccount returns a new account. It grants nothing until there is a report on each of the given
// queues.
func OpenAccount(id AccountID, batchesOnly bool, queues []Queue) *Account {
	a := &Account{
		ID:          id,
		batchesOnly: batchesOnly,
		leases:      map[Queue]lease{},
		unreported:  map[Queue]bool{},
		lastUsedAt:  id.OpenedAt,
	}
	for _, queue := range queues {
		a.unreported[queue] = true
	}
	return a
}

// Record applies a report. The reported amount is accepted even above the quota, because that work
// is already queued. Record returns false, and changes nothing, if there is a newer report on the
// queue, or if this would be the first report on the queue and was made before the account was
// opened.
func (a *Account) Record(report Report, now clock.Micros) bool {
	known, exists := a.leases[report.Queue]
	isNewer := !exists || report.isNewerThan(known.epoch, known.sequence)
	isForThisAccount := !a.unreported[report.Queue] || report.Account == a.ID
	if !(isNewer && isForThisAccount) && !a.InjectedFaults.AcceptStaleReports {
		return false
	}
	delete(a.unreported, report.Queue)
	a.leases[report.Queue] = lease{
		epoch:      report.Epoch,
		sequence:   report.Sequence,
		granted:    report.InUse,
		reportedAt: now,
	}
	return true
}

// Grant extends the lease of the report's queue up to the wanted amount, as far as the quota
// allows. It returns the amount up to which the queue may admit work, which is less than the queue
// has in use if the quota is exceeded. It returns false, and leaves the lease unchanged, if the
// report is no longer the latest on its queue.
func (a *Account) Grant(report Report, wanted int, quota int64, now clock.Micros) (granted int, ok bool) {
	a.lastUsedAt = now
	l := a.leases[report.Queue]
	isLatest := l.epoch == report.Epoch && l.sequence == report.Sequence
	if !isLatest && !a.InjectedFaults.AcceptStaleReports {
		return 0, false
	}
	available := max(0, int(quota)-a.leasedToOthers(report.Queue, now))
	isReady := a.IsReady(now)
	if wanted > l.granted && isReady {
		l.granted = max(l.granted, min(wanted, available))
		a.leases[report.Queue] = l
	}
	switch {
	case isReady:
		return min(l.granted, available), true
	case report.Queue.isShard():
		return 0, true
	}
	return l.granted, true // granted by a former owner
}

// leasedToOthers returns the sum of the leases of all other queues.
func (a *Account) leasedToOthers(queue Queue, now clock.Micros) int {
	sum := 0
	for other, l := range a.leases {
		if other != queue && !a.hasEnded(other, l, now) {
			sum += l.granted
		}
	}
	return sum
}

// hasEnded reports whether a lease no longer counts. The lease of a shard's queue never expires:
// its batches wait until the next report, whether or not a daemon serves the shard.
func (a *Account) hasEnded(queue Queue, l lease, now clock.Micros) bool {
	return !queue.isShard() && now >= l.reportedAt+LeaseDuration+LeaseGrace
}

// removeEnded removes expired leases.
func (a *Account) removeEnded(now clock.Micros) {
	maps.DeleteFunc(a.leases, func(queue Queue, l lease) bool { return a.hasEnded(queue, l, now) })
}

// IsReady reports whether the account may grant: for each queue there is a report, or the time to
// wait for one has passed.
func (a *Account) IsReady(now clock.Micros) bool {
	if a.InjectedFaults.SkipRebuild {
		return true
	}
	for queue := range a.unreported {
		if timeout, isLimited := a.reportTimeout(queue); !isLimited || now-a.ID.OpenedAt <= timeout {
			return false
		}
	}
	return true
}

// reportTimeout returns how long the account waits for the first report on a queue; isLimited is
// false if it waits indefinitely.
func (a *Account) reportTimeout(queue Queue) (timeout clock.Micros, isLimited bool) {
	switch {
	case !queue.isShard():
		return LeaseDuration + LeaseGrace, true
	case a.batchesOnly:
		return 0, false
	}
	return lostShardLiveTimeout, true
}

// RemoveQueue removes a queue whose work is permanently lost.
func (a *Account) RemoveQueue(queue Queue) {
	delete(a.unreported, queue)
	delete(a.leases, queue)
}

// QueuesToQuery returns the queues to query before a request is answered: those without a report
// while the account is not ready, all others if the request's report was made for a different
// account, and the shards with stale reports if the request does not fit into the quota.
func (a *Account) QueuesToQuery(request LeaseRequest, quota int64, now clock.Micros) []Queue {
	switch {
	case a.unreported[request.Report.Queue]:
		return a.Unreported()
	case request.Report.Account != a.ID:
		// The client, or another owner, may have newer information than this account.
		return a.queuesExcept(request.Report.Queue)
	case request.Wanted <= request.Report.InUse:
		return nil
	case !a.IsReady(now):
		return a.Unreported()
	case int64(request.Wanted+a.leasedToOthers(request.Report.Queue, now)) <= quota:
		return nil
	}
	var out []Queue
	for queue, l := range a.leases {
		isStale := now-l.reportedAt > maxReportAge
		if queue != request.Report.Queue && queue.isShard() && l.granted > 0 && isStale {
			out = append(out, queue)
		}
	}
	sortQueues(out)
	return out
}

// queuesExcept returns all queues except the given one.
func (a *Account) queuesExcept(queue Queue) []Queue {
	out := a.Unreported()
	for other := range a.leases {
		if other != queue {
			out = append(out, other)
		}
	}
	sortQueues(out)
	return out
}

// Unreported returns the queues without a report, sorted.
func (a *Account) Unreported() []Queue {
	out := slices.AppendSeq(make([]Queue, 0, len(a.unreported)), maps.Keys(a.unreported))
	sortQueues(out)
	return out
}

// Leases returns the size of each lease that counts now, by queue.
func (a *Account) Leases(now clock.Micros) map[Queue]int {
	out := map[Queue]int{}
	for queue, l := range a.leases {
		if l.granted > 0 && !a.hasEnded(queue, l, now) {
			out[queue] = l.granted
		}
	}
	return out
}

// IsIdle reports whether the account has had no request for accountIdleTimeout.
func (a *Account) IsIdle(now clock.Micros) bool {
	return a.usageQuery == nil && now-a.lastUsedAt > accountIdleTimeout
}

// sortQueues sorts queues: effects are emitted in this order, which must not differ between runs.
func sortQueues(queues []Queue) {
	slices.SortFunc(queues, func(x, y Queue) int {
		return cmp.Or(cmp.Compare(x.Daemon, y.Daemon), cmp.Compare(x.Shard, y.Shard))
	})
}

// sortedAccounts returns the accounts of a map in an order that does not differ between runs.
func sortedAccounts[V any](m map[shard.AccountName]V) []shard.AccountName {
	return slices.SortedFunc(maps.Keys(m), shard.AccountName.Compare)
}

// sortedKeys returns the keys of a map, sorted: effects are emitted in this order, which must not
// differ between runs. The list is never nil, because it is encoded as a JSON array.
func sortedKeys[V any](m map[string]V) []string {
	out := slices.AppendSeq(make([]string, 0, len(m)), maps.Keys(m))
	slices.Sort(out)
	return out
}
