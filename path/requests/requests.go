// Package requests is the way of callers' orders through an edge (DESIGN §7): who
// calls, what the plan opens to them, the allowance, the claim of a key, the
// backlog, the tries on servers, and what the caller may be told for certain. It
// is a part of the edge's machine: the sockets are the shell's.
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

// Settings of the orders; the defaults are ours.
type Settings struct {
	MostTries int
	Silence   clock.Micros // longest wait for a server's next piece
	Commit    clock.Micros // how long a receipt may take before its outcome is unknown
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MostTries: 4, Silence: 5 * clock.Second, Commit: 3 * clock.Second}
}

// What the shell hands in; each is a call, whose answer is the next word.
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
	// HandIn is a bundle as it came.
	HandIn struct {
		Caller string
		Route  string
		Key    string
		Items  []shard.Item
	}
	// Look asks how a bundle stands; End ends it.
	Look struct {
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
	// LookAny asks how such a bundle stands; End ends it.
	LookAny struct {
		Bundle string
		End    bool
	}
	// PageAny reads such a bundle's list.
	PageAny struct{ Read reader.Read }
	// ItemBody asks for the body of an item of such a bundle that is not listed yet.
	ItemBody struct{ Bundle, Item string }
)

// What the shell is told.
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
	set      Settings
	wire     *machine.Wire
	dispatch *scheduler.Scheduler
	purse    *quota.Quota
	reader   *reader.Reader
	book     *decisionlog.Book
	open     map[string]*order
	// SecondRun is a fault planted by tests: a one-shot order whose outcome is
	// not known is run again elsewhere.
	SecondRun bool
	// LateRefusal is a fault planted by tests: an order that may have run is said
	// to be turned away.
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
	customer *config.Customer
	class    *config.Class
	route    *config.Route
	plan     uint64
	arrived  clock.Micros
	expiry   clock.Micros
	call     uint64 // who waits for the next word
	wanted   *scheduler.Order
	grip     *scheduler.Grip
	give     quota.Give
	avoid    map[string]int
	tries    int
	ran      bool // a try may have run, in part at least
	left     bool
	claimed  bool
	output   string
}

// New makes the part of an edge's machine that carries orders.
func New(set Settings, wire *machine.Wire, d *scheduler.Scheduler, p *quota.Quota, r *reader.Reader, book *decisionlog.Book) *Machine {
	return &Machine{set: set, wire: wire, dispatch: d, purse: p, reader: r, book: book, open: map[string]*order{}}
}

// Open is how many live orders are under way.
func (t *Machine) Open() int { return len(t.open) }

// Call takes what the shell hands in; false for anything else.
func (t *Machine) Call(number uint64, body any, now clock.Micros) bool {
	switch ask := body.(type) {
	case Live:
		t.live(number, ask, now)
	case Ran:
		t.went(number, ask, now)
	case Began:
		if o := t.open[ask.Order]; o != nil {
			o.give(now)
		}
		t.answer(number, nil, nil)
	case Left:
		t.leave(ask.Order, now)
		t.answer(number, nil, nil)
	case HandIn:
		t.handIn(number, ask, now)
	case Look:
		t.look(number, ask, now)
	case Page:
		t.page(number, ask, now)
	case ForwardBundle:
		t.forwardBundle(number, ask, now)
	case LookAny:
		t.lookAny(number, ask, now)
	case PageAny:
		t.pageAny(number, ask, now)
	case ItemBody:
		t.keep(ask.Bundle, func(slot int) any { return store.ItemAsk{Slot: slot, Bundle: ask.Bundle, Item: ask.Item} }, lookExpiry, now, t.passOnLook(number))
	default:
		return false
	}
	return true
}

func (t *Machine) answer(call uint64, body any, err error) {
	t.wire.Emit(machine.Answer{Call: call, Body: body, Err: err})
}

// caller finds who calls by the key it carries.
func (t *Machine) caller(key string) (*config.Plan, *config.Customer, *config.Class, error) {
	plan := t.dispatch.Plan()
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

// way finds the route and checks that the customer's class may use it.
func way(plan *config.Plan, class *config.Class, name string, bundle bool) (*config.Route, error) {
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
// its key, and waits in the backlog.
func (t *Machine) live(call uint64, ask Live, now clock.Micros) {
	o := &order{Live: ask, call: call, arrived: now, avoid: map[string]int{}}
	if err := t.check(o, now); err != nil {
		t.answer(call, nil, err)
		return
	}
	t.open[o.Order] = o
	t.purse.Take(o.customer.Name, o.class.Allowance, o.plan, 1, now, func(give quota.Give, err error, now clock.Micros) {
		if err != nil {
			t.end(o, nil, err, now)
			return
		}
		o.give = give
		t.book.Begin(decisionlog.Story{Order: o.Order, Customer: o.customer.Name, Route: o.route.Name, Rank: o.class.Rank, Arrived: o.arrived})
		if o.Key != "" && !t.Unclaimed {
			t.claim(o, now)
			return
		}
		t.enrol(o, nil, now)
	})
}

func (t *Machine) check(o *order, now clock.Micros) error {
	plan, customer, class, err := t.caller(o.Caller)
	if err != nil {
		return err
	}
	route, err := way(plan, class, o.Route, false)
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
	case !t.dispatch.Fresh(now):
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
func (t *Machine) end(o *order, answer any, err error, now clock.Micros) {
	delete(t.open, o.Order)
	if o.give != nil {
		o.give(now)
	}
	if err != nil {
		t.book.Ended(o.Order, err.Error())
	}
	t.answer(o.call, answer, err)
}

// keep asks the keeper of a bundle or a claim; back is told once.
func (t *Machine) keep(id string, body func(slot int) any, expiry, now clock.Micros, back machine.Callback) {
	slot, owner, err := t.reader.Keeper(id)
	if err != nil {
		back(nil, err, now)
		return
	}
	t.wire.Ask(owner.Peer, body(slot), expiry, back)
}

// claim claims the key before anything starts: a repeated key gets the first
// order's answer.
func (t *Machine) claim(o *order, now clock.Micros) {
	claim := shard.Claim{Customer: o.customer.Name, Key: o.Key, Order: o.Order, Hash: shard.Hash(o.route.Name, o.Input)}
	t.keep(shard.ClaimID(o.customer.Name, o.Key), func(slot int) any { return store.ClaimAsk{Slot: slot, Claim: claim, Expiry: t.set.Commit} },
		t.set.Commit+clock.Second, now, func(body any, err error, now clock.Micros) {
			answer, ok := body.(store.ClaimAnswer)
			switch {
			case err != nil:
				t.end(o, nil, err, now)
			case !ok:
				t.end(o, nil, strange(body), now)
			case answer.Yours:
				o.claimed = true
				t.enrol(o, nil, now)
			case answer.Claim.State == shard.Answered:
				var first Answer
				if err := json.Unmarshal(answer.Claim.Answer, &first); err != nil {
					t.end(o, nil, errs.New(errs.ServerFault, "run the same release on all daemons", "the key's first answer can't be read: %v", err), now)
					return
				}
				first.Replayed = true
				t.end(o, first, nil, now)
			default:
				t.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask again with the same key for the first order's answer", "the key's first order (%s) runs, or was cut off", answer.Claim.Order), now)
			}
		})
}

func strange(body any) error {
	return errs.New(errs.ServerFault, "run the same release on all daemons", "the keeper answered %T", body)
}

// settle notes how a claimed order went, so that a repeated key hears it.
func (t *Machine) settle(o *order, state string, answer any, now clock.Micros, back func(error, clock.Micros)) {
	id := shard.ClaimID(o.customer.Name, o.Key)
	data, _ := json.Marshal(answer)
	t.keep(id, func(slot int) any {
		return store.SettleAsk{Slot: slot, ID: id, State: state, Answer: data, Expiry: t.set.Commit}
	}, t.set.Commit+clock.Second, now, func(_ any, err error, now clock.Micros) { back(err, now) })
}

// turnAway says no for good. A claimed key is voided durably first; where that
// can't be confirmed the outcome is unknown.
func (t *Machine) turnAway(o *order, why error, now clock.Micros) {
	if !o.claimed {
		t.end(o, nil, why, now)
		return
	}
	t.settle(o, shard.Void, nil, now, func(err error, now clock.Micros) {
		if err != nil {
			why = errs.Later(errs.OutcomeUnknown, clock.Second, "ask again with the same key", "the order did not run, but its key could not be freed: %v", err)
		}
		t.end(o, nil, why, now)
	})
}

// giveUp ends an order that no server finished: it is turned away only if no try
// of it can have run.
func (t *Machine) giveUp(o *order, why error, now clock.Micros) {
	if o.ran && !t.LateRefusal {
		t.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask anew; this stream does not go on", "a try of the order may have run in part: %v", why), now)
		return
	}
	t.turnAway(o, why, now)
}

// enrol lets an order wait for a server; last is why it has to once more.
func (t *Machine) enrol(o *order, last error, now clock.Micros) {
	switch {
	case o.left:
		t.giveUp(o, gone(), now)
		return
	case o.tries >= t.set.MostTries, o.tries > 0 && !t.dispatch.Retry():
		t.giveUp(o, last, now)
		return
	}
	o.tries++
	o.wanted = &scheduler.Order{ID: o.Order, Customer: o.customer.Name, Route: o.route, Rank: o.class.Rank, Prefix: o.route.Prefix, Expiry: o.expiry, Avoid: o.avoid}
	o.wanted.Drop = func(err error, now clock.Micros) { t.giveUp(o, err, now) }
	o.wanted.Start = func(grip *scheduler.Grip, now clock.Micros) {
		o.grip = grip
		if t.FromStart {
			o.output = ""
		}
		t.answer(o.call, Run{Kind: o.route.Kind, Expiry: o.expiry, Request: modelclient.Request{Address: grip.Server.Address, Order: o.Order, Model: o.route.Model, Prefix: o.route.Prefix,
			Input: o.Input, Partial: o.output, MaxTokens: o.MaxTokens, Priority: t.dispatch.Priority(o.wanted), Silence: t.set.Silence}}, nil)
	}
	if err := t.dispatch.Enrol(o.wanted, now); err != nil {
		t.giveUp(o, err, now)
	}
}

func gone() error {
	return errs.New(errs.Refused, "ask again", "the caller left before the order started")
}

// leave takes an order whose caller has gone out of the backlog. One that runs
// is ended by the shell, which tells how it went.
func (t *Machine) leave(name string, now clock.Micros) {
	o := t.open[name]
	if o == nil {
		return
	}
	o.left = true
	if o.wanted != nil && o.grip == nil && t.dispatch.Cancel(o.wanted) {
		t.giveUp(o, gone(), now)
	}
}

// went decides by how a try went.
func (t *Machine) went(call uint64, ran Ran, now clock.Micros) {
	o := t.open[ran.Order]
	if o == nil || o.grip == nil {
		t.answer(call, nil, errs.New(errs.OutcomeUnknown, "ask anew", "no order %q is under way here", ran.Order))
		return
	}
	grip := o.grip
	o.call, o.grip, o.wanted, o.output = call, nil, nil, ran.Output
	t.book.Tried(o.Order, decisionlog.Try{Server: grip.Server.Name, Marks: grip.Marks, At: grip.Started, Took: now - grip.Started, Outcome: ran.Outcome.String(), Error: ran.Why})
	switch {
	case ran.Outcome == modelclient.Complete, t.TakeCut && ran.Outcome == modelclient.Cut && ran.Output != "":
		grip.Release(now-grip.Started, true, now)
		answer := Answer{Order: o.Order, Status: "ok", Output: ran.Output, Server: grip.Server.Name}
		if !o.claimed {
			t.end(o, answer, nil, now)
			return
		}
		t.settle(o, shard.Answered, answer, now, func(_ error, now clock.Micros) { t.end(o, answer, nil, now) })
	case ran.Outcome == modelclient.NotStarted:
		grip.TurnedAway(now)
		if o.avoid[grip.Server.Name] = 3; len(o.avoid) >= 3 {
			clear(o.avoid)
		}
		t.enrol(o, errs.Later(errs.Busy, t.dispatch.After(now), "come back after the time given", "no server took the order: %s", ran.Why), now)
	case ran.Outcome == modelclient.Rejected:
		grip.Release(0, true, now)
		t.giveUp(o, errs.New(errs.BadInput, "correct the input for this route's model", "%s", ran.Why), now)
	case o.route.Kind == config.OneShot && !t.SecondRun:
		// It may have run: never a second time.
		grip.Release(0, false, now)
		t.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "find out by other means whether it ran before asking anew", "the order started on a server and gave no whole answer: %s", ran.Why), now)
	case ran.Over || (ran.Output != "" && o.route.Kind == config.Stream):
		grip.Release(0, ran.Over, now)
		t.end(o, nil, errs.Later(errs.OutcomeUnknown, clock.Second, "ask anew; this stream does not go on", "the stream was cut: %s", ran.Why), now)
	default:
		// Nothing has reached the caller yet, or the kind may be gone on with.
		grip.Release(0, false, now)
		o.ran = true
		o.avoid[grip.Server.Name]++
		t.enrol(o, errs.Later(errs.ServerFault, clock.Second, "ask again", "no server finished the order: %s", ran.Why), now)
	}
}

// handIn takes a bundle in: whole and on two disks, or not at all.
func (t *Machine) handIn(call uint64, ask HandIn, now clock.Micros) {
	plan, customer, class, route, err := t.bundleWay(ask)
	if err != nil {
		t.answer(call, nil, err)
		return
	}
	if err := checkItems(ask.Items, int(route.MostItems), false); err != nil {
		t.answer(call, nil, err)
		return
	}
	if int64(len(ask.Items)) > class.Allowance {
		t.answer(call, nil, errs.New(errs.OverAllowance, "send a smaller bundle, or buy a larger allowance", "%d items are more than the whole allowance of %d", len(ask.Items), class.Allowance))
		return
	}
	words := []string{route.Name}
	for _, item := range ask.Items {
		words = append(words, item.ID, item.Input)
	}
	id := shard.BundleID(customer.Name, ask.Key)
	t.keep(id, func(slot int) any {
		return store.EnrolAsk{Slot: slot, Expiry: t.set.Commit, Bundle: shard.Bundle{ID: id, Customer: customer.Name, Key: ask.Key, Hash: shard.Hash(words...), Route: route.Name, Plan: plan.Version, Items: ask.Items}}
	}, t.set.Commit+clock.Second, now, t.passOn(call))
}

func (t *Machine) bundleWay(ask HandIn) (*config.Plan, *config.Customer, *config.Class, *config.Route, error) {
	plan, customer, class, err := t.caller(ask.Caller)
	if err != nil {
		return nil, nil, nil, nil, err
	}
	route, err := way(plan, class, ask.Route, true)
	if err == nil && (ask.Key == "" || len(ask.Key) > 256) {
		err = errs.New(errs.BadInput, "use a key of at most 256 bytes", "the idempotency key is missing or too long")
	}
	return plan, customer, class, route, err
}

// passOn hands a keeper's answer to who called.
func (t *Machine) passOn(call uint64) machine.Callback {
	return func(body any, err error, _ clock.Micros) { t.answer(call, body, err) }
}

// lookExpiry is how long a keeper may take to say how things stand.
const lookExpiry = 2 * clock.Second

// passOnLook hands on the answer to a question that changes nothing: where none
// came, asking again is always safe.
func (t *Machine) passOnLook(call uint64) machine.Callback {
	return func(body any, err error, _ clock.Micros) {
		if err != nil && errs.Of(err).Kind == errs.OutcomeUnknown {
			err = errs.Later(errs.NotReady, clock.Second, "ask again; nothing was changed", "the keeper gave no answer: %v", err)
		}
		t.answer(call, body, err)
	}
}

// forwardBundle takes a bundle of requests in, as handIn does one of inputs. Its
// route stands for the customer.
func (t *Machine) forwardBundle(call uint64, ask ForwardBundle, now clock.Micros) {
	plan := t.dispatch.Plan()
	if plan == nil {
		t.answer(call, nil, errs.Later(errs.NotReady, clock.Second, "ask again; the daemon has just started", "no plan has arrived yet"))
		return
	}
	route, _ := plan.Route(ask.Route)
	if route == nil || route.Forward == nil || route.Kind != config.Bundle {
		t.answer(call, nil, errs.New(errs.UnknownRoute, "name a route of the plan in force that passes bundles on", "the plan passes no bundles on by a route %q", ask.Route))
		return
	}
	err := nameOf(ask.ID)
	if err == nil {
		err = checkItems(ask.Items, int(route.MostItems), true)
	}
	if err != nil {
		t.answer(call, nil, err)
		return
	}
	words := []string{route.Name}
	for _, item := range ask.Items {
		words = append(words, item.ID, string(item.Request.Body))
	}
	t.keep(ask.ID, func(slot int) any {
		return store.EnrolAsk{Slot: slot, Expiry: t.set.Commit, Bundle: shard.Bundle{ID: ask.ID, Customer: route.Name, Hash: shard.Hash(words...), Route: route.Name, Plan: plan.Version, Items: ask.Items}}
	}, t.set.Commit+clock.Second, now, t.passOn(call))
}

func nameOf(bundle string) error {
	if bundle == "" || len(bundle) > 256 {
		return errs.New(errs.BadInput, "use a name of at most 256 bytes", "the bundle's name is missing or too long")
	}
	return nil
}

func (t *Machine) lookAny(call uint64, ask LookAny, now clock.Micros) {
	if ask.End {
		t.keep(ask.Bundle, func(slot int) any {
			return store.EndAsk{Slot: slot, Bundle: ask.Bundle, Anyone: true, Expiry: t.set.Commit}
		}, t.set.Commit+clock.Second, now, t.passOn(call))
		return
	}
	t.keep(ask.Bundle, func(slot int) any { return store.StatusAsk{Slot: slot, Bundle: ask.Bundle, Anyone: true} }, lookExpiry, now, t.passOnLook(call))
}

// pageAny reads one bundle: without a customer there is no feed.
func (t *Machine) pageAny(call uint64, ask PageAny, now clock.Micros) {
	if err := nameOf(ask.Read.Bundle); err != nil {
		t.answer(call, nil, err)
		return
	}
	if ask.Read.From < 0 {
		t.answer(call, nil, errs.New(errs.BadInput, "count from 0", "the list has no row %d", ask.Read.From))
		return
	}
	ask.Read.Customer, ask.Read.Anyone = "", true
	t.reader.Start(ask.Read, now, func(page reader.Page, err error, _ clock.Micros) { t.answer(call, page, err) })
}

// look asks a bundle's keeper how it stands, or ends it.
func (t *Machine) look(call uint64, ask Look, now clock.Micros) {
	_, customer, _, err := t.caller(ask.Caller)
	if err != nil {
		t.answer(call, nil, err)
		return
	}
	if ask.End {
		t.keep(ask.Bundle, func(slot int) any {
			return store.EndAsk{Slot: slot, Bundle: ask.Bundle, Customer: customer.Name, Expiry: t.set.Commit}
		}, t.set.Commit+clock.Second, now, t.passOn(call))
		return
	}
	t.keep(ask.Bundle, func(slot int) any { return store.StatusAsk{Slot: slot, Bundle: ask.Bundle, Customer: customer.Name} }, lookExpiry, now, t.passOn(call))
}

func (t *Machine) page(call uint64, ask Page, now clock.Micros) {
	_, customer, _, err := t.caller(ask.Caller)
	if err != nil {
		t.answer(call, nil, err)
		return
	}
	ask.Read.Customer, ask.Read.Anyone = customer.Name, false
	t.reader.Start(ask.Read, now, func(page reader.Page, err error, _ clock.Micros) { t.answer(call, page, err) })
}
