// Package quota watches how much of a tenant's work waits over all daemons
// (DESIGN §11): the first live edge in the tenant's agreed order holds the
// account under an epoch and lends shares with an end; a successor asks those
// who hold shares before it lends.
package quota

import (
	"sort"

	"tuliprudder/internal/clock"
)

// LeaseDuration is how long a share is lent; LeaseGrace is what the holder adds for
// clocks that run unevenly.
const (
	LeaseDuration = 2 * clock.Second
	LeaseGrace    = 300 * clock.Millisecond
	// StoreLeaseDuration is how long what a store holds counts after its last report: items
	// of batches were accepted, and wait on at the store that takes over.
	StoreLeaseDuration = 12 * clock.Second
)

type lease struct {
	count         int
	expiresAt     clock.Micros
	transferredAt clock.Micros // since when its work is known to be others'
}

// Account is one tenant's account at its holder. It is a plain machine: time
// comes in with each step.
type Account struct {
	Epoch      uint64
	IsStore    func(daemonID string) bool // it holds items of batches; nil: nobody does
	leases     map[string]lease
	unreported map[string]bool // borrowers that have not told what they hold
	openedAt   clock.Micros
	lastUsedAt clock.Micros
	// SkipRebuild is a fault planted by tests: a successor lends at once.
	SkipRebuild bool
}

// OpenAccount begins an account under an epoch: it lends nothing until every borrower
// has told what it holds, or what it may hold has ended.
func OpenAccount(epoch uint64, daemonIDs []string, now clock.Micros) *Account {
	a := &Account{Epoch: epoch, leases: map[string]lease{}, unreported: map[string]bool{}, openedAt: now, lastUsedAt: now}
	for _, id := range daemonIDs {
		a.unreported[id] = true
	}
	return a
}

// RecordUsage takes a borrower's report of what it holds; it is believed even above the
// quota, because that work waits already.
func (a *Account) RecordUsage(daemonID string, inUse int, now clock.Micros) {
	delete(a.unreported, daemonID)
	a.lastUsedAt = now
	if inUse > 0 {
		a.leases[daemonID] = lease{count: inUse, expiresAt: now + a.leaseDuration(daemonID)}
	} else {
		delete(a.leases, daemonID)
	}
}

func (a *Account) leaseDuration(daemonID string) clock.Micros {
	if a.IsStore != nil && a.IsStore(daemonID) {
		return StoreLeaseDuration
	}
	return LeaseDuration + LeaseGrace
}

// TransferTimeout is how long a store that died may take to pass its slots on: its
// items are told by those that took them over.
const TransferTimeout = 6 * clock.Second

// StopWaitingFor gives up waiting for the report of a borrower that is dead, once its slots have
// had time to pass on.
func (a *Account) StopWaitingFor(daemonID string, now clock.Micros) {
	if now-a.openedAt > TransferTimeout {
		delete(a.unreported, daemonID)
	}
}

// LeaseHolders lists those who hold loans.
func (a *Account) LeaseHolders() []string {
	out := make([]string, 0, len(a.leases))
	for id := range a.leases {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// ReleaseTransferred lets go of a loan whose work is others', once they have had time to tell
// it.
func (a *Account) ReleaseTransferred(daemonID string, now clock.Micros) {
	l := a.leases[daemonID]
	if l.transferredAt == 0 {
		l.transferredAt = now
		a.leases[daemonID] = l
	} else if now-l.transferredAt >= transferGrace {
		delete(a.leases, daemonID)
	}
}

// Unreported lists the borrowers still to be asked.
func (a *Account) Unreported() []string {
	out := make([]string, 0, len(a.unreported))
	for id := range a.unreported {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// IsReady tells whether the account may lend.
func (a *Account) IsReady(now clock.Micros) bool {
	if a.SkipRebuild {
		return true
	}
	for daemonID := range a.unreported {
		if now-a.openedAt <= a.leaseDuration(daemonID) {
			return false
		}
	}
	return true
}

// Grant renews what the borrower holds and lends it up to what it wants, within
// the quota.
func (a *Account) Grant(daemonID string, inUse, wanted int, quota int64, now clock.Micros) int {
	a.RecordUsage(daemonID, inUse, now)
	if wanted <= inUse || !a.IsReady(now) {
		return inUse
	}
	others := 0
	for id, l := range a.leases {
		if now >= l.expiresAt {
			delete(a.leases, id)
		} else if id != daemonID {
			others += l.count
		}
	}
	granted := max(inUse, min(wanted, int(quota)-others))
	a.leases[daemonID] = lease{count: granted, expiresAt: now + a.leaseDuration(daemonID)}
	return granted
}

// Granted is how much is lent to whom, for the operators.
func (a *Account) Granted(now clock.Micros) map[string]int {
	out := map[string]int{}
	for id, l := range a.leases {
		if now < l.expiresAt {
			out[id] = l.count
		}
	}
	return out
}

// IsIdle tells whether nobody has used the account for a while.
func (a *Account) IsIdle(now clock.Micros) bool { return now-a.lastUsedAt > 30*clock.Second }

// Share is a borrower's part of one account.
type Share struct {
	Epoch        uint64 // the highest epoch heard of; answers below it are refused
	Granted      int
	InUse        int
	ExpiresAt    clock.Micros
	failedAt     clock.Micros   // when an ask last failed
	releaseTimes []clock.Micros // when work left of late, for Retry-After
}

// HasCapacity tells whether so much more fits into what was lent.
func (s *Share) HasCapacity(count int, now clock.Micros) bool {
	return now < s.ExpiresAt && s.InUse+count <= s.Granted
}

// Reserve uses what was lent.
func (s *Share) Reserve(count int) { s.InUse += count }

// Release returns what was used.
func (s *Share) Release(count int, now clock.Micros) {
	s.InUse = max(0, s.InUse-count)
	if s.releaseTimes = append(s.releaseTimes, now); len(s.releaseTimes) > 32 {
		s.releaseTimes = s.releaseTimes[1:]
	}
}

// ApplyGrant takes the holder's answer; one of a lower epoch is refused.
func (s *Share) ApplyGrant(epoch uint64, granted int, sent clock.Micros) bool {
	if epoch < s.Epoch {
		return false
	}
	s.Epoch, s.Granted, s.ExpiresAt = epoch, granted, sent+LeaseDuration
	return true
}

// Fence notes a new holder's epoch; what the former one lent beyond what is in
// use is given up.
func (s *Share) Fence(epoch uint64) bool {
	if epoch < s.Epoch {
		return false
	}
	if epoch > s.Epoch {
		s.Epoch, s.Granted, s.ExpiresAt = epoch, s.InUse, 0
	}
	return true
}

// RetryAfter is when room for so much more is likely: by the pace at which work has
// left, between half a second and half a minute.
func (s *Share) RetryAfter(count int, now clock.Micros) clock.Micros {
	if len(s.releaseTimes) < 2 {
		return 2 * clock.Second
	}
	interval := (now - s.releaseTimes[0]) / clock.Micros(len(s.releaseTimes))
	return min(30*clock.Second, max(clock.Second/2, interval*clock.Micros(count)))
}
