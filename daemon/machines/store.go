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

// Store is the machine of a store daemon: the ledgers, the runs of their items, and
// the quota.
type Store struct {
	*Scheduling
	Ledger     *store.Store
	Items      *execution.Runner
	cores      coreDirectory
	heldShares map[uint64]quota.Release // shares taken for bundles that are being written
	// waiting is what requests that are passed on count for, by customer; count is
	// when it is counted again.
	waiting map[string]int
	counted clock.Micros
	demands demands
}

// NewStore puts a store's machine together; the seed makes its choices
// repeatable.
func NewStore(self string, k *store.Store, mostItems int, seed int64) *Store {
	set := scheduler.Defaults()
	set.MostWaiting = 2*mostItems + 1000 // the store's own bound comes first
	s := &Store{Ledger: k, cores: coreDirectory{members: map[string]identity.Member{}}, heldShares: map[uint64]quota.Release{}, waiting: map[string]int{}, demands: demands{self: self, others: map[string]demand{}}}
	s.Scheduling = newScheduling(self, set, seed, func(*Scheduling) func(string) int {
		return func(customer string) int {
			if count, ok := s.waiting[customer]; ok {
				return count
			}
			return s.Items.Waiting(customer)
		}
	})
	s.Quota.Map = func() (state.Map, bool) { return k.State(), k.Mapped() }
	s.Items = execution.New(execution.Defaults(), s.Wire, s.Scheduler, k.Allowed, func(ran store.Ran, now clock.Micros) { s.apply(ran, now) })
	return s
}

// SetSeeds names the seeds: until this store knows the cores, its heartbeats go
// there, so that one that has restarted is paired without waiting for updates.
func (s *Store) SetSeeds(seeds []string) {
	s.cores.seeds = seeds
	s.apply(store.Cores{Peers: s.cores.peers()}, 0)
}

// apply applies a command to the ledgers and keeps back the effects that are for the
// request path.
func (s *Store) apply(command store.Command, now clock.Micros) {
	for _, effect := range s.Ledger.Do(command, now) {
		switch e := effect.(type) {
		case machine.Work:
			s.work(e.Order, now)
			continue
		case machine.Answer:
			if give := s.heldShares[e.Call]; give != nil {
				// From here on the items count as waiting in the queue.
				delete(s.heldShares, e.Call)
				give(now)
			}
		}
		s.Wire.Emit(effect)
	}
}

func (s *Store) work(order any, now clock.Micros) {
	switch w := order.(type) {
	case store.ItemOrder:
		if plan := s.Scheduler.Plan(); plan != nil {
			if allowance := allowance(plan, w.Customer, w.Route, w.Request != nil); allowance > 0 {
				s.Quota.Told(w.Customer, allowance, plan.Version)
			}
		}
		s.Items.Take(w, now)
	case store.Revoke:
		s.Items.Revoke(w, now)
	}
}

// Message handles a message that was received.
func (s *Store) Message(from string, body any, now clock.Micros) []machine.Effect {
	if message, ok := body.(Demand); ok {
		s.demands.receive(message, now)
	} else {
		s.apply(store.Letter{From: from, Body: body}, now)
	}
	return s.finish(now)
}

// Stored handles the completion of a write.
func (s *Store) Stored(token uint64, now clock.Micros) []machine.Effect {
	s.apply(store.Stored{Token: token}, now)
	return s.finish(now)
}

// Disk is the shell's word on the disk.
func (s *Store) Disk(state machine.DiskState, now clock.Micros) []machine.Effect {
	s.apply(store.DiskChanged{State: state}, now)
	return s.finish(now)
}

// FoldAgain asks for a view of now.
func (s *Store) FoldAgain(now clock.Micros) []machine.Effect {
	s.apply(store.FoldAgain{}, now)
	return s.finish(now)
}

// Heard handles an update that was received.
func (s *Store) Heard(update machine.Update, now clock.Micros) []machine.Effect {
	s.receive(update, now)
	if s.cores.receive(update) {
		s.apply(store.Cores{Peers: s.cores.peers()}, now)
	}
	s.apply(store.News{Rumour: update}, now)
	return s.finish(now)
}

// Answered handles another daemon's answer.
func (s *Store) Answered(token uint64, body any, err error, now clock.Micros) []machine.Effect {
	s.Wire.Answered(token, body, err, now)
	return s.finish(now)
}

// Call handles a request, or the event loop's report on a run.
func (s *Store) Call(number uint64, body any, now clock.Micros) []machine.Effect {
	switch ask := body.(type) {
	case store.EnrolAsk:
		s.submit(number, ask, now)
	case execution.Ran:
		s.Items.Finished(ask, now)
		s.Wire.Emit(machine.Answer{Call: number})
	case execution.Began:
		s.Items.Begin(ask, now)
		s.Wire.Emit(machine.Answer{Call: number})
	case store.Drain:
		s.apply(ask, now)
		s.Wire.Emit(machine.Answer{Call: number})
	default:
		if !s.Quota.Call(number, body, now) {
			s.apply(store.Call{Number: number, Body: body}, now)
		}
	}
	return s.finish(now)
}

// submit takes shares for a bundle's items before anything is written: from then
// on they count as waiting until they start. A repeated key needs none.
func (s *Store) submit(number uint64, ask store.EnrolAsk, now clock.Micros) {
	plan := s.Scheduler.Plan()
	switch {
	case s.Ledger.Knows(ask.Slot, ask.Bundle.ID):
		s.apply(store.Call{Number: number, Body: ask}, now)
		return
	case !s.Scheduler.Fresh(now):
		s.refuse(number, errs.Later(errs.NotReady, clock.Second, "ask again; another store may take the slot over", "the store does not hear most of the fleet"))
		return
	case plan == nil || plan.Version < ask.Bundle.Plan:
		s.refuse(number, errs.Later(errs.NotReady, clock.Second, "ask again; the store has just started", "the plan has not arrived at the store yet"))
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
		s.refuse(number, errs.New(errs.UnknownRoute, "have the operators add the route to the plan", "the plan in force passes no bundles on by a route %q", ask.Bundle.Route))
		return
	case most == gone:
		s.refuse(number, errs.New(errs.Unauthorised, "have the operators add the customer to the plan", "the plan has no customer %q", ask.Bundle.Customer))
		return
	case most == boundless:
		s.apply(store.Call{Number: number, Body: ask}, now)
		return
	}
	s.recount(now)
	s.Quota.Take(ask.Bundle.Customer, most, plan.Version, weight, now, func(give quota.Release, err error, now clock.Micros) {
		if err != nil {
			s.refuse(number, err)
			return
		}
		if !forward {
			s.heldShares[number] = give
			s.apply(store.Call{Number: number, Body: ask}, now)
			return
		}
		// Once it is written its requests are counted from the ledger.
		s.apply(store.Call{Number: number, Body: ask}, now)
		s.recount(now)
		give(now)
	})
}

// Results of allowance where there is no bound, and where the plan has no such route
// or customer.
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

func (s *Store) refuse(number uint64, err error) {
	s.Wire.Emit(machine.Answer{Call: number, Err: err})
}

// recount counts what waits from the ledger; what is told of at renewals has to be
// known to the quota.
func (s *Store) recount(now clock.Micros) {
	s.counted = now
	was := s.waiting
	s.waiting = s.Ledger.Waiting(now)
	plan := s.Scheduler.Plan()
	for customer := range s.waiting {
		if plan != nil {
			if most := allowance(plan, customer, customer, true); most > 0 {
				s.Quota.Told(customer, most, plan.Version)
			}
		}
	}
	for customer := range was {
		if _, ok := s.waiting[customer]; !ok {
			s.waiting[customer] = 0
		}
	}
}

// recountEvery is how old the count of what waits may be.
const recountEvery = 100 * clock.Millisecond

// ClockEvent runs the duties that are due.
func (s *Store) ClockEvent(now clock.Micros) []machine.Effect {
	s.apply(store.ClockEvent{}, now)
	if now-s.counted >= recountEvery {
		s.recount(now)
		s.demands.send(s.Items.Open(), s.members, s.Wire.Emit, now)
		s.Scheduler.SetPart(s.demands.part(s.Items.Open(), now))
	}
	s.Items.ClockEvent(now)
	s.Quota.ClockEvent(now)
	s.Scheduler.Match(now)
	return s.finish(now)
}
