// Package requests is the way of callers' orders through an edge (DESIGN §7): who
// calls, what the plan opens to them, the allowance, the claim of a key, the
// queue, the tries on servers, and what the caller may be told for certain. It
// is a part of the edge's machine: the sockets are the event loop's.
package requests

import (
	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/store"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/quota"
	"tuliprudder/path/reader"
	"tuliprudder/path/scheduler"
)

// Settings of the orders; Defaults has the usual values.
type Settings struct {
	MostTries int
	Silence   clock.Micros // longest wait for a server's next piece
	Commit    clock.Micros // how long a receipt may take before its outcome is unknown
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MostTries: 4, Silence: 5 * clock.Second, Commit: 3 * clock.Second}
}

// Machine holds the orders under way.
type Machine struct {
	set       Settings
	wire      *machine.Wire
	scheduler *scheduler.Scheduler
	quota     *quota.Quota
	reader    *reader.Reader
	decisions *decisionlog.Log
	open      map[string]*order
	// SecondRun is a fault planted by tests: a one-shot order whose outcome is
	// not known is run again elsewhere.
	SecondRun bool
	// LateRefusal is a fault planted by tests: an order that may have run is said
	// to be rejected.
	LateRefusal bool
	// FromStart is a fault planted by tests: a stream that is gone on with begins
	// anew.
	FromStart bool
	// TakeCut is a fault planted by tests: an answer that was cut is taken as whole.
	TakeCut bool
	// Unclaimed is a fault planted by tests: a key is not claimed first.
	Unclaimed bool
}

// New makes the part of an edge's machine that carries orders.
func New(set Settings, wire *machine.Wire, d *scheduler.Scheduler, p *quota.Quota, r *reader.Reader, book *decisionlog.Log) *Machine {
	return &Machine{set: set, wire: wire, scheduler: d, quota: p, reader: r, decisions: book, open: map[string]*order{}}
}

// Open is how many live orders are under way.
func (m *Machine) Open() int { return len(m.open) }

// Call takes what the event loop hands in; false for anything else.
func (m *Machine) Call(number uint64, body any, now clock.Micros) bool {
	switch ask := body.(type) {
	case Live:
		m.live(number, ask, now)
	case Ran:
		m.tryFinished(number, ask, now)
	case Began:
		if o := m.open[ask.Order]; o != nil {
			o.release(now)
		}
		m.answer(number, nil, nil)
	case Left:
		m.callerLeft(ask.Order, now)
		m.answer(number, nil, nil)
	case SubmitBundle:
		m.submitBundle(number, ask, now)
	case BundleStatus:
		m.bundleStatus(number, ask, now)
	case Page:
		m.page(number, ask, now)
	case ForwardBundle:
		m.forwardBundle(number, ask, now)
	case BundleStatusAny:
		m.bundleStatusAny(number, ask, now)
	case PageAny:
		m.pageAny(number, ask, now)
	case ItemBody:
		m.askStore(ask.Bundle, func(slot int) any { return store.ItemAsk{Slot: slot, Bundle: ask.Bundle, Item: ask.Item} }, statusExpiry, now, m.forwardStatus(number))
	default:
		return false
	}
	return true
}

func (m *Machine) answer(call uint64, body any, err error) {
	m.wire.Emit(machine.Answer{Call: call, Body: body, Err: err})
}

// caller finds who calls by the key it carries.
func (m *Machine) caller(key string) (*config.Plan, *config.Customer, *config.Class, error) {
	plan := m.scheduler.Plan()
	if plan == nil {
		return nil, nil, nil, errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no plan has arrived yet")
	}
	if key == "" {
		return nil, nil, nil, errs.New(errs.Unauthorised, "send the header Authorization: Bearer KEY", "the order carries no customer key")
	}
	customer, class, ok := plan.CustomerOf(key)
	if !ok {
		return nil, nil, nil, errs.New(errs.Unauthorised, "check the key, or have the operators add the customer to the plan", "no customer has this key")
	}
	return plan, customer, class, nil
}

// routeFor finds the route and checks that the customer's class may use it.
func routeFor(plan *config.Plan, class *config.Class, name string, bundle bool) (*config.Route, error) {
	route, ok := plan.Route(name)
	if !ok || route.Forward != nil || !route.Classes.Matches(class.Labels) {
		return nil, errs.New(errs.UnknownRoute, "name a route that the plan opens to this customer's class", "no route %q for this customer", name)
	}
	if bundle != (route.Kind == config.Bundle) {
		return nil, errs.New(errs.BadInput, "hand bundles to /bundles of bundle routes, live orders to /orders of the others", "route %q is of kind %s", name, route.Kind)
	}
	return route, nil
}
