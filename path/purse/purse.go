package purse

import (
	"sync"

	"tuliprudder/acquaintance/people"
	"tuliprudder/kernel/almhut"
	"tuliprudder/kernel/belay"
	"tuliprudder/kernel/footbridge"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/sundial"
	"tuliprudder/path/roster"
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

func init() { footbridge.Register(LendAsk{}, LendAnswer{}, TellAsk{}, TellAnswer{}) }

// Fleet is what a purse needs of the daemon's shell.
type Fleet interface {
	Folk() []people.Person
	Now() sundial.Micros
}

// Purse is one daemon's side: its shares, and the accounts it holds.
type Purse struct {
	Self  string
	Fleet Fleet
	Ask   func(peer string, body any, expiry sundial.Micros) (any, error)
	// Waiting is work that waits here without having been taken one by one
	// (items of bundles at a keeper).
	Waiting func(customer string) int

	mu       sync.Mutex
	shares   map[string]*Share
	terms    map[string]LendAsk // allowance and plan of each customer, as last asked
	accounts map[string]*Account
	allowed  map[string]LendAsk // at the holder: the newest plan's allowance
	asking   map[string]*sync.Mutex
	// Lent and Refused count for the operators.
	Lent, Refused int64
}

// New makes a purse.
func New(self string, fleet Fleet, ask func(string, any, sundial.Micros) (any, error), waiting func(string) int) *Purse {
	return &Purse{Self: self, Fleet: fleet, Ask: ask, Waiting: waiting, shares: map[string]*Share{}, terms: map[string]LendAsk{},
		accounts: map[string]*Account{}, allowed: map[string]LendAsk{}, asking: map[string]*sync.Mutex{}}
}

func (p *Purse) share(customer string) *Share {
	s := p.shares[customer]
	if s == nil {
		s = &Share{}
		p.shares[customer] = s
		p.asking[customer] = &sync.Mutex{}
	}
	return s
}

// held is all that waits here of a customer.
func (p *Purse) held(s *Share, customer string) int {
	if p.Waiting == nil {
		return s.InUse
	}
	return s.InUse + p.Waiting(customer)
}

const lendExpiry = 600 * sundial.Millisecond

// failedFor is how long nobody asks again after an ask that failed: those who
// wait behind it are turned away at once.
const failedFor = 400 * sundial.Millisecond

// Take reserves waiting work; an error turns the order away, and nothing of it
// has run or will.
func (p *Purse) Take(customer string, allowance int64, plan uint64, count int) (func(), error) {
	now := p.Fleet.Now()
	if int64(count) > allowance {
		return nil, mishap.New(mishap.OverAllowance, "send a smaller bundle, or buy a larger allowance", "%d items are more than the whole allowance of %d", count, allowance)
	}
	p.mu.Lock()
	s := p.share(customer)
	waits := p.held(s, customer) - s.InUse
	one := p.asking[customer]
	if s.Room(count+waits, now) {
		s.Take(count)
		p.mu.Unlock()
		return p.giver(customer, count), nil
	}
	p.mu.Unlock()
	// One ask at a time for each customer: those behind it may find room.
	one.Lock()
	defer one.Unlock()
	p.mu.Lock()
	waits = p.held(s, customer) - s.InUse
	if s.Room(count+waits, p.Fleet.Now()) {
		s.Take(count)
		p.mu.Unlock()
		return p.giver(customer, count), nil
	}
	if p.Fleet.Now()-s.failed < failedFor {
		p.Refused++
		p.mu.Unlock()
		return nil, mishap.Later(mishap.NotReady, sundial.Second, "come back after the time given", "the customer's account can't be reached")
	}
	held := s.InUse + waits
	ask := LendAsk{Customer: customer, Borrower: p.Self, Epoch: s.Epoch, Held: held, Want: held + count + int(allowance/128), Allowance: allowance, Plan: plan}
	p.terms[customer] = ask
	p.mu.Unlock()
	answer, err := p.lend(ask)
	now = p.Fleet.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && s.Room(count+p.held(s, customer)-s.InUse, now) {
		s.Take(count)
		return p.giver(customer, count), nil
	}
	p.Refused++
	if err != nil {
		s.failed = now
	}
	if err != nil || !answer.Ready {
		return nil, mishap.Later(mishap.NotReady, sundial.Second, "come back after the time given", "the customer's account passes to another daemon")
	}
	return nil, mishap.Later(mishap.OverAllowance, s.After(count, now), "come back after the time given, or buy a larger allowance",
		"%d more would take customer %s over its allowance of %d waiting", count, customer, allowance)
}

func (p *Purse) giver(customer string, count int) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			p.mu.Lock()
			p.share(customer).Give(count, p.Fleet.Now())
			p.mu.Unlock()
		})
	}
}

// holder is the first live edge in the customer's agreed order.
func (p *Purse) holder(customer string) (id, peer string) {
	folk := p.Fleet.Folk()
	id = roster.First("account/"+customer, folk, people.Trailhead)
	for _, person := range folk {
		if person.ID == id {
			return id, person.Peer
		}
	}
	return "", ""
}

// lend asks the holder and takes its answer.
func (p *Purse) lend(ask LendAsk) (LendAnswer, error) {
	id, peer := p.holder(ask.Customer)
	if id == "" {
		return LendAnswer{}, mishap.New(mishap.NotReady, "start an edge", "no live edge holds accounts")
	}
	asked := p.Fleet.Now()
	var answer LendAnswer
	if id == p.Self {
		answer = p.Lend(ask)
	} else {
		got, err := p.Ask(peer, ask, lendExpiry)
		if err != nil {
			return LendAnswer{}, err
		}
		answer, _ = got.(LendAnswer)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.share(ask.Customer).Lent(answer.Epoch, answer.Granted, asked) {
		return LendAnswer{}, mishap.New(mishap.NotReady, "ask again", "the holder's epoch is behind")
	}
	return answer, nil
}

// Lend is the holder's part.
func (p *Purse) Lend(ask LendAsk) LendAnswer {
	now := p.Fleet.Now()
	p.mu.Lock()
	a := p.accounts[ask.Customer]
	if a == nil || ask.Epoch > a.Epoch {
		a = Open(ask.Epoch+1, p.borrowers(), now)
		p.accounts[ask.Customer] = a
		// This daemon's own share is known at once.
		own := p.share(ask.Customer)
		own.Fence(a.Epoch)
		a.Told(p.Self, p.held(own, ask.Customer), now)
	}
	a.Told(ask.Borrower, ask.Held, now)
	missing := a.Missing()
	p.mu.Unlock()
	if len(missing) > 0 {
		p.rebuild(ask.Customer, a, missing)
	}
	now = p.Fleet.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if terms := p.allowed[ask.Customer]; ask.Plan >= terms.Plan {
		p.allowed[ask.Customer] = ask
	}
	granted := a.Lend(ask.Borrower, ask.Held, ask.Want, p.allowed[ask.Customer].Allowance, now)
	p.Lent++
	return LendAnswer{Epoch: a.Epoch, Granted: granted, Ready: a.Ready(now)}
}

// borrowers are all daemons that may hold shares.
func (p *Purse) borrowers() []string {
	var out []string
	for _, person := range p.Fleet.Folk() {
		if person.Kind != people.Cairn && person.Standing < people.Dead && person.ID != p.Self {
			out = append(out, person.ID)
		}
	}
	return out
}

// rebuild asks those who have not told what they hold.
func (p *Purse) rebuild(customer string, a *Account, missing []string) {
	peers := map[string]string{}
	for _, person := range p.Fleet.Folk() {
		peers[person.ID] = person.Peer
	}
	var asks sync.WaitGroup
	for _, id := range missing {
		asks.Add(1)
		go func() {
			defer asks.Done()
			got, err := p.Ask(peers[id], TellAsk{Customer: customer, Epoch: a.Epoch}, lendExpiry/3)
			told, ok := got.(TellAnswer)
			if err != nil || !ok {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if told.Stale {
				a.Epoch = max(a.Epoch, told.Epoch+1)
				return
			}
			a.Told(id, told.Held, p.Fleet.Now())
		}()
	}
	asks.Wait()
}

// Tell is the borrower's answer to a new holder: from here on the old one's
// loans count only as far as they are in use.
func (p *Purse) Tell(ask TellAsk) TellAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.share(ask.Customer)
	if !s.Fence(ask.Epoch) {
		return TellAnswer{Stale: true, Epoch: s.Epoch}
	}
	return TellAnswer{Held: p.held(s, ask.Customer), Epoch: ask.Epoch}
}

// Answer serves the purse's asks; false for any other.
func (p *Purse) Answer(body any) (any, error, bool) {
	switch ask := body.(type) {
	case LendAsk:
		return p.Lend(ask), nil, true
	case TellAsk:
		return p.Tell(ask), nil, true
	}
	return nil, nil, false
}

// Start starts the thread that renews shares and gives back what is not used.
func (p *Purse) Start(_ *almhut.Hut, ends *belay.Stack) error {
	belay.Every(ends, sundial.Span(LoanSpan/4), p.Renew)
	return nil
}

// Renew tells every holder what is held here, and asks for no more.
func (p *Purse) Renew() {
	now := p.Fleet.Now()
	p.mu.Lock()
	var asks []LendAsk
	for customer, terms := range p.terms {
		s := p.share(customer)
		held := p.held(s, customer)
		if held == 0 && s.Granted == 0 {
			delete(p.terms, customer)
			continue
		}
		terms.Held, terms.Want, terms.Epoch = held, held, s.Epoch
		if held == 0 {
			s.Granted = 0
		}
		asks = append(asks, terms)
	}
	for customer, a := range p.accounts {
		if a.Idle(now) {
			delete(p.accounts, customer)
			delete(p.allowed, customer)
		}
	}
	p.mu.Unlock()
	var renewals sync.WaitGroup
	for _, ask := range asks {
		renewals.Add(1)
		go func() {
			defer renewals.Done()
			// An ask that is under way renews as well, and for more: it goes first.
			one := p.lock(ask.Customer)
			if !one.TryLock() {
				return
			}
			defer one.Unlock()
			p.mu.Lock()
			s := p.share(ask.Customer)
			ask.Held, ask.Epoch = p.held(s, ask.Customer), s.Epoch
			ask.Want = ask.Held
			p.mu.Unlock()
			p.lend(ask)
		}()
	}
	renewals.Wait()
}

func (p *Purse) lock(customer string) *sync.Mutex {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share(customer)
	return p.asking[customer]
}

// Told notes waiting work that came by other ways (a takeover), so that it is
// told at the next renewal.
func (p *Purse) Told(customer string, allowance int64, plan uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share(customer)
	if _, known := p.terms[customer]; !known {
		p.terms[customer] = LendAsk{Customer: customer, Borrower: p.Self, Allowance: allowance, Plan: plan}
	}
}

// View is what is held and lent here, for the operators.
func (p *Purse) View() map[string]any {
	now := p.Fleet.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
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
func (p *Purse) Totals() (held, lent int64) {
	now := p.Fleet.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
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
