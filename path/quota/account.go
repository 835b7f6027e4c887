// Package quota watches how much of a customer's work waits over all daemons
// (DESIGN §11): the first live edge in the customer's agreed order holds the
// account under an epoch and lends shares with an end; a successor asks those
// who hold shares before it lends.
package quota

import (
	"sort"

	"tuliprudder/kernel/clock"
)

// LoanSpan is how long a share is lent; LoanGrace is what the holder adds for
// clocks that run unevenly.
const (
	LoanSpan  = 2 * clock.Second
	LoanGrace = 300 * clock.Millisecond
	// StoreLoanSpan is how long what a store holds counts after its last report: items
	// of bundles were accepted, and wait on at the store that takes over.
	StoreLoanSpan = 12 * clock.Second
)

type loan struct {
	count  int
	until  clock.Micros
	passed clock.Micros // since when its work is known to be others'
}

// Account is one customer's account at its holder. It is a plain machine: time
// comes in with each step.
type Account struct {
	Epoch      uint64
	HoldsItems func(borrower string) bool // it holds items of bundles; nil: nobody does
	loans      map[string]loan
	missing    map[string]bool // borrowers that have not told what they hold
	opened     clock.Micros
	used       clock.Micros
	// SkipRebuild is a fault planted by tests: a successor lends at once.
	SkipRebuild bool
}

// Open begins an account under an epoch: it lends nothing until every borrower
// has told what it holds, or what it may hold has ended.
func Open(epoch uint64, borrowers []string, now clock.Micros) *Account {
	a := &Account{Epoch: epoch, loans: map[string]loan{}, missing: map[string]bool{}, opened: now, used: now}
	for _, id := range borrowers {
		a.missing[id] = true
	}
	return a
}

// Told takes a borrower's report of what it holds; it is believed even above the
// allowance, because that work waits already.
func (a *Account) Told(borrower string, held int, now clock.Micros) {
	delete(a.missing, borrower)
	a.used = now
	if held > 0 {
		a.loans[borrower] = loan{count: held, until: now + a.span(borrower)}
	} else {
		delete(a.loans, borrower)
	}
}

func (a *Account) span(borrower string) clock.Micros {
	if a.HoldsItems != nil && a.HoldsItems(borrower) {
		return StoreLoanSpan
	}
	return LoanSpan + LoanGrace
}

// TransferSpan is how long a store that died may take to pass its slots on: its
// items are told by those that took them over.
const TransferSpan = 6 * clock.Second

// StopWaiting gives up waiting for the report of a borrower that is dead, once its slots have
// had time to pass on.
func (a *Account) StopWaiting(borrower string, now clock.Micros) {
	if now-a.opened > TransferSpan {
		delete(a.missing, borrower)
	}
}

// Borrowers lists those who hold loans.
func (a *Account) Borrowers() []string {
	out := make([]string, 0, len(a.loans))
	for id := range a.loans {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// TransferElapsed lets go of a loan whose work is others', once they have had time to tell
// it.
func (a *Account) TransferElapsed(borrower string, now clock.Micros) {
	l := a.loans[borrower]
	if l.passed == 0 {
		l.passed = now
		a.loans[borrower] = l
	} else if now-l.passed >= transferGrace {
		delete(a.loans, borrower)
	}
}

// Missing lists the borrowers still to be asked.
func (a *Account) Missing() []string {
	out := make([]string, 0, len(a.missing))
	for id := range a.missing {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// Ready tells whether the account may lend.
func (a *Account) Ready(now clock.Micros) bool {
	if a.SkipRebuild {
		return true
	}
	for borrower := range a.missing {
		if now-a.opened <= a.span(borrower) {
			return false
		}
	}
	return true
}

// Lend renews what the borrower holds and lends it up to what it wants, within
// the allowance.
func (a *Account) Lend(borrower string, held, want int, allowance int64, now clock.Micros) int {
	a.Told(borrower, held, now)
	if want <= held || !a.Ready(now) {
		return held
	}
	others := 0
	for id, l := range a.loans {
		if now >= l.until {
			delete(a.loans, id)
		} else if id != borrower {
			others += l.count
		}
	}
	granted := max(held, min(want, int(allowance)-others))
	a.loans[borrower] = loan{count: granted, until: now + a.span(borrower)}
	return granted
}

// Lent is how much is lent to whom, for the operators.
func (a *Account) Lent(now clock.Micros) map[string]int {
	out := map[string]int{}
	for id, l := range a.loans {
		if now < l.until {
			out[id] = l.count
		}
	}
	return out
}

// Idle tells whether nobody has used the account for a while.
func (a *Account) Idle(now clock.Micros) bool { return now-a.used > 30*clock.Second }

// Share is a borrower's part of one account.
type Share struct {
	Epoch   uint64 // the highest epoch heard of; answers below it are refused
	Granted int
	InUse   int
	Until   clock.Micros
	failed  clock.Micros   // when an ask last failed
	leaving []clock.Micros // when work left of late, for Retry-After
}

// Room tells whether so much more fits into what was lent.
func (s *Share) Room(count int, now clock.Micros) bool {
	return now < s.Until && s.InUse+count <= s.Granted
}

// Take uses what was lent.
func (s *Share) Take(count int) { s.InUse += count }

// Release returns what was used.
func (s *Share) Release(count int, now clock.Micros) {
	s.InUse = max(0, s.InUse-count)
	if s.leaving = append(s.leaving, now); len(s.leaving) > 32 {
		s.leaving = s.leaving[1:]
	}
}

// Lent takes the holder's answer; one of a lower epoch is refused.
func (s *Share) Lent(epoch uint64, granted int, asked clock.Micros) bool {
	if epoch < s.Epoch {
		return false
	}
	s.Epoch, s.Granted, s.Until = epoch, granted, asked+LoanSpan
	return true
}

// Fence notes a new holder's epoch; what the former one lent beyond what is in
// use is given up.
func (s *Share) Fence(epoch uint64) bool {
	if epoch < s.Epoch {
		return false
	}
	if epoch > s.Epoch {
		s.Epoch, s.Granted, s.Until = epoch, s.InUse, 0
	}
	return true
}

// After is when room for so much more is likely: by the pace at which work has
// left, between half a second and half a minute.
func (s *Share) After(count int, now clock.Micros) clock.Micros {
	if len(s.leaving) < 2 {
		return 2 * clock.Second
	}
	pace := (now - s.leaving[0]) / clock.Micros(len(s.leaving))
	return min(30*clock.Second, max(clock.Second/2, pace*clock.Micros(count)))
}
