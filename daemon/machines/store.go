package machines

import (
	"tuliprudder/core/config"
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/identity"
	"tuliprudder/path/execution"
	"tuliprudder/path/quota"
	"tuliprudder/path/scheduler"
)

// Ledger is the machine of a store daemon: the store, the runs of its items,
// and its shares.
type Ledger struct {
	*Road
	Keeper *store.Store
	Items  *execution.Runner
	cairns cairns
	gives  map[uint64]quota.Give // shares taken for bundles that are being enrolled
	// waiting is what requests that are passed on count for, by customer; count is
	// when it is counted again.
	waiting map[string]int
	counted clock.Micros
	demands demands
}

// NewLedger puts a store's machine together; the seed makes its choices
// repeatable.
func NewLedger(self string, k *store.Store, mostItems int, seed int64) *Ledger {
	set := scheduler.Defaults()
	set.MostWaiting = 2*mostItems + 1000 // the store's own bound comes first
	l := &Ledger{Keeper: k, cairns: cairns{members: map[string]identity.Member{}}, gives: map[uint64]quota.Give{}, waiting: map[string]int{}, demands: demands{self: self, heard: map[string]demand{}}}
	l.Road = newRoad(self, set, seed, func(*Road) func(string) int {
		return func(customer string) int {
			if count, ok := l.waiting[customer]; ok {
				return count
			}
			return l.Items.Waiting(customer)
		}
	})
	l.Purse.Map = func() (state.Map, bool) { return k.State(), k.Mapped() }
	l.Items = execution.New(execution.Defaults(), l.Wire, l.Dispatch, k.Allowed, func(ran store.Ran, now clock.Micros) { l.keep(ran, now) })
	return l
}

// Greet names the seeds: until this store has heard of the cores, its beats go there,
// so that one that has started again is paired without waiting for updates.
func (l *Ledger) Greet(seeds []string) {
	l.cairns.seeds = seeds
	l.keep(store.Cairns{Peers: l.cairns.peers()}, 0)
}

// keep applies a command to the store and takes what is the path's.
func (l *Ledger) keep(command store.Command, now clock.Micros) {
	for _, effect := range l.Keeper.Do(command, now) {
		switch e := effect.(type) {
		case machine.Work:
			l.work(e.Order, now)
			continue
		case machine.Answer:
			if give := l.gives[e.Call]; give != nil {
				// From here on the items count as waiting in the backlog.
				delete(l.gives, e.Call)
				give(now)
			}
		}
		l.Wire.Emit(effect)
	}
}

func (l *Ledger) work(order any, now clock.Micros) {
	switch w := order.(type) {
	case store.ItemOrder:
		if plan := l.Dispatch.Plan(); plan != nil {
			if allowance := allowance(plan, w.Customer, w.Route, w.Request != nil); allowance > 0 {
				l.Purse.Told(w.Customer, allowance, plan.Version)
			}
		}
		l.Items.Take(w, now)
	case store.Revoke:
		l.Items.Revoke(w, now)
	}
}

// Message is a message.
func (l *Ledger) Message(from string, body any, now clock.Micros) []machine.Effect {
	if word, ok := body.(Demand); ok {
		l.demands.hear(word, now)
	} else {
		l.keep(store.Letter{From: from, Body: body}, now)
	}
	return l.settle(now)
}

// Stored is the disk's word.
func (l *Ledger) Stored(token uint64, now clock.Micros) []machine.Effect {
	l.keep(store.Stored{Token: token}, now)
	return l.settle(now)
}

// Heard is an update.
func (l *Ledger) Heard(update machine.Update, now clock.Micros) []machine.Effect {
	l.hear(update, now)
	if l.cairns.hear(update) {
		l.keep(store.Cairns{Peers: l.cairns.peers()}, now)
	}
	l.keep(store.News{Rumour: update}, now)
	return l.settle(now)
}

// Answered is another daemon's answer.
func (l *Ledger) Answered(token uint64, body any, err error, now clock.Micros) []machine.Effect {
	l.Wire.Answered(token, body, err, now)
	return l.settle(now)
}

// Call is an ask, or the event loop's word on a run.
func (l *Ledger) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	switch ask := body.(type) {
	case store.EnrolAsk:
		l.enrol(number, ask, now)
	case execution.Ran:
		l.Items.Went(ask, now)
		l.Wire.Emit(machine.Answer{Call: number})
	case execution.Began:
		l.Items.Begin(ask, now)
		l.Wire.Emit(machine.Answer{Call: number})
	case store.Drain:
		l.keep(ask, now)
		l.Wire.Emit(machine.Answer{Call: number})
	default:
		if !l.Purse.Call(number, body, now) {
			l.keep(store.Call{Number: number, Body: body}, now)
		}
	}
	return l.settle(now)
}

// enrol takes shares for a bundle's items before anything is written: from then
// on they count as waiting until they start. A repeated key needs none.
func (l *Ledger) enrol(number uint64, ask store.EnrolAsk, now clock.Micros) {
	plan := l.Dispatch.Plan()
	switch {
	case l.Keeper.Knows(ask.Slot, ask.Bundle.ID):
		l.keep(store.Call{Number: number, Body: ask}, now)
		return
	case !l.Dispatch.Fresh(now):
		l.no(number, errs.Later(errs.NotReady, clock.Second, "ask again; another keeper may take the slot over", "the keeper does not hear most of the fleet"))
		return
	case plan == nil || plan.Version < ask.Bundle.Plan:
		l.no(number, errs.Later(errs.NotReady, clock.Second, "ask again; the store has just started", "the plan has not arrived at the keeper yet"))
		return
	}
	forward, weight := false, 0
	for _, item := range ask.Bundle.Items {
		forward = forward || item.Request != nil
		weight += item.Request.Weight()
	}
	most := allowance(plan, ask.Bundle.Customer, ask.Bundle.Route, forward)
	switch {
	case most == gone && forward:
		l.no(number, errs.New(errs.UnknownRoute, "have the operators add the route to the plan", "the plan in force passes no bundles on by a route %q", ask.Bundle.Route))
		return
	case most == gone:
		l.no(number, errs.New(errs.Unauthorised, "have the operators add the customer to the plan", "the plan has no customer %q", ask.Bundle.Customer))
		return
	case most == boundless:
		l.keep(store.Call{Number: number, Body: ask}, now)
		return
	}
	l.recount(now)
	l.Purse.Take(ask.Bundle.Customer, most, plan.Version, weight, now, func(give quota.Give, err error, now clock.Micros) {
		if err != nil {
			l.no(number, err)
			return
		}
		if !forward {
			l.gives[number] = give
			l.keep(store.Call{Number: number, Body: ask}, now)
			return
		}
		// Once it is written its requests are counted from the ledger.
		l.keep(store.Call{Number: number, Body: ask}, now)
		l.recount(now)
		give(now)
	})
}

// What allowance says where there is no bound, and where the plan has no such
// route or customer.
const (
	boundless = 0
	gone      = -1
)

// allowance is how much may wait: of a customer by its class, of a route whose
// requests are passed on by its own bound on tokens (DESIGN §11.3, §12.5).
func allowance(plan *config.Plan, customer, route string, forward bool) int64 {
	if forward {
		found, _ := plan.Route(route)
		if found == nil || found.Forward == nil || found.Kind != config.Bundle {
			return gone
		}
		return max(boundless, found.Forward.MostTokens)
	}
	if class := plan.ClassOf(customer); class != nil {
		return class.Allowance
	}
	return gone
}

func (l *Ledger) no(number uint64, err error) {
	l.Wire.Emit(machine.Answer{Call: number, Err: err})
}

// recount counts what waits from the ledger; what is told of at renewals has to be
// known to the quota.
func (l *Ledger) recount(now clock.Micros) {
	l.counted = now
	was := l.waiting
	l.waiting = l.Keeper.Waiting(now)
	plan := l.Dispatch.Plan()
	for customer := range l.waiting {
		if plan != nil {
			if most := allowance(plan, customer, customer, true); most > 0 {
				l.Purse.Told(customer, most, plan.Version)
			}
		}
	}
	for customer := range was {
		if _, ok := l.waiting[customer]; !ok {
			l.waiting[customer] = 0
		}
	}
}

// recountEvery is how old the count of what waits may be.
const recountEvery = 100 * clock.Millisecond

// ClockEvent lets the store do what is due.
func (l *Ledger) ClockEvent(now clock.Micros) []machine.Effect {
	l.keep(store.ClockEvent{}, now)
	if now-l.counted >= recountEvery {
		l.recount(now)
		l.demands.tell(l.Items.Open(), l.members, l.Wire.Emit, now)
		l.Dispatch.SetPart(l.demands.part(l.Items.Open(), now))
	}
	l.Items.ClockEvent(now)
	l.Purse.ClockEvent(now)
	l.Dispatch.Match(now)
	return l.settle(now)
}
