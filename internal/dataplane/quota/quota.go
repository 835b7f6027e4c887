package quota

import (
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Quota is one daemon's side: its shares, and the accounts it holds. It is a
// part of the daemon's machine.
type Quota struct {
	Self  string
	Calls *machine.Calls
	// Members is the directory as this daemon knows it.
	Members func() []membership.Member
	// QueuedItems is work that waits here without having been taken one by one
	// (items of batches at a store).
	QueuedItems func(tenant string) int
	// ShardMap is the map of the stores as this daemon knows it; false before it knows
	// any. Without it nobody can tell who else may hold work, and what this daemon
	// holds is not known either. nil: there are no stores.
	ShardMap func() (state.Map, bool)
	// SkipRebuild is a fault planted by tests: a successor lends at once.
	SkipRebuild bool
	// Unlimited is a fault planted by tests: whatever comes is let in.
	Unlimited bool

	shares       map[string]*Share
	lastRequests map[string]LeaseRequest // quota and configuration of each tenant, as last asked
	accounts     map[string]*Account
	latestQuotas map[string]LeaseRequest // at the holder: the newest configuration's quota
	waiters      map[string][]*waiter
	requesting   map[string]bool
	rebuilds     map[string]*rebuildRound
	knownStores  map[string]bool // stores that were known when an account was opened
	nextRenewal  clock.Micros
	// LeasesGranted and Refused count for the operators.
	LeasesGranted, Rejected int64
}

// Release returns what was taken; a second time it does nothing.
type Release func(now clock.Micros)

// New makes a quota.
func New(self string, calls *machine.Calls, members func() []membership.Member, queuedItems func(string) int) *Quota {
	return &Quota{Self: self, Calls: calls, Members: members, QueuedItems: queuedItems, shares: map[string]*Share{}, lastRequests: map[string]LeaseRequest{},
		accounts: map[string]*Account{}, latestQuotas: map[string]LeaseRequest{}, waiters: map[string][]*waiter{}, requesting: map[string]bool{}, rebuilds: map[string]*rebuildRound{}, knownStores: map[string]bool{}}
}

// Call answers the quota's asks; false for any other.
func (q *Quota) Call(number uint64, body any, now clock.Micros) bool {
	switch request := body.(type) {
	case LeaseRequest:
		q.HandleLeaseRequest(request, now, func(reply LeaseResponse, _ clock.Micros) { q.Calls.Emit(machine.Reply{Call: number, Body: reply}) })
	case UsageRequest:
		if !q.knowsShardMap() {
			q.Calls.Emit(machine.Reply{Call: number, Err: errs.NewWithRetry(errs.NotReady, clock.Second, "ask again; the daemon has just started", "what is held here is not known yet")})
			return true
		}
		q.Calls.Emit(machine.Reply{Call: number, Body: q.HandleUsageRequest(request)})
	default:
		return false
	}
	return true
}

// Tick renews the shares when they are due.
func (q *Quota) Tick(now clock.Micros) {
	if now < q.nextRenewal {
		return
	}
	q.nextRenewal = now + LeaseDuration/4
	// Every holder is told what is held here, and asked for no more. A request that
	// is under way renews as well, and for more: it goes first.
	for _, tenant := range sortedKeys(q.lastRequests) {
		if !q.requesting[tenant] {
			q.renewShare(tenant, now)
		}
	}
	q.releaseTransferred(now)
	q.forgetIdle(now)
}

func (q *Quota) renewShare(tenant string, now clock.Micros) {
	last, s := q.lastRequests[tenant], q.share(tenant)
	inUse := q.inUse(s, tenant)
	if inUse == 0 && s.Granted == 0 {
		delete(q.lastRequests, tenant)
		return
	}
	last.InUse, last.Wanted, last.Epoch = inUse, inUse, s.Epoch
	if inUse == 0 {
		s.Granted = 0
	}
	q.sendLeaseRequest(last, now, func(reply LeaseResponse, err error, now clock.Micros) {
		if err != nil {
			// Who came meanwhile is not kept waiting for a second request.
			q.admitWaiters(tenant, reply, err, now)
			return
		}
		q.requestLease(tenant, now)
	})
}

// unusedShareTTL is how long a share that is not used is remembered after its end.
const unusedShareTTL = 600 * clock.Second

// forgetIdle drops accounts and shares that nobody has used for a while.
func (q *Quota) forgetIdle(now clock.Micros) {
	for _, tenant := range sortedKeys(q.accounts) {
		if q.accounts[tenant].IsIdle(now) && q.rebuilds[tenant] == nil {
			delete(q.accounts, tenant)
			delete(q.latestQuotas, tenant)
		}
	}
	for tenant, s := range q.shares {
		unused := s.InUse == 0 && s.Granted == 0 && now >= s.ExpiresAt+unusedShareTTL
		if unused && q.waiters[tenant] == nil && !q.requesting[tenant] {
			delete(q.shares, tenant)
		}
	}
}

// Snapshot is what is held and lent here, for the operators.
func (q *Quota) Snapshot(now clock.Micros) map[string]any {
	shares, accounts := map[string]any{}, map[string]any{}
	for tenant, s := range q.shares {
		if inUse := q.inUse(s, tenant); inUse > 0 || s.Granted > 0 {
			shares[tenant] = map[string]any{"held": inUse, "lent": s.Granted, "epoch": s.Epoch}
		}
	}
	for tenant, a := range q.accounts {
		accounts[tenant] = map[string]any{"epoch": a.Epoch, "lent": a.Granted(now), "allowance": q.latestQuotas[tenant].Quota, "missing": a.Unreported()}
	}
	return map[string]any{"shares": shares, "accounts": accounts}
}

// Totals counts what is held here and lent from here.
func (q *Quota) Totals(now clock.Micros) (inUse, granted int64) {
	for tenant, s := range q.shares {
		inUse += int64(q.inUse(s, tenant))
	}
	for _, a := range q.accounts {
		for _, count := range a.Granted(now) {
			granted += int64(count)
		}
	}
	return inUse, granted
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}
