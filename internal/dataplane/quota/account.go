package quota

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

const (
	// LeaseDuration is how long a daemon may use a lease for its live requests after it asked
	// for it.
	LeaseDuration = 2 * clock.Second
	// LeaseGrace is how much longer the owner counts such a lease, for clocks that run
	// unevenly.
	LeaseGrace = 300 * clock.Millisecond

	// maxReportAge is how old the reports on other queues may be when a request is rejected
	// because of them.
	maxReportAge = 200 * clock.Millisecond
	// lostShardLiveTimeout is how long an account with live requests waits, once opened, for a shard
	// that nobody serves: live requests don't need the shards themselves, and by then a lost store's
	// shards are served by others. An account of batches alone waits until the shard is served, or
	// the control state says that it is lost (Quota.isLost).
	lostShardLiveTimeout = 6 * clock.Second
	// accountIdleTimeout is how long an account without requests is kept.
	accountIdleTimeout = 30 * clock.Second
)

// lease is what a queue may have in use, by the latest report on it.
type lease struct {
	epoch, sequence uint64 // of the latest report
	granted         int
	reportedAt      clock.Micros
}

// Account is one account at its owner. It is a plain state machine; all
// amounts are weights.
//
// The invariant: a queue's lease is at least what the queue has in use, at every moment and
// wherever the queue is served. It is lowered by reports alone, and a daemon reports only what it
// keeps to until a later grant; so the sum of the leases is an upper bound of what is in use.
type Account struct {
	ID AccountID
	// batchesOnly: there are no live requests in it.
	batchesOnly bool
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	leases      map[Queue]lease
	unreported  map[Queue]bool // queues on which there is no report yet
	lastUsedAt  clock.Micros
	isOverQuota bool        // more than the quota was in use at the latest grant
	usageQuery  *usageQuery // under way; nil: none is
}

// OpenAccount begins an account. It grants nothing until there is a report on each of these queues.
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

// Record takes a report. What is in use is believed even above the quota, because that work is
// queued already. It returns false, and changes nothing, where there is a newer report on the
// queue, and where the first report on a queue was made before the account was opened.
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

// Grant extends the lease of a report's queue up to what is wanted, as far as the quota allows. It
// returns up to how much in use the queue may admit: less than is in use there, where more than the
// quota is. It returns false, and changes nothing, where the report is no longer the latest on its
// queue.
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
	return l.granted, true // a former owner has granted it
}

// leasedToOthers sums up the leases of all other queues.
func (a *Account) leasedToOthers(queue Queue, now clock.Micros) int {
	sum := 0
	for other, l := range a.leases {
		if other != queue && !a.hasEnded(other, l, now) {
			sum += l.granted
		}
	}
	return sum
}

// hasEnded tells whether a lease counts no more. That of a shard's queue never expires: its
// batches wait, whether somebody serves the shard or not, until the next report.
func (a *Account) hasEnded(queue Queue, l lease, now clock.Micros) bool {
	return !queue.isShard() && now >= l.reportedAt+LeaseDuration+LeaseGrace
}

// removeEnded forgets the leases that have expired.
func (a *Account) removeEnded(now clock.Micros) {
	maps.DeleteFunc(a.leases, func(queue Queue, l lease) bool { return a.hasEnded(queue, l, now) })
}

// IsReady tells whether the account may grant: what is in use is known of every queue, or any
// lease of it has expired.
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

// reportTimeout is how long the account waits for the first report on a queue; false where it waits
// for as long as it takes.
func (a *Account) reportTimeout(queue Queue) (timeout clock.Micros, isLimited bool) {
	switch {
	case !queue.isShard():
		return LeaseDuration + LeaseGrace, true
	case a.batchesOnly:
		return 0, false
	}
	return lostShardLiveTimeout, true
}

// RemoveQueue drops a queue whose work is lost for good.
func (a *Account) RemoveQueue(queue Queue) {
	delete(a.unreported, queue)
	delete(a.leases, queue)
}

// QueuesToQuery lists the queues to be asked before a request is answered: while the account is not
// ready, those without a report; where the request doesn't fit into the quota, the shards whose
// reports are old.
func (a *Account) QueuesToQuery(request LeaseRequest, quota int64, now clock.Micros) []Queue {
	switch {
	case a.unreported[request.Report.Queue]:
		return a.Unreported()
	case request.Report.Account != a.ID:
		// The client, or another owner, may know more than this account.
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

// queuesExcept lists all queues but one.
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

// Unreported lists the queues on which there is no report yet, sorted.
func (a *Account) Unreported() []Queue {
	out := slices.AppendSeq(make([]Queue, 0, len(a.unreported)), maps.Keys(a.unreported))
	sortQueues(out)
	return out
}

// Leases is the size of each lease that counts now, by queue.
func (a *Account) Leases(now clock.Micros) map[Queue]int {
	out := map[Queue]int{}
	for queue, l := range a.leases {
		if l.granted > 0 && !a.hasEnded(queue, l, now) {
			out[queue] = l.granted
		}
	}
	return out
}

// IsIdle tells whether there was no request for a while.
func (a *Account) IsIdle(now clock.Micros) bool {
	return a.usageQuery == nil && now-a.lastUsedAt > accountIdleTimeout
}

// sortQueues puts queues into an order that doesn't differ between runs: effects are emitted in
// it.
func sortQueues(queues []Queue) {
	slices.SortFunc(queues, func(x, y Queue) int {
		return cmp.Or(cmp.Compare(x.Daemon, y.Daemon), cmp.Compare(x.Shard, y.Shard))
	})
}

// sortedAccounts lists accounts in an order that doesn't differ between runs.
func sortedAccounts[V any](m map[shard.AccountName]V) []shard.AccountName {
	return slices.SortedFunc(maps.Keys(m), shard.AccountName.Compare)
}

// sortedKeys lists a map's keys in an order that doesn't differ between runs: effects
// are emitted in it.
// The list is never nil, as it is shown as a JSON array.
func sortedKeys[V any](m map[string]V) []string {
	out := slices.AppendSeq(make([]string, 0, len(m)), maps.Keys(m))
	slices.Sort(out)
	return out
}
