package quota

import (
	"sort"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
)

// Quota is one daemon's side: its shares, and the accounts it holds. It is a
// part of the daemon's machine.
type Quota struct {
	Self string
	Wire *machine.Wire
	// Members is the directory as this daemon knows it.
	Members func() []identity.Member
	// Waiting is work that waits here without having been taken one by one
	// (items of bundles at a store).
	Waiting func(customer string) int
	// Map is the map of the stores as this daemon knows it; false before it knows
	// any. Without it nobody can tell who else may hold work, and what this daemon
	// holds is not known either. nil: there are no stores.
	Map func() (state.Map, bool)
	// SkipRebuild is a fault planted by tests: a successor lends at once.
	SkipRebuild bool
	// Boundless is a fault planted by tests: whatever comes is let in.
	Boundless bool

	shares      map[string]*Share
	lastAsked   map[string]LendRequest // allowance and plan of each customer, as last asked
	accounts    map[string]*Account
	allowed     map[string]LendRequest // at the holder: the newest plan's allowance
	waiters     map[string][]*waiter
	asking      map[string]bool
	rounds      map[string]*round
	knownStores map[string]bool // stores that were known when an account was opened
	renew       clock.Micros
	// Lent and Refused count for the operators.
	Lent, Refused int64
}

// Release returns what was taken; a second time it does nothing.
type Release func(now clock.Micros)

// New makes a quota.
func New(self string, wire *machine.Wire, members func() []identity.Member, waiting func(string) int) *Quota {
	return &Quota{Self: self, Wire: wire, Members: members, Waiting: waiting, shares: map[string]*Share{}, lastAsked: map[string]LendRequest{},
		accounts: map[string]*Account{}, allowed: map[string]LendRequest{}, waiters: map[string][]*waiter{}, asking: map[string]bool{}, rounds: map[string]*round{}, knownStores: map[string]bool{}}
}

// Call answers the quota's asks; false for any other.
func (q *Quota) Call(number uint64, body any, now clock.Micros) bool {
	switch ask := body.(type) {
	case LendRequest:
		q.Lend(ask, now, func(answer LendAnswer, _ clock.Micros) { q.Wire.Emit(machine.Answer{Call: number, Body: answer}) })
	case HoldingsRequest:
		if !q.mapped() {
			q.Wire.Emit(machine.Answer{Call: number, Err: errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started", "what is held here is not known yet")})
			return true
		}
		q.Wire.Emit(machine.Answer{Call: number, Body: q.Holdings(ask)})
	default:
		return false
	}
	return true
}

// ClockEvent renews the shares when they are due.
func (q *Quota) ClockEvent(now clock.Micros) {
	if now < q.renew {
		return
	}
	q.renew = now + LoanSpan/4
	// Every holder is told what is held here, and asked for no more. A request that
	// is under way renews as well, and for more: it goes first.
	for _, customer := range sorted(q.lastAsked) {
		if !q.asking[customer] {
			q.renewShare(customer, now)
		}
	}
	q.dropTransferred(now)
	q.forgetIdle(now)
}

func (q *Quota) renewShare(customer string, now clock.Micros) {
	terms, s := q.lastAsked[customer], q.share(customer)
	held := q.held(s, customer)
	if held == 0 && s.Granted == 0 {
		delete(q.lastAsked, customer)
		return
	}
	terms.Held, terms.Want, terms.Epoch = held, held, s.Epoch
	if held == 0 {
		s.Granted = 0
	}
	q.lend(terms, now, func(answer LendAnswer, err error, now clock.Micros) {
		if err != nil {
			// Who came meanwhile is not kept waiting for a second request.
			q.admitWaiters(customer, answer, err, now)
			return
		}
		q.ask(customer, now)
	})
}

// shareKept is how long a share that is not used is remembered after its end.
const shareKept = 600 * clock.Second

// forgetIdle drops accounts and shares that nobody has used for a while.
func (q *Quota) forgetIdle(now clock.Micros) {
	for _, customer := range sorted(q.accounts) {
		if q.accounts[customer].Idle(now) && q.rounds[customer] == nil {
			delete(q.accounts, customer)
			delete(q.allowed, customer)
		}
	}
	for customer, s := range q.shares {
		unused := s.InUse == 0 && s.Granted == 0 && now >= s.Until+shareKept
		if unused && q.waiters[customer] == nil && !q.asking[customer] {
			delete(q.shares, customer)
		}
	}
}

// View is what is held and lent here, for the operators.
func (q *Quota) View(now clock.Micros) map[string]any {
	shares, accounts := map[string]any{}, map[string]any{}
	for customer, s := range q.shares {
		if held := q.held(s, customer); held > 0 || s.Granted > 0 {
			shares[customer] = map[string]any{"held": held, "lent": s.Granted, "epoch": s.Epoch}
		}
	}
	for customer, a := range q.accounts {
		accounts[customer] = map[string]any{"epoch": a.Epoch, "lent": a.Lent(now), "allowance": q.allowed[customer].Allowance, "missing": a.Missing()}
	}
	return map[string]any{"shares": shares, "accounts": accounts}
}

// Totals counts what is held here and lent from here.
func (q *Quota) Totals(now clock.Micros) (held, lent int64) {
	for customer, s := range q.shares {
		held += int64(q.held(s, customer))
	}
	for _, a := range q.accounts {
		for _, count := range a.Lent(now) {
			lent += int64(count)
		}
	}
	return held, lent
}

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}
