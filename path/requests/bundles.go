package requests

import (
	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/path/reader"
)

// submitBundle takes a bundle in: whole and on two disks, or not at all.
func (m *Machine) submitBundle(call uint64, ask SubmitBundle, now clock.Micros) {
	plan, customer, class, route, err := m.bundleRoute(ask)
	if err != nil {
		m.answer(call, nil, err)
		return
	}
	if err := checkItems(ask.Items, int(route.MostItems), false); err != nil {
		m.answer(call, nil, err)
		return
	}
	if int64(len(ask.Items)) > class.Allowance {
		m.answer(call, nil, errs.New(errs.OverAllowance, "send a smaller bundle, or buy a larger allowance", "%d items are more than the whole allowance of %d", len(ask.Items), class.Allowance))
		return
	}
	words := []string{route.Name}
	for _, item := range ask.Items {
		words = append(words, item.ID, item.Input)
	}
	id := shard.BundleID(customer.Name, ask.Key)
	m.askStore(id, func(slot int) any {
		return store.EnrolAsk{Slot: slot, Expiry: m.set.Commit, Bundle: shard.Bundle{ID: id, Customer: customer.Name, Key: ask.Key, Hash: shard.Hash(words...), Route: route.Name, Plan: plan.Version, Items: ask.Items}}
	}, m.set.Commit+clock.Second, now, m.forwardAnswer(call))
}

func (m *Machine) bundleRoute(ask SubmitBundle) (*config.Plan, *config.Customer, *config.Class, *config.Route, error) {
	plan, customer, class, err := m.caller(ask.Caller)
	if err != nil {
		return nil, nil, nil, nil, err
	}
	route, err := routeFor(plan, class, ask.Route, true)
	if err == nil && (ask.Key == "" || len(ask.Key) > 256) {
		err = errs.New(errs.BadInput, "use a key of at most 256 bytes", "the idempotency key is missing or too long")
	}
	return plan, customer, class, route, err
}

// forwardAnswer hands a store's answer to who called.
func (m *Machine) forwardAnswer(call uint64) machine.Callback {
	return func(body any, err error, _ clock.Micros) { m.answer(call, body, err) }
}

// statusExpiry is how long a store may take to say how things stand.
const statusExpiry = 2 * clock.Second

// forwardStatus hands on the answer to a question that changes nothing: where none
// came, asking again is always safe.
func (m *Machine) forwardStatus(call uint64) machine.Callback {
	return func(body any, err error, _ clock.Micros) {
		if err != nil && errs.Of(err).Kind == errs.OutcomeUnknown {
			err = errs.Later(errs.NotReady, clock.Second, "ask again; nothing was changed", "the store gave no answer: %v", err)
		}
		m.answer(call, body, err)
	}
}

// forwardBundle takes a bundle of requests in, as handIn does one of inputs. Its
// route stands for the customer.
func (m *Machine) forwardBundle(call uint64, ask ForwardBundle, now clock.Micros) {
	plan := m.scheduler.Plan()
	if plan == nil {
		m.answer(call, nil, errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no plan has arrived yet"))
		return
	}
	route, _ := plan.Route(ask.Route)
	if route == nil || route.Forward == nil || route.Kind != config.Bundle {
		m.answer(call, nil, errs.New(errs.UnknownRoute, "name a route of the plan in force that passes bundles on", "the plan passes no bundles on by a route %q", ask.Route))
		return
	}
	err := nameOf(ask.ID)
	if err == nil {
		err = checkItems(ask.Items, int(route.MostItems), true)
	}
	if err != nil {
		m.answer(call, nil, err)
		return
	}
	words := []string{route.Name}
	for _, item := range ask.Items {
		words = append(words, item.ID, string(item.Request.Body))
	}
	m.askStore(ask.ID, func(slot int) any {
		return store.EnrolAsk{Slot: slot, Expiry: m.set.Commit, Bundle: shard.Bundle{ID: ask.ID, Customer: route.Name, Hash: shard.Hash(words...), Route: route.Name, Plan: plan.Version, Items: ask.Items}}
	}, m.set.Commit+clock.Second, now, m.forwardAnswer(call))
}

func nameOf(bundle string) error {
	if bundle == "" || len(bundle) > 256 {
		return errs.New(errs.BadInput, "use a name of at most 256 bytes", "the bundle's name is missing or too long")
	}
	return nil
}

func (m *Machine) bundleStatusAny(call uint64, ask BundleStatusAny, now clock.Micros) {
	if ask.End {
		m.askStore(ask.Bundle, func(slot int) any {
			return store.EndAsk{Slot: slot, Bundle: ask.Bundle, Anyone: true, Expiry: m.set.Commit}
		}, m.set.Commit+clock.Second, now, m.forwardAnswer(call))
		return
	}
	m.askStore(ask.Bundle, func(slot int) any { return store.StatusAsk{Slot: slot, Bundle: ask.Bundle, Anyone: true} }, statusExpiry, now, m.forwardStatus(call))
}

// pageAny reads one bundle: without a customer there is no feed.
func (m *Machine) pageAny(call uint64, ask PageAny, now clock.Micros) {
	if err := nameOf(ask.Read.Bundle); err != nil {
		m.answer(call, nil, err)
		return
	}
	if ask.Read.From < 0 {
		m.answer(call, nil, errs.New(errs.BadInput, "count from 0", "the list has no row %d", ask.Read.From))
		return
	}
	ask.Read.Customer, ask.Read.Anyone = "", true
	m.reader.Start(ask.Read, now, func(page reader.Page, err error, _ clock.Micros) { m.answer(call, page, err) })
}

// bundleStatus asks a bundle's store how it stands, or ends it.
func (m *Machine) bundleStatus(call uint64, ask BundleStatus, now clock.Micros) {
	_, customer, _, err := m.caller(ask.Caller)
	if err != nil {
		m.answer(call, nil, err)
		return
	}
	if ask.End {
		m.askStore(ask.Bundle, func(slot int) any {
			return store.EndAsk{Slot: slot, Bundle: ask.Bundle, Customer: customer.Name, Expiry: m.set.Commit}
		}, m.set.Commit+clock.Second, now, m.forwardAnswer(call))
		return
	}
	m.askStore(ask.Bundle, func(slot int) any { return store.StatusAsk{Slot: slot, Bundle: ask.Bundle, Customer: customer.Name} }, statusExpiry, now, m.forwardAnswer(call))
}

func (m *Machine) page(call uint64, ask Page, now clock.Micros) {
	_, customer, _, err := m.caller(ask.Caller)
	if err != nil {
		m.answer(call, nil, err)
		return
	}
	ask.Read.Customer, ask.Read.Anyone = customer.Name, false
	m.reader.Start(ask.Read, now, func(page reader.Page, err error, _ clock.Micros) { m.answer(call, page, err) })
}
