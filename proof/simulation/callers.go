package simulation

import (
	"encoding/json"
	"fmt"
	"strings"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/requests"
	"tuliprudder/proof/modelcontent"
)

// Order is one live order as its caller saw it, with the servers' log of it.
type Order struct {
	Input, Kind, Customer string
	Route                 string
	Key                   string
	Asked, Told           clock.Micros
	Outcome               string // ok, refused, unknown; "" while it is open
	Why                   errs.Kind
	Output                string
	Ended                 bool // its answer is whole
	Edge                  string
	Starts                []modelcontent.Start
	leave                 func() // the caller goes
	Forwarded             bool   // passed on unchanged
}

// The outcomes.
const (
	wasOK      = "ok"
	wasRefused = "refused"
	wasUnknown = "unknown"
	wasFailed  = "failed" // a server's own failure was passed on
)

// once tells whether the order may run no more than once. A stream may not either
// where it is passed on: nobody could join its parts.
func (o *Order) once() bool {
	return o.Kind == config.OneShot || o.Forwarded && o.Kind == config.Stream
}

// patience is how long a caller waits before it goes.
const patience = 15 * clock.Second

// customers are who calls, by the key they carry.
var customers = map[string]string{"key-gold": "gold", "key-silver": "silver", "key-caller": customer}

// kinds are the live routes by the kind of the route.
var kinds = map[string]string{"once": config.OneShot, "flow": config.Stream, "long": config.Resumable, "extra": config.OneShot}

// planOf is a plan as an operator writes it; its number says how it differs from
// others: the route extra comes and goes, its pool moves, allowances change.
func planOf(number int, forwarding bool) []byte {
	route := func(name, kind, pool string) map[string]any {
		return map[string]any{"name": name, "kind": kind, "classes": map[string]any{"live": "yes"}, "pools": map[string]any{"use": pool}, "model": "m", "prefix": "say " + name + strings.Repeat(" again", 100), "max_tokens": 64, "expiry_us": 4_000_000}
	}
	class := func(name string, rank, allowance int) map[string]any {
		return map[string]any{"name": name, "rank": rank, "allowance": allowance, "labels": map[string]any{"live": "yes"}}
	}
	routes := []any{route("once", config.OneShot, "all"), route("flow", config.Stream, "all"), route("long", config.Resumable, "all")}
	bundles := route("r", config.Bundle, "all")
	delete(bundles, "expiry_us")
	bundles["most_items"] = 1000
	routes = append(routes, bundles)
	if number%3 > 0 {
		routes = append(routes, route("extra", config.OneShot, "half"))
	}
	if forwarding {
		for _, name := range forwardedRoutes {
			routes = append(routes, forwardedRoute(name, forwarded[name]))
		}
		routes = append(routes, forwardedRoute(bulkRoute, config.Bundle))
	}
	data, _ := json.Marshal(map[string]any{
		"classes":   []any{class("gold", 300+number%2, 40), class("silver", 200, 40), class("notes", 100, 300+20*(number%4))},
		"customers": []any{map[string]any{"name": "gold", "key": "key-gold", "class": "gold"}, map[string]any{"name": "silver", "key": "key-silver", "class": "silver"}, map[string]any{"name": customer, "key": "key-caller", "class": "notes"}},
		"pools": []any{map[string]any{"name": "main", "labels": map[string]any{"use": "all"}, "servers": map[string]any{"fleet": "main"}},
			map[string]any{"name": "half", "labels": map[string]any{"use": "half"}, "servers": map[string]any{"half": fmt.Sprint(number / 3 % 2)}}},
		"routes": routes,
		"judges": map[string]any{"speed": 1 + float64(number)/1000},
	})
	return data
}

// Open is the day's beginning: a plan, the platform's list, and callers who go on
// until Calling is false.
func (v *Watch) Open() {
	w := v.w
	v.Follow()
	v.PutPlan(false)
	w.Until(5*clock.Second, func() bool { return v.Served["plan"] > 0 })
	v.List(v.edgeNode())
	w.Run(500 * clock.Millisecond)
	v.Calling = true
	for i, who := range []string{"gold", "gold", "silver"} {
		v.Live(fmt.Sprintf("live-%d", i), who)
	}
	if w.Forwarding {
		for i := 0; i < 3; i++ {
			v.Passing(fmt.Sprintf("pass-%d", i))
		}
	}
	var count func()
	count = func() {
		v.countWaiting()
		if v.Calling {
			w.After(50*clock.Millisecond, count)
		}
	}
	count()
}

// Call sends one live order to an edge, as the edge's front does: it runs where
// the machine says, and tells how it went. back is told once.
//
//revive:disable-next-line:cyclomatic,function-length still to be split (issue 18)
func (v *Watch) Call(n *Node, o *Order, back func()) {
	w := v.w
	o.Edge, o.Asked, o.Outcome = n.Name, w.Now, ""
	v.open = append(v.open, o)
	v.number++
	name := fmt.Sprintf("o-%d", v.number)
	era, over := n.era, false
	var under *serving
	text := ""
	var forget func()
	finish := func(outcome string, why errs.Kind) {
		if over {
			return
		}
		over = true
		if forget != nil {
			forget()
		}
		o.Told, o.Outcome, o.Why = w.Now, outcome, why
		if o.Key != "" {
			w.Note("%s: order %s with its key, as %s, sent %d us ago, is told %s %s", n.Name, o.Input, name, w.Now-o.Asked, outcome, why)
		}
		v.told(o)
		back()
	}
	if !n.up {
		w.After(clock.Millisecond, func() { finish(wasRefused, "no connection") })
		return
	}
	forget = n.onCrash(func() { finish(wasUnknown, "the connection broke") })
	gone := false
	var turn func(word any, err error)
	turn = func(word any, err error) {
		if n.era != era {
			return
		}
		switch said := word.(type) {
		case requests.Run:
			ran := requests.Ran{Order: name}
			report := func(outcome modelclient.Outcome, why string) {
				under = nil
				ran.Outcome, ran.Why, ran.Output, ran.Over = outcome, why, text, gone || w.Now >= said.Expiry
				n.Here(ran, turn)
			}
			if gone {
				report(modelclient.NotStarted, "the caller left")
				return
			}
			began := false
			this := w.Serve(n, said.Request, func(piece string) {
				if !began {
					began = true
					n.Here(requests.Began{Order: name}, func(any, error) {})
				}
				text += piece
				if said.Kind != config.OneShot {
					o.Output = text
				}
			}, report)
			under = this
			w.After(max(0, said.Expiry-w.Now), func() {
				if !this.over && n.era == era {
					n.take(func() { v.hangUp(this, report) })
				}
			})
		case requests.Answer:
			if o.Kind == config.OneShot {
				o.Output = said.Output
			}
			o.Ended = true
			finish(wasOK, "")
		default:
			kind := errs.Of(err).Kind
			if kind == errs.OutcomeUnknown || o.Output != "" {
				finish(wasUnknown, kind)
			} else {
				finish(wasRefused, kind)
			}
		}
	}
	o.leave = func() {
		if over || n.era != era {
			return
		}
		gone = true
		n.Here(requests.Left{Order: name}, func(any, error) {})
		n.take(func() {
			if under != nil && !under.over {
				v.hangUp(under, under.done)
			}
		})
		finish(wasUnknown, "the caller left")
	}
	w.After(patience, func() { o.leave() })
	n.Here(requests.Live{Order: name, Caller: "key-" + o.Customer, Route: o.Route, Key: o.Key, Input: o.Input}, turn)
}

// hangUp ends a run from the edge's side: it may have run.
func (v *Watch) hangUp(one *serving, report func(modelclient.Outcome, string)) {
	if one.over {
		return
	}
	one.cancel()
	report(modelclient.Cut, "the order's expiry passed, or its caller left")
}

// Live is one caller that goes on until the day ends.
func (v *Watch) Live(name string, who string) {
	w := v.w
	number := 0
	var turn func()
	turn = func() {
		if !v.Calling {
			return
		}
		n := v.edgeNode()
		if n == nil {
			w.After(100*clock.Millisecond, turn)
			return
		}
		number++
		routes := []string{"once", "once", "flow", "long", "extra"}
		o := &Order{Customer: who, Route: routes[w.Chance.Intn(len(routes))]}
		o.Kind, o.Input = kinds[o.Route], fmt.Sprintf("%s/%d", name, number)
		if o.Kind == config.OneShot && w.Chance.Intn(3) == 0 {
			o.Key = "k-" + o.Input
		}
		v.Orders, v.byInput[o.Input] = append(v.Orders, o), o
		v.Call(n, o, func() {
			if o.Key != "" && (o.Outcome == wasUnknown || w.Chance.Intn(2) == 0) {
				v.again(o, 2)
			}
			w.After(w.between(20, 200)*clock.Millisecond, turn)
		})
		if w.Chance.Intn(12) == 0 {
			w.After(w.between(0, 60)*clock.Millisecond, func() { o.leave() })
		}
	}
	turn()
}

// again sends an order with the same key to another edge: it never runs twice,
// and an answer is the first one's.
func (v *Watch) again(o *Order, tries int) {
	n := v.edgeNode()
	if n == nil || tries == 0 {
		return
	}
	// A new try with the key may run, though the one before was turned away.
	before := o.Outcome
	if o.Outcome == wasRefused {
		o.Outcome = ""
	}
	again := &Order{Input: o.Input, Kind: o.Kind, Customer: o.Customer, Route: o.Route, Key: o.Key}
	v.Call(n, again, func() {
		switch {
		case again.Outcome == wasRefused && before == wasRefused:
			o.Outcome = wasRefused
		case again.Outcome == wasOK && o.Outcome == wasOK && again.Output != o.Output:
			v.breach(onceOnly, "key %s: answered %q and %q", o.Key, o.Output, again.Output)
		case again.Outcome == wasOK:
			o.Outcome, o.Output, o.Ended = wasOK, again.Output, true
			v.told(again)
		case again.Outcome == wasUnknown || o.Outcome == wasUnknown:
			// Whether the key's order ran is not known, whatever the other was told.
			o.Outcome = wasUnknown
			v.w.After(v.w.between(100, 900)*clock.Millisecond, func() { v.again(o, tries-1) })
		}
	})
}

// Crowd lets many callers come at once, each with one order.
func (v *Watch) Crowd(count int, who string) {
	w := v.w
	v.number++
	crowd := v.number
	for i := 0; i < count; i++ {
		o := &Order{Customer: who, Route: "once", Kind: config.OneShot, Input: fmt.Sprintf("crowd-%d/%d", crowd, i)}
		v.Orders, v.byInput[o.Input] = append(v.Orders, o), o
		w.After(w.between(0, 100_000), func() {
			if n := v.edgeNode(); n != nil {
				v.Call(n, o, func() {})
			} else {
				o.Told, o.Outcome = w.Now, wasRefused
			}
		})
	}
}

// Flock hands many bundles in at once, at every edge.
func (v *Watch) Flock(count, items int) {
	for i := 0; i < count; i++ {
		v.w.After(v.w.between(0, 100_000), func() { v.Hand(items, 3) })
	}
}

// began is a server's word that an order has started there.
func (v *Watch) began(start modelcontent.Start) {
	v.Started++
	at := start.At
	v.isLeaving(start)
	if bundle, _, ok := strings.Cut(start.Input, "#"); ok {
		v.itemBegan(bundle, start)
		return
	}
	o := v.byInput[start.Input]
	if o == nil {
		v.breach(mixed, "%s runs an order that nobody sent: %s", start.Server, start.Input)
		return
	}
	o.Starts = append(o.Starts, start)
	v.saw(onceOnly)
	if o.once() && len(o.Starts) > 1 {
		v.breach(onceOnly, "%s order %s runs a second time, on %s", o.Kind, o.Input, start.Server)
	}
	if o.Outcome == wasRefused {
		v.breach(onceOnly, "order %s was turned away (%s) %d us ago, and runs on %s", o.Input, o.Why, at-o.Told, start.Server)
	}
	v.inForceAt(o, start)
}

// completed is a server's word that an answer is whole.
func (v *Watch) completed(input string) {
	if bundle, item, ok := strings.Cut(input, "#"); ok {
		v.ready(bundle, item)
	}
}

// told judges what a caller was told.
func (v *Watch) told(o *Order) {
	want := modelcontent.Answer(o.Input, pieces)
	v.saw(streamed)
	if !strings.HasPrefix(want, o.Output) {
		v.breach(streamed, "%s order %s: pieces dropped, repeated or joined: %q of %q", o.Kind, o.Input, o.Output, want)
	}
	if o.Ended {
		v.saw(mixed)
		if o.Output != want {
			v.breach(mixed, "%s order %s: %q looks whole, and is not %q", o.Kind, o.Input, o.Output, want)
		}
		v.Served[o.Edge+" "+o.Route] = v.w.Now
	}
	if o.Outcome == wasRefused && len(o.Starts) > 0 && o.Key == "" {
		v.breach(onceOnly, "order %s was turned away (%s) and ran on %s", o.Input, o.Why, o.Starts[0].Server)
	}
	v.Counts[o.Outcome]++
}
