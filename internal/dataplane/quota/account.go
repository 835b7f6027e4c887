package quota

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
)

const (
	// LeaseDuration is how long a client may use a lease after it asked for it.
	LeaseDuration = 2 * clock.Second
	// LeaseGrace is how much longer the owner counts a lease, for clocks that run
	// unevenly.
	LeaseGrace = 300 * clock.Millisecond
	// StoreLeaseDuration is how long a store's lease counts after its latest report: its
	// batch items were accepted, and stay queued at the store that takes over.
	StoreLeaseDuration = 12 * clock.Second
	// TransferTimeout is how long a new owner waits for the report of a store that
	// died: by then its shards have new owners, which report its items.
	TransferTimeout = 6 * clock.Second

	// transferGrace is how long after a lost store's last shard got a new owner that one
	// has had time to report what it took over.
	transferGrace = 1500 * clock.Millisecond
	// accountIdleTimeout is how long an account without reports is kept.
	accountIdleTimeout = 30 * clock.Second
	// unusedShareTTL is how long an unused share is kept, with its epoch.
	unusedShareTTL = 600 * clock.Second
)

// lease is what a client may use, or has reported in use.
type lease struct {
	count         int
	expiresAt     clock.Micros // counted up to here
	transferredAt clock.Micros // since when its work is known to be others'; 0: it is not
}

// Account is one tenant's account at its owner. It is a plain state machine; all
// amounts are weights.
type Account struct {
	// Epoch rises with each owner.
	Epoch uint64
	// IsStore tells whether a daemon holds batch items; nil: none does.
	IsStore func(daemonID string) bool
	// InjectedFaults are set by tests only.
	InjectedFaults InjectedFaults

	leases     map[string]lease // by daemon
	unreported map[string]bool  // daemons that have not said yet what they have in use
	openedAt   clock.Micros
	lastUsedAt clock.Micros
	exceeded   bool // more than the quota was counted at the latest grant
}

// OpenAccount begins an account under an epoch. It grants nothing until each of these
// daemons has reported what it has in use, or any lease of it has expired.
func OpenAccount(epoch uint64, daemonIDs []string, now clock.Micros) *Account {
	a := &Account{Epoch: epoch, leases: map[string]lease{}, unreported: map[string]bool{}, openedAt: now, lastUsedAt: now}
	for _, id := range daemonIDs {
		a.unreported[id] = true
	}
	return a
}

// RecordUsage takes a client's report of what it has in use. It is believed even above
// the quota, because that work is queued already.
func (a *Account) RecordUsage(daemonID string, inUse int, now clock.Micros) {
	delete(a.unreported, daemonID)
	a.lastUsedAt = now
	if inUse <= 0 {
		delete(a.leases, daemonID)
		return
	}
	a.setLease(daemonID, inUse, now)
}

func (a *Account) setLease(daemonID string, count int, now clock.Micros) {
	a.leases[daemonID] = lease{count: count, expiresAt: now + a.leaseDuration(daemonID)}
}

// leaseDuration is how long a lease of the daemon is counted.
func (a *Account) leaseDuration(daemonID string) clock.Micros {
	if a.IsStore != nil && a.IsStore(daemonID) {
		return StoreLeaseDuration
	}
	return LeaseDuration + LeaseGrace
}

// Grant renews the client's lease with what it has in use, and extends it up to what it
// wants as far as the quota allows. It returns the lease's size, at least inUse.
func (a *Account) Grant(daemonID string, inUse, wanted int, quota int64, now clock.Micros) int {
	a.RecordUsage(daemonID, inUse, now)
	if wanted <= inUse || !a.IsReady(now) {
		return inUse
	}
	available := int(quota) - a.leasedToOthers(daemonID, now)
	granted := max(inUse, min(wanted, available))
	a.setLease(daemonID, granted, now)
	return granted
}

// leasedToOthers sums up the leases of all other daemons, and forgets expired ones.
func (a *Account) leasedToOthers(daemonID string, now clock.Micros) int {
	sum := 0
	for id, l := range a.leases {
		switch {
		case now >= l.expiresAt:
			delete(a.leases, id)
		case id != daemonID:
			sum += l.count
		}
	}
	return sum
}

// IsReady tells whether the account may grant: every daemon has reported, or any lease of
// those that have not has expired.
func (a *Account) IsReady(now clock.Micros) bool {
	if a.InjectedFaults.SkipRebuild {
		return true
	}
	for daemonID := range a.unreported {
		if now-a.openedAt <= a.leaseDuration(daemonID) {
			return false
		}
	}
	return true
}

// Unreported lists the daemons still to be asked, sorted.
func (a *Account) Unreported() []string { return sortedKeys(a.unreported) }

// StopWaitingFor gives up the report of a dead daemon, once its shards have had time to
// get new owners.
func (a *Account) StopWaitingFor(daemonID string, now clock.Micros) {
	if now-a.openedAt > TransferTimeout {
		delete(a.unreported, daemonID)
	}
}

// LeaseHolders lists the daemons that have leases, sorted.
func (a *Account) LeaseHolders() []string { return sortedKeys(a.leases) }

// ReleaseTransferred drops the lease of a daemon whose work others have taken over, once
// those have had time to report it.
func (a *Account) ReleaseTransferred(daemonID string, now clock.Micros) {
	l := a.leases[daemonID]
	switch {
	case l.transferredAt == 0:
		l.transferredAt = now
		a.leases[daemonID] = l
	case now-l.transferredAt >= transferGrace:
		delete(a.leases, daemonID)
	}
}

// Granted is the size of each lease that counts now, by daemon, for the operators.
func (a *Account) Granted(now clock.Micros) map[string]int {
	out := map[string]int{}
	for id, l := range a.leases {
		if now < l.expiresAt {
			out[id] = l.count
		}
	}
	return out
}

// IsIdle tells whether there was no report for a while.
func (a *Account) IsIdle(now clock.Micros) bool { return now-a.lastUsedAt > accountIdleTimeout }

// sortedKeys lists a map's keys in an order that doesn't differ between runs: effects
// are emitted in it.
// The list is never nil, as it is shown as a JSON array.
func sortedKeys[V any](m map[string]V) []string {
	out := slices.AppendSeq(make([]string, 0, len(m)), maps.Keys(m))
	slices.Sort(out)
	return out
}
