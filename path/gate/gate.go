// Package gate serves callers at an edge (DESIGN §7): one function an order,
// read from top to bottom.
package gate

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"tuliprudder/core/planbook"
	"tuliprudder/kernel/mishap"
	"tuliprudder/kernel/porch"
	"tuliprudder/kernel/sundial"
	"tuliprudder/ledger/daybook"
	"tuliprudder/ledger/keeper"
	"tuliprudder/path/dispatch"
	"tuliprudder/path/guestbook"
	"tuliprudder/path/reader"
	"tuliprudder/path/serverline"
)

// Settings of the gate; the defaults are ours.
type Settings struct {
	MostTries int
	Silence   sundial.Micros
	MostBytes int
	Commit    sundial.Micros // how long a receipt may take before its outcome is unknown
	MostWait  sundial.Micros // longest long poll
}

// Defaults are the starting values.
func Defaults() Settings {
	return Settings{MostTries: 4, Silence: 5 * sundial.Second, MostBytes: 256 << 10, Commit: 3 * sundial.Second, MostWait: 30 * sundial.Second}
}

// Purse watches the customers' allowances.
type Purse interface {
	// Take reserves waiting work; an error turns the order away.
	Take(customer string, allowance int64, plan uint64, count int) (release func(), err error)
}

// Gate is the edge daemon's front.
type Gate struct {
	Set      Settings
	Dispatch *dispatch.Dispatch
	Reader   *reader.Reader
	Purse    Purse
	Ask      reader.Asker
	Clock    func() sundial.Micros
	Log      zerolog.Logger
	Name     string
	Book     *guestbook.Book
}

// Routes hangs the callers' paths on the porch.
func (g *Gate) Routes(p *porch.Porch) {
	p.Handle(http.MethodPost, "/v1/routes/:route/orders", g.Live)
	p.Handle(http.MethodPost, "/v1/routes/:route/bundles", g.Bundle)
	p.Handle(http.MethodGet, "/v1/bundles/:bundle", g.Status)
	p.Handle(http.MethodDelete, "/v1/bundles/:bundle", g.End)
	p.Handle(http.MethodGet, "/v1/bundles/:bundle/results", g.Results)
	p.Handle(http.MethodGet, "/v1/results", g.Feed)
}

func newOrder() string {
	var random [8]byte
	rand.Read(random[:])
	return "o-" + hex.EncodeToString(random[:])
}

// caller finds who calls by the key it carries.
func (g *Gate) caller(r *http.Request) (*planbook.Plan, *planbook.Customer, *planbook.Class, error) {
	plan := g.Dispatch.Plan()
	if plan == nil {
		return nil, nil, nil, mishap.Later(mishap.NotReady, sundial.Second, "ask again; the daemon has just started", "no plan has arrived yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, nil, nil, mishap.New(mishap.Unauthorised, "send the header Authorization: Bearer KEY", "the order carries no customer key")
	}
	customer, class, ok := plan.CustomerOf(key)
	if !ok {
		return nil, nil, nil, mishap.New(mishap.Unauthorised, "check the key, or have the operators add the customer to the plan", "no customer has this key")
	}
	return plan, customer, class, nil
}

// way finds the route and checks that the customer's class may use it.
func (g *Gate) way(plan *planbook.Plan, class *planbook.Class, name string, bundle bool) (*planbook.Route, error) {
	route, ok := plan.Route(name)
	if !ok || !route.Classes.Matches(class.Labels) {
		return nil, mishap.New(mishap.UnknownRoute, "name a route that the plan opens to this customer's class", "no route %q for this customer", name)
	}
	if bundle != (route.Kind == planbook.Bundle) {
		return nil, mishap.New(mishap.BadInput, "hand bundles to /bundles of bundle routes, live orders to /orders of the others", "route %q is of kind %s", name, route.Kind)
	}
	return route, nil
}

func part(r *http.Request, name string) string { return porchVar(r, name) }

// LiveBody is a live order.
type LiveBody struct {
	Input     string `json:"input"`
	MaxTokens int64  `json:"max_tokens"`
	ExpiryUS  int64  `json:"expiry_us"`
}

// LiveAnswer is the answer of a one-shot order.
type LiveAnswer struct {
	Order  string `json:"order"`
	Status string `json:"status"`
	Output string `json:"output"`
	Server string `json:"server"`
}

// Live serves one live order of any kind.
func (g *Gate) Live(w http.ResponseWriter, r *http.Request) error {
	arrived := g.Clock()
	plan, customer, class, err := g.caller(r)
	if err != nil {
		return err
	}
	route, err := g.way(plan, class, part(r, "route"), false)
	if err != nil {
		return err
	}
	data, err := porch.ReadBody(r)
	if err != nil {
		return err
	}
	var body LiveBody
	if err := porch.Decode(data, &body); err != nil {
		return err
	}
	switch {
	case body.Input == "":
		return mishap.New(mishap.BadInput, "give the order an input", "input is empty")
	case body.MaxTokens < 0 || body.MaxTokens > route.MaxTokens:
		return mishap.New(mishap.BadInput, "leave max_tokens out, or keep to the route's bound", "max_tokens %d is not within 1 to %d", body.MaxTokens, route.MaxTokens)
	case body.ExpiryUS < 0:
		return mishap.Later(mishap.Expired, sundial.Second, "give an expiry that lies ahead, in microseconds from now", "the order had expired before it came")
	}
	expiry := arrived + route.Expiry
	if body.ExpiryUS > 0 {
		expiry = min(expiry, arrived+body.ExpiryUS)
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = route.MaxTokens
	}
	if !g.Dispatch.Fresh() {
		return mishap.Later(mishap.NotReady, sundial.Second, "ask another daemon, or come back", "this daemon's news are old; it refreshes them first")
	}
	release, err := g.Purse.Take(customer.Name, class.Allowance, plan.Version, 1)
	if err != nil {
		return err
	}
	defer release()
	order := newOrder()
	key := r.Header.Get("Idempotency-Key")
	if len(key) > 256 {
		return mishap.New(mishap.BadInput, "use a key of at most 256 bytes", "the idempotency key is too long")
	}
	if key != "" && route.Kind != planbook.OneShot {
		return mishap.New(mishap.BadInput, "leave the key out: only one-shot orders and bundles take one", "route %q is of kind %s", route.Name, route.Kind)
	}
	if key != "" {
		done, err := g.claim(w, customer, route, key, order, body)
		if done || err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	clockEvent := time.AfterFunc(sundial.Span(expiry-g.Clock()), cancel)
	defer clockEvent.Stop()
	w.Header().Set("X-Order", order)
	g.Book.Begin(guestbook.Story{Order: order, Customer: customer.Name, Route: route.Name, Rank: class.Rank, Arrived: arrived})
	out := &outlet{w: w, order: order, streams: route.Kind != planbook.OneShot, most: g.Set.MostBytes}
	var last error
	avoid := map[string]int{}
	ran := false // a try of this order may have run, in part at least
	for try := 0; try < g.Set.MostTries && (try == 0 || g.Dispatch.Retry()); try++ {
		wanted := &dispatch.Order{ID: order, Customer: customer.Name, Route: route, Rank: class.Rank,
			Prefix: route.Prefix, Expiry: expiry, Avoid: avoid}
		grip, err := g.assign(ctx, wanted, release)
		if err != nil {
			last = err
			if r.Context().Err() != nil {
				last = mishap.New(mishap.Refused, "ask again", "the caller left before the order started")
			}
			break
		}
		outcome, err := serverline.Run(ctx, serverline.Request{Address: grip.Server.Address, Order: order, Model: route.Model,
			Prefix: route.Prefix, Input: body.Input, Partial: out.text.String(), MaxTokens: body.MaxTokens, Priority: g.Dispatch.Priority(wanted), Silence: g.Set.Silence}, out.piece)
		took := g.Clock() - grip.Started
		g.Book.Tried(order, told(grip, took, outcome, err))
		switch {
		case outcome == serverline.Complete:
			grip.Release(took, true)
			answer := LiveAnswer{Order: order, Status: "ok", Output: out.text.String(), Server: grip.Server.Name}
			if key != "" {
				g.settle(customer, key, daybook.Answered, answer)
			}
			return out.end(answer)
		case outcome == serverline.NotStarted:
			grip.TurnedAway()
			avoid[grip.Server.Name] = 3
			last = mishap.Later(mishap.Busy, g.Dispatch.After(), "come back after the time given", "no server took the order: %v", err)
			if len(avoid) >= 3 {
				clear(avoid)
			}
			continue
		case outcome == serverline.Rejected:
			grip.Release(0, true)
			return g.turnAway(customer, key, mishap.New(mishap.BadInput, "correct the input for this route's model", "%v", err))
		case route.Kind == planbook.OneShot:
			// It may have run: never a second time.
			grip.Release(0, false)
			return mishap.Later(mishap.OutcomeUnknown, sundial.Second, "find out by other means whether it ran before asking anew", "the order started on a server and gave no whole answer: %v", err)
		case ctx.Err() != nil || (out.text.Len() > 0 && route.Kind == planbook.Stream):
			grip.Release(0, ctx.Err() != nil)
			return out.cut(mishap.Later(mishap.OutcomeUnknown, sundial.Second, "ask anew; this stream does not go on", "the stream was cut: %v", err))
		default:
			// Nothing has reached the caller yet, or the kind may be gone on with.
			grip.Release(0, false)
			ran = true
			avoid[grip.Server.Name]++
			last = mishap.Later(mishap.ServerFault, sundial.Second, "ask again", "no server finished the order: %v", err)
		}
	}
	g.Book.Ended(order, last.Error())
	if ran {
		last = mishap.Later(mishap.OutcomeUnknown, sundial.Second, "ask anew; this stream does not go on", "a try of the order may have run in part: %v", last)
	}
	if out.started {
		return out.cut(last)
	}
	return g.turnAway(customer, key, last)
}

// told is one assignment as the guestbook has it.
func told(grip *dispatch.Grip, took sundial.Micros, outcome serverline.Outcome, err error) guestbook.Try {
	try := guestbook.Try{Server: grip.Server.Name, Marks: grip.Marks, At: grip.Started, Took: took, Outcome: outcome.String()}
	if err != nil {
		try.Error = err.Error()
	}
	return try
}

// assign waits in the backlog for a server.
func (g *Gate) assign(ctx context.Context, order *dispatch.Order, started func()) (*dispatch.Grip, error) {
	type word struct {
		grip *dispatch.Grip
		err  error
	}
	words := make(chan word, 1)
	order.Start = func(grip *dispatch.Grip) { words <- word{grip: grip} }
	order.Drop = func(err error) { words <- word{err: err} }
	if err := g.Dispatch.Enrol(order); err != nil {
		return nil, err
	}
	select {
	case got := <-words:
		if got.grip != nil {
			started()
		}
		return got.grip, got.err
	case <-ctx.Done():
		if g.Dispatch.Cancel(order) {
			return nil, mishap.Later(mishap.Expired, g.Dispatch.After(), "ask again with a later expiry, or when it is less busy", "the order expired in the backlog; it did not run and will not")
		}
		got := <-words
		if got.grip != nil {
			started()
		}
		return got.grip, got.err
	}
}

// claim claims the key before anything starts. It tells whether the answer has
// been given: a repeated key gets the first order's.
func (g *Gate) claim(w http.ResponseWriter, customer *planbook.Customer, route *planbook.Route, key, order string, body LiveBody) (bool, error) {
	id := daybook.ClaimID(customer.Name, key)
	slot, owner, err := g.Reader.Keeper(id)
	if err != nil {
		return false, err
	}
	claim := daybook.Claim{Customer: customer.Name, Key: key, Order: order, Hash: daybook.Hash(route.Name, body.Input)}
	got, err := g.Ask(owner.Peer, keeper.ClaimAsk{Slot: slot, Claim: claim, Expiry: g.Set.Commit}, g.Set.Commit+sundial.Second)
	if err != nil {
		return false, err
	}
	answer, ok := got.(keeper.ClaimAnswer)
	switch {
	case !ok:
		return false, mishap.New(mishap.ServerFault, "run the same release on all daemons", "the keeper answered %T", got)
	case answer.Yours:
		return false, nil
	case answer.Claim.State == daybook.Answered:
		var first LiveAnswer
		if err := json.Unmarshal(answer.Claim.Answer, &first); err != nil {
			return false, err
		}
		w.Header().Set("Idempotency-Replayed", "true")
		return true, porch.WriteJSON(w, http.StatusOK, first)
	}
	return false, mishap.Later(mishap.OutcomeUnknown, sundial.Second, "ask again with the same key for the first order's answer", "the key's first order (%s) runs, or was cut off", answer.Claim.Order)
}

// settle notes how a claimed order went, so that a repeated key hears it.
func (g *Gate) settle(customer *planbook.Customer, key, state string, answer any) error {
	id := daybook.ClaimID(customer.Name, key)
	data, _ := json.Marshal(answer)
	slot, owner, err := g.Reader.Keeper(id)
	if err != nil {
		return err
	}
	_, err = g.Ask(owner.Peer, keeper.SettleAsk{Slot: slot, ID: id, State: state, Answer: data, Expiry: g.Set.Commit}, g.Set.Commit+sundial.Second)
	return err
}

// turnAway says no for good. A claimed key is voided durably first; where that
// can't be confirmed the outcome is unknown.
func (g *Gate) turnAway(customer *planbook.Customer, key string, why error) error {
	if key == "" {
		return why
	}
	if err := g.settle(customer, key, daybook.Void, nil); err != nil {
		return mishap.Later(mishap.OutcomeUnknown, sundial.Second, "ask again with the same key", "the order did not run, but its key could not be freed: %v", err)
	}
	return why
}
