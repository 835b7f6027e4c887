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
	// LendAsk renews a share and asks for more.
	LendAsk struct {
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
	// TellAsk is a new holder's question to every daemon.
	TellAsk struct {
		Customer string
		Epoch    uint64
	}
	// TellAnswer is what the daemon holds; Stale if it knows a higher epoch.
	TellAnswer struct {
		Held  int
		Epoch uint64
		Stale bool
	}
)

func init() { transport.Register(LendAsk{}, LendAnswer{}, TellAsk{}, TellAnswer{}) }

// Quota is one daemon's side: its shares, and the accounts it holds. It is a
// part of the daemon's machine.
type Quota struct {
	Self string
	Wire *machine.Wire
	// Folk is the directory as this daemon knows it.
	Folk func() []identity.Member
	// Waiting is work that waits here without having been taken one by one
	// (items of bundles at a keeper).
	Waiting func(customer string) int
	// Map is the map of the stores as this daemon knows it; false before it knows
	// any. Without it nobody can tell who else may hold work, and what this daemon
	// holds is not known either. nil: there are no stores.
	Map func() (state.Map, bool)
	// SkipRebuild is a fault planted by tests: a successor lends at once.
	SkipRebuild bool
	// Boundless is a fault planted by tests: whatever comes is let in.
	Boundless bool

	shares   map[string]*Share
	terms    map[string]LendAsk // allowance and plan of each customer, as last asked
	accounts map[string]*Account
	allowed  map[string]LendAsk // at the holder: the newest plan's allowance
	takers   map[string][]*taker
	asking   map[string]bool
	rounds   map[string]*round
	kept     map[string]bool // stores that were known when an account was opened
	renew    clock.Micros
	// Lent and Refused count for the operators.
	Lent, Refused int64
}

// taker waits for room in a share.
type taker struct {
	count     int
	allowance int64
	plan      uint64
	asked     bool // the ask under way is for this one too
	back      func(give Give, err error, now clock.Micros)
}

// Give returns what was taken; a second time it does nothing.
type Give func(now clock.Micros)

// round is one asking of those who have not told what they hold.
type round struct {
	left int
	then []func(now clock.Micros)
}

// New makes a purse.
func New(self string, wire *machine.Wire, members func() []identity.Member, waiting func(string) int) *Quota {
	return &Quota{Self: self, Wire: wire, Folk: members, Waiting: waiting, shares: map[string]*Share{}, terms: map[string]LendAsk{},
		accounts: map[string]*Account{}, allowed: map[string]LendAsk{}, takers: map[string][]*taker{}, asking: map[string]bool{}, rounds: map[string]*round{}, kept: map[string]bool{}}
}

func (p *Quota) share(customer string) *Share {
	s := p.shares[customer]
	if s == nil {
		s = &Share{}
		p.shares[customer] = s
	}
	return s
}

// waits is what waits here of a customer without having been taken.
func (p *Quota) waits(customer string) int {
	if p.Waiting == nil {
		return 0
	}
	return p.Waiting(customer)
}

// held is all that waits here of a customer.
func (p *Quota) held(s *Share, customer string) int { return s.InUse + p.waits(customer) }

const lendExpiry = 600 * clock.Millisecond

// failedFor is how long nobody asks again after an ask that failed: those who
// wait behind it are turned away at once.
const failedFor = 400 * clock.Millisecond

// mostTakers is how many may wait for one customer's ask; more are turned away.
const mostTakers = 4096

// Take reserves waiting work; back is told once. An error turns the order away,
// and nothing of it has run or will.
func (p *Quota) Take(customer string, allowance int64, plan uint64, count int, now clock.Micros, back func(Give, error, clock.Micros)) {
	if int64(count) > allowance {
		back(nil, errs.New(errs.OverAllowance, "send a smaller bundle, or buy a larger allowance", "%d at once are more than the whole allowance of %d", count, allowance), now)
		return
	}
	s := p.share(customer)
	if p.Boundless || s.Room(count+p.waits(customer), now) {
		s.Take(count)
		back(p.giver(customer, count), nil, now)
		return
	}
	if now-s.failed < failedFor || len(p.takers[customer]) >= mostTakers {
		p.Refused++
		back(nil, unreached(), now)
		return
	}
	p.takers[customer] = append(p.takers[customer], &taker{count: count, allowance: allowance, plan: plan, back: back})
	p.ask(customer, now)
}

func unreached() error {
	return errs.Later(errs.NotReady, clock.Second, "come back after the time given", "the customer's account can't be reached")
}

func (p *Quota) giver(customer string, count int) Give {
	given := false
	return func(now clock.Micros) {
		if !given {
			given = true
			p.share(customer).Give(count, now)
		}
	}
}

// ask asks the holder for all who wait, one ask at a time for each customer:
// those who come meanwhile may find room.
func (p *Quota) ask(customer string, now clock.Micros) {
	takers := p.takers[customer]
	if p.asking[customer] || len(takers) == 0 {
		return
	}
	s, sum := p.share(customer), 0
	last := takers[len(takers)-1]
	for _, t := range takers {
		t.asked = true
		sum += t.count
	}
	held := p.held(s, customer)
	ask := LendAsk{Customer: customer, Borrower: p.Self, Epoch: s.Epoch, Held: held, Want: held + sum + int(last.allowance/128), Allowance: last.allowance, Plan: last.plan}
	p.terms[customer] = ask
	p.lend(ask, now, func(answer LendAnswer, err error, now clock.Micros) { p.serve(customer, answer, err, now) })
}

// serve lets those in who fit now, and turns away those the ask was for.
func (p *Quota) serve(customer string, answer LendAnswer, err error, now clock.Micros) {
	s := p.share(customer)
	if err != nil {
		s.failed = now
	}
	takers := p.takers[customer]
	delete(p.takers, customer)
	var later []*taker
	for _, t := range takers {
		switch {
		case err == nil && s.Room(t.count+p.waits(customer), now):
			s.Take(t.count)
			t.back(p.giver(customer, t.count), nil, now)
		case !t.asked && err == nil:
			later = append(later, t)
		case err != nil:
			p.Refused++
			t.back(nil, unreached(), now)
		case !answer.Ready:
			p.Refused++
			t.back(nil, errs.Later(errs.NotReady, clock.Second, "come back after the time given", "the customer's account passes to another daemon"), now)
		default:
			p.Refused++
			t.back(nil, errs.Later(errs.OverAllowance, s.After(t.count, now), "come back after the time given, or buy a larger allowance",
				"%d more would take customer %s over its allowance of %d waiting", t.count, customer, t.allowance), now)
		}
	}
	p.takers[customer] = append(later, p.takers[customer]...)
	if len(p.takers[customer]) == 0 {
		delete(p.takers, customer)
	}
	p.ask(customer, now)
}

// holder is the first live edge in the customer's agreed order.
func (p *Quota) holder(customer string) (id, peer string) {
	members := p.Folk()
	id = registry.First("account/"+customer, members, identity.Edge)
	for _, member := range members {
		if member.ID == id {
			return id, member.Peer
		}
	}
	return "", ""
}

// lend asks the holder and takes its answer.
func (p *Quota) lend(ask LendAsk, asked clock.Micros, back func(LendAnswer, error, clock.Micros)) {
	p.asking[ask.Customer] = true
	take := func(answer LendAnswer, err error, now clock.Micros) {
		delete(p.asking, ask.Customer)
		if err == nil && !p.share(ask.Customer).Lent(answer.Epoch, answer.Granted, asked) {
			err = errs.New(errs.NotReady, "ask again", "the holder's epoch is behind")
		}
		back(answer, err, now)
	}
	id, peer := p.holder(ask.Customer)
	switch id {
	case "":
		take(LendAnswer{}, errs.New(errs.NotReady, "start an edge", "no live edge holds accounts"), asked)
	case p.Self:
		p.Lend(ask, asked, func(answer LendAnswer, now clock.Micros) { take(answer, nil, now) })
	default:
		p.Wire.Ask(peer, ask, lendExpiry, func(body any, err error, now clock.Micros) {
			answer, _ := body.(LendAnswer)
			take(answer, err, now)
		})
	}
}

// Lend is the holder's part: it answers once it has asked those who have not
// told what they hold, or they had time enough.
func (p *Quota) Lend(ask LendAsk, now clock.Micros, back func(LendAnswer, clock.Micros)) {
	a := p.accounts[ask.Customer]
	if !p.mapped() {
		back(LendAnswer{Epoch: ask.Epoch, Granted: ask.Held}, now)
		return
	}
	if a == nil || ask.Epoch > a.Epoch {
		a = Open(ask.Epoch+1, p.holders(), now)
		a.SkipRebuild, a.Keeps = p.SkipRebuild, p.keeps
		p.accounts[ask.Customer] = a
		// This daemon's own share is known at once.
		own := p.share(ask.Customer)
		own.Fence(a.Epoch)
		a.Told(p.Self, p.held(own, ask.Customer), now)
	}
	a.Told(ask.Borrower, ask.Held, now)
	live := map[string]bool{}
	for _, id := range p.borrowers() {
		live[id] = true
	}
	for _, id := range a.Missing() {
		if !live[id] {
			a.Forgo(id, now)
		}
	}
	answer := func(now clock.Micros) {
		if terms := p.allowed[ask.Customer]; ask.Plan >= terms.Plan {
			p.allowed[ask.Customer] = ask
		}
		granted := a.Lend(ask.Borrower, ask.Held, ask.Want, p.allowed[ask.Customer].Allowance, now)
		p.Lent++
		back(LendAnswer{Epoch: a.Epoch, Granted: granted, Ready: a.Ready(now)}, now)
	}
	if a.Ready(now) {
		answer(now)
		return
	}
	p.rebuild(ask.Customer, a, answer)
}

// keeps tells whether a borrower is a store: one that is not known any more may
// have been.
func (p *Quota) keeps(borrower string) bool {
	for _, member := range p.Folk() {
		if member.ID == borrower {
			return member.Kind == identity.Store
		}
	}
	return p.kept[borrower]
}

// mapped tells whether this daemon knows which stores there are.
func (p *Quota) mapped() bool {
	if p.Map == nil {
		return true
	}
	_, known := p.Map()
	return known
}

// holders are all that may hold work: the daemons that live, and the stores that
// count, whether this daemon has heard of them in this life or not.
func (p *Quota) holders() []string {
	out := p.borrowers()
	if p.Map == nil {
		return out
	}
	m, _ := p.Map()
	for _, id := range sorted(m.Stores) {
		if store := m.Stores[id]; !store.Struck && !store.Retired && !slices.Contains(out, id) && id != p.Self {
			out = append(out, id)
			p.kept[id] = true
		}
	}
	return out
}

// passedAfter is how long after a store's last slot has passed on its successors
// have had time to tell what they took over.
const passedAfter = 1500 * clock.Millisecond

// passOn lets go of what is held for stores that are gone and own no slot any more:
// those that took their slots over tell it now.
func (p *Quota) passOn(now clock.Micros) {
	if p.Map == nil {
		return
	}
	m, known := p.Map()
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
	for _, member := range p.Folk() {
		if member.Status == identity.Alive {
			owns[member.ID] = true
		}
	}
	for _, a := range p.accounts {
		for _, id := range a.Borrowers() {
			if p.kept[id] && !owns[id] {
				a.Passed(id, now)
			}
		}
	}
}

// borrowers are all daemons that may hold shares.
func (p *Quota) borrowers() []string {
	var out []string
	for _, member := range p.Folk() {
		if member.Kind == identity.Store {
			p.kept[member.ID] = true
		}
		if member.Kind != identity.Core && member.Status < identity.Dead && member.ID != p.Self {
			out = append(out, member.ID)
		}
	}
	return out
}

// rebuild asks those who have not told what they hold; who asks meanwhile waits
// for the same round.
func (p *Quota) rebuild(customer string, a *Account, then func(now clock.Micros)) {
	if r := p.rounds[customer]; r != nil {
		r.then = append(r.then, then)
		return
	}
	peers := map[string]string{}
	for _, member := range p.Folk() {
		peers[member.ID] = member.Peer
	}
	missing := a.Missing()
	r := &round{left: len(missing), then: []func(clock.Micros){then}}
	p.rounds[customer] = r
	for _, id := range missing {
		p.Wire.Ask(peers[id], TellAsk{Customer: customer, Epoch: a.Epoch}, lendExpiry/3, func(body any, err error, now clock.Micros) {
			if told, ok := body.(TellAnswer); ok && err == nil && told.Stale {
				a.Epoch = max(a.Epoch, told.Epoch+1)
			} else if ok && err == nil {
				a.Told(id, told.Held, now)
			}
			if r.left--; r.left > 0 {
				return
			}
			delete(p.rounds, customer)
			for _, then := range r.then {
				then(now)
			}
		})
	}
}

// Tell is the borrower's answer to a new holder: from here on the old one's
// loans count only as far as they are in use.
func (p *Quota) Tell(ask TellAsk) TellAnswer {
	s := p.share(ask.Customer)
	if !s.Fence(ask.Epoch) {
		return TellAnswer{Stale: true, Epoch: s.Epoch}
	}
	return TellAnswer{Held: p.held(s, ask.Customer), Epoch: ask.Epoch}
}

// Call answers the purse's asks; false for any other.
func (p *Quota) Call(number uint64, body any, now clock.Micros) bool {
	switch ask := body.(type) {
	case LendAsk:
		p.Lend(ask, now, func(answer LendAnswer, now clock.Micros) { p.Wire.Emit(machine.Answer{Call: number, Body: answer}) })
	case TellAsk:
		if !p.mapped() {
			p.Wire.Emit(machine.Answer{Call: number, Err: errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started", "what is held here is not known yet")})
			return true
		}
		p.Wire.Emit(machine.Answer{Call: number, Body: p.Tell(ask)})
	default:
		return false
	}
	return true
}

// ClockEvent renews the shares when they are due.
func (p *Quota) ClockEvent(now clock.Micros) {
	if now < p.renew {
		return
	}
	p.renew = now + LoanSpan/4
	// Every holder is told what is held here, and asked for no more. An ask that
	// is under way renews as well, and for more: it goes first.
	for _, customer := range sorted(p.terms) {
		terms, s := p.terms[customer], p.share(customer)
		held := p.held(s, customer)
		if p.asking[customer] {
			continue
		}
		if held == 0 && s.Granted == 0 {
			delete(p.terms, customer)
			continue
		}
		terms.Held, terms.Want, terms.Epoch = held, held, s.Epoch
		if held == 0 {
			s.Granted = 0
		}
		p.lend(terms, now, func(answer LendAnswer, err error, now clock.Micros) {
			if err != nil {
				// Who came meanwhile is not kept waiting for a second ask.
				p.serve(customer, answer, err, now)
				return
			}
			p.ask(customer, now)
		})
	}
	p.passOn(now)
	for _, customer := range sorted(p.accounts) {
		if p.accounts[customer].Idle(now) && p.rounds[customer] == nil {
			delete(p.accounts, customer)
			delete(p.allowed, customer)
		}
	}
	for customer, s := range p.shares {
		if s.InUse == 0 && s.Granted == 0 && now >= s.Until+600*clock.Second && p.takers[customer] == nil && !p.asking[customer] {
			delete(p.shares, customer)
		}
	}
}

// Told notes waiting work that came by other ways (a takeover), so that it is
// told at the next renewal.
func (p *Quota) Told(customer string, allowance int64, plan uint64) {
	if _, known := p.terms[customer]; !known {
		p.terms[customer] = LendAsk{Customer: customer, Borrower: p.Self, Allowance: allowance, Plan: plan}
	}
}

// View is what is held and lent here, for the operators.
func (p *Quota) View(now clock.Micros) map[string]any {
	shares, accounts := map[string]any{}, map[string]any{}
	for customer, s := range p.shares {
		if held := p.held(s, customer); held > 0 || s.Granted > 0 {
			shares[customer] = map[string]any{"held": held, "lent": s.Granted, "epoch": s.Epoch}
		}
	}
	for customer, a := range p.accounts {
		accounts[customer] = map[string]any{"epoch": a.Epoch, "lent": a.Lent(now), "allowance": p.allowed[customer].Allowance, "missing": a.Missing()}
	}
	return map[string]any{"shares": shares, "accounts": accounts}
}

// Totals counts what is held here and lent from here.
func (p *Quota) Totals(now clock.Micros) (held, lent int64) {
	for customer, s := range p.shares {
		held += int64(p.held(s, customer))
	}
	for _, a := range p.accounts {
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
