package quota

import (
	"slices"
	"sort"

	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/transport"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

// Messages between borrowers and holders.
type (
	// LendRequest renews a share and asks for more.
	LendRequest struct {
		Customer   string
		Borrower   string
		Epoch      uint64 // the highest the borrower has heard of
		Held, Want int
		Allowance  int64
		Plan       uint64 // version of the plan the allowance is from
	}
	// LendAnswer is what is lent; Ready false while the account is rebuilt.
	LendAnswer struct {
		Epoch   uint64
		Granted int
		Ready   bool
	}
	// HoldingsRequest is a new holder's question to every daemon.
	HoldingsRequest struct {
		Customer string
		Epoch    uint64
	}
	// Holdings is what the daemon holds; Stale if it knows a higher epoch.
	Holdings struct {
		Held  int
		Epoch uint64
		Stale bool
	}
)

func init() { transport.Register(LendRequest{}, LendAnswer{}, HoldingsRequest{}, Holdings{}) }

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

// waiter waits for room in a share.
type waiter struct {
	count     int
	allowance int64
	plan      uint64
	asked     bool // the ask under way is for this one too
	back      func(release Release, err error, now clock.Micros)
}

// Release returns what was taken; a second time it does nothing.
type Release func(now clock.Micros)

// round is one asking of those who have not told what they hold.
type round struct {
	left int
	then []func(now clock.Micros)
}

// New makes a quota.
func New(self string, wire *machine.Wire, members func() []identity.Member, waiting func(string) int) *Quota {
	return &Quota{Self: self, Wire: wire, Members: members, Waiting: waiting, shares: map[string]*Share{}, lastAsked: map[string]LendRequest{},
		accounts: map[string]*Account{}, allowed: map[string]LendRequest{}, waiters: map[string][]*waiter{}, asking: map[string]bool{}, rounds: map[string]*round{}, knownStores: map[string]bool{}}
}

func (q *Quota) share(customer string) *Share {
	s := q.shares[customer]
	if s == nil {
		s = &Share{}
		q.shares[customer] = s
	}
	return s
}

// waitingHere is what waits here of a customer without having been taken.
func (q *Quota) waitingHere(customer string) int {
	if q.Waiting == nil {
		return 0
	}
	return q.Waiting(customer)
}

// held is all that waits here of a customer.
func (q *Quota) held(s *Share, customer string) int { return s.InUse + q.waitingHere(customer) }

const lendExpiry = 600 * clock.Millisecond

// failedFor is how long nobody asks again after an ask that failed: those who
// wait behind it are rejected at once.
const failedFor = 400 * clock.Millisecond

// maxWaiters is how many may wait for one customer's ask; more are rejected.
const maxWaiters = 4096

// Take reserves waiting work; back is told once. An error turns the order away,
// and nothing of it has run or will.
func (q *Quota) Take(customer string, allowance int64, plan uint64, count int, now clock.Micros, back func(Release, error, clock.Micros)) {
	if int64(count) > allowance {
		back(nil, errs.New(errs.OverAllowance, "send a smaller bundle, or buy a larger allowance", "%d at once are more than the whole allowance of %d", count, allowance), now)
		return
	}
	s := q.share(customer)
	if q.Boundless || s.Room(count+q.waitingHere(customer), now) {
		s.Take(count)
		back(q.releaser(customer, count), nil, now)
		return
	}
	if now-s.failed < failedFor || len(q.waiters[customer]) >= maxWaiters {
		q.Refused++
		back(nil, unreachable(), now)
		return
	}
	q.waiters[customer] = append(q.waiters[customer], &waiter{count: count, allowance: allowance, plan: plan, back: back})
	q.ask(customer, now)
}

func unreachable() error {
	return errs.Later(errs.NotReady, clock.Second, "come back after the time given", "the customer's account can't be reached")
}

func (q *Quota) releaser(customer string, count int) Release {
	given := false
	return func(now clock.Micros) {
		if !given {
			given = true
			q.share(customer).Release(count, now)
		}
	}
}

// ask asks the holder for all who wait, one ask at a time for each customer:
// those who come meanwhile may find room.
func (q *Quota) ask(customer string, now clock.Micros) {
	takers := q.waiters[customer]
	if q.asking[customer] || len(takers) == 0 {
		return
	}
	s, sum := q.share(customer), 0
	last := takers[len(takers)-1]
	for _, t := range takers {
		t.asked = true
		sum += t.count
	}
	held := q.held(s, customer)
	ask := LendRequest{Customer: customer, Borrower: q.Self, Epoch: s.Epoch, Held: held, Want: held + sum + int(last.allowance/128), Allowance: last.allowance, Plan: last.plan}
	q.lastAsked[customer] = ask
	q.lend(ask, now, func(answer LendAnswer, err error, now clock.Micros) { q.admitWaiters(customer, answer, err, now) })
}

// admitWaiters lets those in who fit now, and rejects those the ask was for.
func (q *Quota) admitWaiters(customer string, answer LendAnswer, err error, now clock.Micros) {
	s := q.share(customer)
	if err != nil {
		s.failed = now
	}
	takers := q.waiters[customer]
	delete(q.waiters, customer)
	var later []*waiter
	for _, t := range takers {
		switch {
		case err == nil && s.Room(t.count+q.waitingHere(customer), now):
			s.Take(t.count)
			t.back(q.releaser(customer, t.count), nil, now)
		case !t.asked && err == nil:
			later = append(later, t)
		case err != nil:
			q.Refused++
			t.back(nil, unreachable(), now)
		case !answer.Ready:
			q.Refused++
			t.back(nil, errs.Later(errs.NotReady, clock.Second, "come back after the time given", "the customer's account passes to another daemon"), now)
		default:
			q.Refused++
			t.back(nil, errs.Later(errs.OverAllowance, s.After(t.count, now), "come back after the time given, or buy a larger allowance",
				"%d more would take customer %s over its allowance of %d waiting", t.count, customer, t.allowance), now)
		}
	}
	q.waiters[customer] = append(later, q.waiters[customer]...)
	if len(q.waiters[customer]) == 0 {
		delete(q.waiters, customer)
	}
	q.ask(customer, now)
}

// holder is the first live edge in the customer's agreed order.
func (q *Quota) holder(customer string) (id, peer string) {
	members := q.Members()
	id = registry.First("account/"+customer, members, identity.Edge)
	for _, member := range members {
		if member.ID == id {
			return id, member.Peer
		}
	}
	return "", ""
}

// lend asks the holder and takes its answer.
func (q *Quota) lend(ask LendRequest, asked clock.Micros, back func(LendAnswer, error, clock.Micros)) {
	q.asking[ask.Customer] = true
	take := func(answer LendAnswer, err error, now clock.Micros) {
		delete(q.asking, ask.Customer)
		if err == nil && !q.share(ask.Customer).Lent(answer.Epoch, answer.Granted, asked) {
			err = errs.New(errs.NotReady, "ask again", "the holder's epoch is behind")
		}
		back(answer, err, now)
	}
	id, peer := q.holder(ask.Customer)
	switch id {
	case "":
		take(LendAnswer{}, errs.New(errs.NotReady, "start an edge", "no live edge holds accounts"), asked)
	case q.Self:
		q.Lend(ask, asked, func(answer LendAnswer, now clock.Micros) { take(answer, nil, now) })
	default:
		q.Wire.Ask(peer, ask, lendExpiry, func(body any, err error, now clock.Micros) {
			answer, _ := body.(LendAnswer)
			take(answer, err, now)
		})
	}
}

// Lend is the holder's part: it answers once it has asked those who have not
// told what they hold, or they had time enough.
func (q *Quota) Lend(ask LendRequest, now clock.Micros, back func(LendAnswer, clock.Micros)) {
	a := q.accounts[ask.Customer]
	if !q.mapped() {
		back(LendAnswer{Epoch: ask.Epoch, Granted: ask.Held}, now)
		return
	}
	if a == nil || ask.Epoch > a.Epoch {
		a = Open(ask.Epoch+1, q.holders(), now)
		a.SkipRebuild, a.HoldsItems = q.SkipRebuild, q.holdsItems
		q.accounts[ask.Customer] = a
		// This daemon's own share is known at once.
		own := q.share(ask.Customer)
		own.Fence(a.Epoch)
		a.Told(q.Self, q.held(own, ask.Customer), now)
	}
	a.Told(ask.Borrower, ask.Held, now)
	live := map[string]bool{}
	for _, id := range q.borrowers() {
		live[id] = true
	}
	for _, id := range a.Missing() {
		if !live[id] {
			a.StopWaiting(id, now)
		}
	}
	answer := func(now clock.Micros) {
		if terms := q.allowed[ask.Customer]; ask.Plan >= terms.Plan {
			q.allowed[ask.Customer] = ask
		}
		granted := a.Lend(ask.Borrower, ask.Held, ask.Want, q.allowed[ask.Customer].Allowance, now)
		q.Lent++
		back(LendAnswer{Epoch: a.Epoch, Granted: granted, Ready: a.Ready(now)}, now)
	}
	if a.Ready(now) {
		answer(now)
		return
	}
	q.rebuild(ask.Customer, a, answer)
}

// holdsItems tells whether a borrower is a store: one that is not known any more may
// have been.
func (q *Quota) holdsItems(borrower string) bool {
	for _, member := range q.Members() {
		if member.ID == borrower {
			return member.Kind == identity.Store
		}
	}
	return q.knownStores[borrower]
}

// mapped tells whether this daemon knows which stores there are.
func (q *Quota) mapped() bool {
	if q.Map == nil {
		return true
	}
	_, known := q.Map()
	return known
}

// holders are all that may hold work: the daemons that live, and the stores that
// count, whether this daemon has heard of them in this life or not.
func (q *Quota) holders() []string {
	out := q.borrowers()
	if q.Map == nil {
		return out
	}
	m, _ := q.Map()
	for _, id := range sorted(m.Stores) {
		if store := m.Stores[id]; !store.Struck && !store.Retired && !slices.Contains(out, id) && id != q.Self {
			out = append(out, id)
			q.knownStores[id] = true
		}
	}
	return out
}

// transferGrace is how long after a store's last slot has passed on its successors
// have had time to tell what they took over.
const transferGrace = 1500 * clock.Millisecond

// dropTransferred lets go of what is held for stores that are gone and own no slot any more:
// those that took their slots over tell it now.
func (q *Quota) dropTransferred(now clock.Micros) {
	if q.Map == nil {
		return
	}
	m, known := q.Map()
	if !known {
		return
	}
	owns := map[string]bool{}
	for _, pairing := range m.Slots {
		owns[pairing.Owner.ID] = true
		if !pairing.Complete {
			owns[pairing.Trusted[0]], owns[pairing.Trusted[1]] = true, true
		}
	}
	for _, member := range q.Members() {
		if member.Status == identity.Alive {
			owns[member.ID] = true
		}
	}
	for _, a := range q.accounts {
		for _, id := range a.Borrowers() {
			if q.knownStores[id] && !owns[id] {
				a.TransferElapsed(id, now)
			}
		}
	}
}

// borrowers are all daemons that may hold shares.
func (q *Quota) borrowers() []string {
	var out []string
	for _, member := range q.Members() {
		if member.Kind == identity.Store {
			q.knownStores[member.ID] = true
		}
		if member.Kind != identity.Core && member.Status < identity.Dead && member.ID != q.Self {
			out = append(out, member.ID)
		}
	}
	return out
}

// rebuild asks those who have not told what they hold; who asks meanwhile waits
// for the same round.
func (q *Quota) rebuild(customer string, a *Account, then func(now clock.Micros)) {
	if r := q.rounds[customer]; r != nil {
		r.then = append(r.then, then)
		return
	}
	peers := map[string]string{}
	for _, member := range q.Members() {
		peers[member.ID] = member.Peer
	}
	missing := a.Missing()
	r := &round{left: len(missing), then: []func(clock.Micros){then}}
	q.rounds[customer] = r
	for _, id := range missing {
		q.Wire.Ask(peers[id], HoldingsRequest{Customer: customer, Epoch: a.Epoch}, lendExpiry/3, func(body any, err error, now clock.Micros) {
			if told, ok := body.(Holdings); ok && err == nil && told.Stale {
				a.Epoch = max(a.Epoch, told.Epoch+1)
			} else if ok && err == nil {
				a.Told(id, told.Held, now)
			}
			if r.left--; r.left > 0 {
				return
			}
			delete(q.rounds, customer)
			for _, then := range r.then {
				then(now)
			}
		})
	}
}

// Holdings is the borrower's answer to a new holder: from here on the old one's
// loans count only as far as they are in use.
func (q *Quota) Holdings(ask HoldingsRequest) Holdings {
	s := q.share(ask.Customer)
	if !s.Fence(ask.Epoch) {
		return Holdings{Stale: true, Epoch: s.Epoch}
	}
	return Holdings{Held: q.held(s, ask.Customer), Epoch: ask.Epoch}
}

// Call answers the quota's asks; false for any other.
func (q *Quota) Call(number uint64, body any, now clock.Micros) bool {
	switch ask := body.(type) {
	case LendRequest:
		q.Lend(ask, now, func(answer LendAnswer, now clock.Micros) { q.Wire.Emit(machine.Answer{Call: number, Body: answer}) })
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
	// Every holder is told what is held here, and asked for no more. An ask that
	// is under way renews as well, and for more: it goes first.
	for _, customer := range sorted(q.lastAsked) {
		terms, s := q.lastAsked[customer], q.share(customer)
		held := q.held(s, customer)
		if q.asking[customer] {
			continue
		}
		if held == 0 && s.Granted == 0 {
			delete(q.lastAsked, customer)
			continue
		}
		terms.Held, terms.Want, terms.Epoch = held, held, s.Epoch
		if held == 0 {
			s.Granted = 0
		}
		q.lend(terms, now, func(answer LendAnswer, err error, now clock.Micros) {
			if err != nil {
				// Who came meanwhile is not kept waiting for a second ask.
				q.admitWaiters(customer, answer, err, now)
				return
			}
			q.ask(customer, now)
		})
	}
	q.dropTransferred(now)
	for _, customer := range sorted(q.accounts) {
		if q.accounts[customer].Idle(now) && q.rounds[customer] == nil {
			delete(q.accounts, customer)
			delete(q.allowed, customer)
		}
	}
	for customer, s := range q.shares {
		if s.InUse == 0 && s.Granted == 0 && now >= s.Until+600*clock.Second && q.waiters[customer] == nil && !q.asking[customer] {
			delete(q.shares, customer)
		}
	}
}

// Told notes waiting work that came by other ways (a takeover), so that it is
// told at the next renewal.
func (q *Quota) Told(customer string, allowance int64, plan uint64) {
	if _, known := q.lastAsked[customer]; !known {
		q.lastAsked[customer] = LendRequest{Customer: customer, Borrower: q.Self, Allowance: allowance, Plan: plan}
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
