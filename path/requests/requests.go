// Package requests is the way of callers' orders through an edge (DESIGN §7): who
// calls, what the plan opens to them, the allowance, the claim of a key, the
// queue, the tries on servers, and what the caller may be told for certain. It
// is a part of the edge's machine: the sockets are the event loop's.
package requests

import (
	"encoding/json"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/shard"
	"tuliprudder/ledger/store"
	"tuliprudder/path/decisionlog"
	"tuliprudder/path/modelclient"
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

// What the event loop hands in; each is a call, whose answer is the next word.
type (
	// Live is a live order as it came.
	Live struct {
		Order     string // the name this edge gave it
		Caller    string // the key the caller carries
		Route     string
		Key       string // idempotency key; "" for none
		Input     string
		MaxTokens int64
		ExpiryUS  int64 // 0: the route's
	}
	// Ran tells how a try on a server went.
	Ran struct {
		Order   string
		Outcome modelclient.Outcome
		Why     string // what went wrong
		Output  string // all that has come so far, over all tries
		Over    bool   // the order's expiry passed, or its caller left
	}
	// Began tells that a server has begun the order: until then it waits, in the
	// server's own queue as well.
	Began struct{ Order string }
	// Left tells that the caller has gone.
	Left struct{ Order string }
	// SubmitBundle is a bundle as it came.
	SubmitBundle struct {
		Caller string
		Route  string
		Key    string
		Items  []shard.Item
	}
	// BundleStatus asks how a bundle stands; End ends it.
	BundleStatus struct {
		Caller, Bundle string
		End            bool
	}
	// Page reads one bundle's list, or the feed.
	Page struct {
		Caller string
		Read   reader.Read
	}
	// ForwardBundle is a bundle of requests to be passed on, under its own name; no
	// caller's key comes with it (DESIGN §12.5).
	ForwardBundle struct {
		Route string
		ID    string
		Items []shard.Item
	}
	// BundleStatusAny asks how such a bundle stands; End ends it.
	BundleStatusAny struct {
		Bundle string
		End    bool
	}
	// PageAny reads such a bundle's list.
	PageAny struct{ Read reader.Read }
	// ItemBody asks for the body of an item of such a bundle that is not listed yet.
	ItemBody struct{ Bundle, Item string }
)

// What the event loop is told.
type (
	// Run says: run the order on this server, then tell how it went.
	Run struct {
		Request modelclient.Request
		Kind    string // of the route
		Expiry  clock.Micros
	}
	// Answer is the end of an order that is whole.
	Answer struct {
		Order    string `json:"order"`
		Status   string `json:"status"`
		Output   string `json:"output"`
		Server   string `json:"server"`
		Replayed bool   `json:"-"` // it is the key's first order's
	}
)

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

type order struct {
	Live
	customer   *config.Customer
	class      *config.Class
	route      *config.Route
	plan       uint64
	arrived    clock.Micros
	expiry     clock.Micros
	call       uint64 // who waits for the next word
	queued     *scheduler.Order
	assignment *scheduler.Assignment
	release    quota.Release
	avoid      map[string]int
	tries      int
	ran        bool // a try may have run, in part at least
	left       bool
	claimed    bool
	output     string
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

// live begins an order: it is checked, takes its place in the allowance, claims
// its key, and waits in the queue.
func (m *Machine) live(call uint64, ask Live, now clock.Micros) {
	o := &order{Live: ask, call: call, arrived: now, avoid: map[string]int{}}
	if err := m.check(o, now); err != nil {
		m.answer(call, nil, err)
		return
	}
	m.open[o.Order] = o
	m.quota.Take(o.customer.Name, o.class.Allowance, o.plan, 1, now, func(release quota.Release, err error, now clock.Micros) {
		if err != nil {
			m.end(o, nil, err, now)
			return
		}
		o.release = release
		m.decisions.Begin(decisionlog.Entry{Order: o.Order, Customer: o.customer.Name, Route: o.route.Name, Rank: o.class.Rank, Arrived: o.arrived})
		if o.Key != "" && !m.Unclaimed {
			m.claim(o, now)
			return
		}
		m.submit(o, nil, now)
	})
}

func (m *Machine) check(o *order, now clock.Micros) error {
	plan, customer, class, err := m.caller(o.Caller)
	if err != nil {
		return err
	}
	route, err := routeFor(plan, class, o.Route, false)
	if err != nil {
		return err
	}
	switch {
	case o.Input == "":
		return errs.New(errs.BadInput, "give the order an input", "input is empty")
	case o.MaxTokens < 0 || o.MaxTokens > route.MaxTokens:
		return errs.New(errs.BadInput, "leave max_tokens out, or keep to the route's bound", "max_tokens %d is not within 1 to %d", o.MaxTokens, route.MaxTokens)
	case o.ExpiryUS < 0:
		return errs.Later(errs.Expired, clock.Second, "give an expiry that lies ahead, in microseconds from now", "the order had expired before it came")
	case len(o.Key) > 256:
		return errs.New(errs.BadInput, "use a key of at most 256 bytes", "the idempotency key is too long")
	case o.Key != "" && route.Kind != config.OneShot:
		return errs.New(errs.BadInput, "leave the key out: only one-shot orders and bundles take one", "route %q is of kind %s", route.Name, route.Kind)
	case !m.scheduler.Fresh(now):
		return errs.Later(errs.NotReady, clock.Second, "ask another daemon, or come back", "this daemon's news are old; it refreshes them first")
	}
	o.customer, o.class, o.route, o.plan = customer, class, route, plan.Version
	o.expiry = now + route.Expiry
	if o.ExpiryUS > 0 {
		o.expiry = min(o.expiry, now+o.ExpiryUS)
	}
	if o.MaxTokens == 0 {
		o.MaxTokens = route.MaxTokens
	}
	return nil
}

// end gives an order's last word.
func (m *Machine) end(o *order, answer any, err error, now clock.Micros) {
	delete(m.open, o.Order)
	if o.release != nil {
		o.release(now)
	}
	if err != nil {
		m.decisions.Ended(o.Order, err.Error())
	}
	m.answer(o.call, answer, err)
}

// askStore asks the store of a bundle or a claim; back is told once.
func (m *Machine) askStore(id string, body func(slot int) any, expiry, now clock.Micros, back machine.Callback) {
	slot, owner, err := m.reader.StoreOf(id)
	if err != nil {
		back(nil, err, now)
		return
	}
	m.wire.Ask(owner.Peer, body(slot), expiry, back)
}

// claim claims the key before anything starts: a repeated key gets the first
// order's answer.
func (m *Machine) claim(o *order, now clock.Micros) {
	claim := shard.Claim{Customer: o.customer.Name, Key: o.Key, Order: o.Order, Hash: shard.Hash(o.route.Name, o.Input)}
	m.askStore(shard.ClaimID(o.customer.Name, o.Key), func(slot int) any { return store.ClaimAsk{Slot: slot, Claim: claim, Expiry: m.set.Commit} },
		m.set.Commit+clock.Second, now, func(body any, err error, now clock.Micros) {
			answer, ok := body.(store.ClaimAnswer)
			switch {
			case err != nil:
				m.end(o, nil, err, now)
			case !ok:
				m.end(o, nil, unexpectedAnswer(body), now)
			case answer.Yours:
				o.claimed = true
				m.submit(o, nil, now)
			case answer.Claim.State == shard.Answered:
				var first Answer
				if err := json.Unmarshal(answer.Claim.Answer, &first); err != nil {
					m.end(o, nil, errs.New(errs.ServerFault, "run the same release on all daemons", "the key's first answer can't be read: %v", err), now)
					return
				}
				first.Replayed = true
				m.end(o, first, nil, now)
			default:
				m.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask again with the same key for the first order's answer", "the key's first order (%s) runs, or was cut off", answer.Claim.Order), now)
			}
		})
}

func unexpectedAnswer(body any) error {
	return errs.New(errs.ServerFault, "run the same release on all daemons", "the keeper answered %T", body)
}

// settle notes how a claimed order went, so that a repeated key hears it.
func (m *Machine) settle(o *order, state string, answer any, now clock.Micros, back func(error, clock.Micros)) {
	id := shard.ClaimID(o.customer.Name, o.Key)
	data, _ := json.Marshal(answer)
	m.askStore(id, func(slot int) any {
		return store.SettleAsk{Slot: slot, ID: id, State: state, Answer: data, Expiry: m.set.Commit}
	}, m.set.Commit+clock.Second, now, func(_ any, err error, now clock.Micros) { back(err, now) })
}

// reject says no for good. A claimed key is voided durably first; where that
// can't be confirmed the outcome is unknown.
func (m *Machine) reject(o *order, why error, now clock.Micros) {
	if !o.claimed {
		m.end(o, nil, why, now)
		return
	}
	m.settle(o, shard.Void, nil, now, func(err error, now clock.Micros) {
		if err != nil {
			why = errs.Later(errs.OutcomeUnknown, clock.Second, "ask again with the same key", "the order did not run, but its key could not be freed: %v", err)
		}
		m.end(o, nil, why, now)
	})
}

// giveUp ends an order that no server finished: it is rejected only if no try
// of it can have run.
func (m *Machine) giveUp(o *order, why error, now clock.Micros) {
	if o.ran && !m.LateRefusal {
		m.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask anew; this stream does not go on", "a try of the order may have run in part: %v", why), now)
		return
	}
	m.reject(o, why, now)
}

// submit lets an order wait for a server; last is why it has to once more.
func (m *Machine) submit(o *order, last error, now clock.Micros) {
	switch {
	case o.left:
		m.giveUp(o, callerGone(), now)
		return
	case o.tries >= m.set.MostTries, o.tries > 0 && !m.scheduler.Retry():
		m.giveUp(o, last, now)
		return
	}
	o.tries++
	o.queued = &scheduler.Order{ID: o.Order, Customer: o.customer.Name, Route: o.route, Rank: o.class.Rank, Prefix: o.route.Prefix, Expiry: o.expiry, Avoid: o.avoid}
	o.queued.Drop = func(err error, now clock.Micros) { m.giveUp(o, err, now) }
	o.queued.Start = func(assignment *scheduler.Assignment, now clock.Micros) {
		o.assignment = assignment
		if m.FromStart {
			o.output = ""
		}
		m.answer(o.call, Run{Kind: o.route.Kind, Expiry: o.expiry, Request: modelclient.Request{Address: assignment.Server.Address, Order: o.Order, Model: o.route.Model, Prefix: o.route.Prefix,
			Input: o.Input, Partial: o.output, MaxTokens: o.MaxTokens, Priority: m.scheduler.Priority(o.queued), Silence: m.set.Silence}}, nil)
	}
	if err := m.scheduler.Submit(o.queued, now); err != nil {
		m.giveUp(o, err, now)
	}
}

func callerGone() error {
	return errs.New(errs.Refused, "ask again", "the caller left before the order started")
}

// callerLeft takes an order whose caller has gone out of the queue. One that runs
// is ended by the event loop, which tells how it went.
func (m *Machine) callerLeft(name string, now clock.Micros) {
	o := m.open[name]
	if o == nil {
		return
	}
	o.left = true
	if o.queued != nil && o.assignment == nil && m.scheduler.Cancel(o.queued) {
		m.giveUp(o, callerGone(), now)
	}
}

// tryFinished decides by how a try went.
func (m *Machine) tryFinished(call uint64, ran Ran, now clock.Micros) {
	o := m.open[ran.Order]
	if o == nil || o.assignment == nil {
		m.answer(call, nil, errs.New(errs.OutcomeUnknown, "ask anew", "no order %q is under way here", ran.Order))
		return
	}
	assignment := o.assignment
	o.call, o.assignment, o.queued, o.output = call, nil, nil, ran.Output
	m.decisions.Tried(o.Order, decisionlog.Try{Server: assignment.Server.Name, Scores: assignment.Scores, At: assignment.Started, Took: now - assignment.Started, Outcome: ran.Outcome.String(), Error: ran.Why})
	switch {
	case ran.Outcome == modelclient.Complete, m.TakeCut && ran.Outcome == modelclient.Cut && ran.Output != "":
		assignment.Release(now-assignment.Started, true, now)
		answer := Answer{Order: o.Order, Status: "ok", Output: ran.Output, Server: assignment.Server.Name}
		if !o.claimed {
			m.end(o, answer, nil, now)
			return
		}
		m.settle(o, shard.Answered, answer, now, func(_ error, now clock.Micros) { m.end(o, answer, nil, now) })
	case ran.Outcome == modelclient.NotStarted:
		assignment.Rejected(now)
		if o.avoid[assignment.Server.Name] = 3; len(o.avoid) >= 3 {
			clear(o.avoid)
		}
		m.submit(o, errs.Later(errs.Busy, m.scheduler.After(now), "come back after the time given", "no server took the order: %s", ran.Why), now)
	case ran.Outcome == modelclient.Rejected:
		assignment.Release(0, true, now)
		m.giveUp(o, errs.New(errs.BadInput, "correct the input for this route's model", "%s", ran.Why), now)
	case o.route.Kind == config.OneShot && !m.SecondRun:
		// It may have run: never a second time.
		assignment.Release(0, false, now)
		m.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "find out by other means whether it ran before asking anew", "the order started on a server and gave no whole answer: %s", ran.Why), now)
	case ran.Over || (ran.Output != "" && o.route.Kind == config.Stream):
		assignment.Release(0, ran.Over, now)
		m.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask anew; this stream does not go on", "the stream was cut: %s", ran.Why), now)
	default:
		// Nothing has reached the caller yet, or the kind may be gone on with.
		assignment.Release(0, false, now)
		o.ran = true
		o.avoid[assignment.Server.Name]++
		m.submit(o, errs.Later(errs.ServerFault, clock.Second, "ask again", "no server finished the order: %s", ran.Why), now)
	}
}

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
			err = errs.Later(errs.NotReady, clock.Second, "ask again; nothing was changed", "the keeper gave no answer: %v", err)
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

// bundleStatus asks a bundle's keeper how it stands, or ends it.
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
