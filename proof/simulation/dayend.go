package simulation

import (
	"fmt"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/ledger/shard"
	"tuliprudder/membership/identity"
	"tuliprudder/path/reader"
	"tuliprudder/path/requests"
)

// Last is the day's end: everything healed, service of every kind is back, and
// every receipt, result and plan is read back.
func (v *Watch) Last(most clock.Micros) {
	w := v.w
	healed := w.Now
	v.serviceBack(healed)
	if !w.Until(max(0, healed+12*clock.Second-w.Now), w.Settled) {
		v.breach(back, "the fleet has not settled 12 s after the last fault: %s", w.Describe())
		return
	}
	v.Calling = false
	if !w.Until(most, func() bool { return v.Busy == 0 }) {
		v.breach(back, "%d callers still wait at the day's end", v.Busy)
	}
	missing := func() string {
		for _, h := range v.Bundles {
			if h.Accepted == 0 || h.Ended > 0 || h.Forwarded {
				continue // no feed has those that are passed on: their lists are read
			}
			for i := 0; i < h.Items; i++ {
				if v.feedSeen[fmt.Sprintf("%s/%d", h.ID, i)] == 0 {
					return fmt.Sprintf("%s/%d", h.ID, i)
				}
			}
		}
		return ""
	}
	for v.feedGoesOn(most, func() bool { return missing() == "" }) {
	}
	if item := missing(); item != "" {
		v.breach(kept, "an accepted bundle's result was never read in the feed: %s", item)
	}
	v.Reading = false
	v.readBack()
	w.Run(4 * clock.Second)
	v.planEnd()
	v.CheckHistories()
}

// feedGoesOn lets a feed's reader go on for a while: false once it has read all, or
// when it has had no row in that time. The reader takes some hundred rows a second,
// and a crowd may have left more than it reads in one such while.
func (v *Watch) feedGoesOn(most clock.Micros, all func() bool) bool {
	before := v.FeedRows
	return !v.w.Until(most, all) && v.FeedRows > before
}

// readBack judges every bundle at the day's end.
func (v *Watch) readBack() {
	for _, h := range v.Bundles {
		if h.Accepted == 0 {
			v.saw(refused)
			if !h.Maybe && h.Starts > 0 {
				v.breach(refused, "bundle %s was refused at every try and %d of its items started", h.ID, h.Starts)
			}
			continue
		}
		if h.Ended == 0 {
			v.readAll(h)
		}
	}
}

// serviceBack asks for every kind of service, at every edge and for every slot,
// until each is given: it has to be within about 12 s of the last fault.
//
//revive:disable-next-line:cyclomatic,function-length still to be split (issue 18)
func (v *Watch) serviceBack(since clock.Micros) {
	w := v.w
	want := map[string]func(n *Node, done func()){}
	for _, name := range w.Names(identity.Edge) {
		for _, route := range []string{"once", "flow", "long"} {
			for key, who := range customers {
				want[name+" "+route+" for "+key] = func(n *Node, done func()) {
					v.number++
					o := &Order{Customer: who, Route: route, Kind: kinds[route], Input: fmt.Sprintf("back-%d", v.number)}
					v.Orders, v.byInput[o.Input] = append(v.Orders, o), o
					v.Call(n, o, func() {
						if o.Outcome == wasOK {
							done()
						}
					})
				}
			}
		}
		for _, route := range forwardedRoutes {
			if !w.Forwarding {
				break
			}
			want[name+" "+route+" passed on"] = func(n *Node, done func()) {
				v.number++
				o := v.forwardedOrder(route, fmt.Sprintf("back-%d", v.number))
				v.Pass(n, o, func() {
					if o.Outcome == wasOK {
						done()
					}
				})
			}
		}
		want[name+" feed"] = func(n *Node, done func()) {
			v.here(n, requests.Page{Caller: callerKey, Read: reader.Read{Name: "back", Most: 1}}, func(_ any, err error) {
				if err == nil {
					done()
				}
			})
		}
		want[name+" list"] = func(n *Node, done func()) {
			for _, h := range v.Bundles {
				if h.Accepted > 0 {
					v.here(n, h.page(reader.Read{Name: "back", Most: 1}), func(_ any, err error) {
						if err == nil {
							done()
						}
					})
					return
				}
			}
			done()
		}
	}
	for slot := 0; slot < w.slots(); slot++ {
		key := ""
		for i := 0; key == ""; i++ {
			name := fmt.Sprintf("back-%d-%d", slot, i)
			if shard.SlotOf(shard.BundleID(customer, name), w.slots()) == slot {
				key = name
			}
		}
		want[fmt.Sprintf("bundles of slot %d", slot)] = func(_ *Node, done func()) {
			if h := v.byKey[key]; h == nil {
				v.HandAs(key, 1, 500)
			} else if h.Accepted > 0 {
				done()
			}
		}
	}
	want["plans"] = func(_ *Node, done func()) {
		if v.Served["plan"] > since {
			done()
		} else {
			v.PutPlan(false)
		}
	}
	names := sorted(want)
	given := map[string]clock.Micros{}
	busy := map[string]int{}
	w.Until(12*clock.Second, func() bool {
		for _, name := range names {
			if given[name] > 0 || busy[name] > 3 {
				continue
			}
			word, _, _ := strings.Cut(name, " ")
			n := w.Nodes[word]
			busy[name]++
			want[name](n, func() {
				if given[name] == 0 {
					given[name] = w.Now
				}
			})
			w.After(500*clock.Millisecond, func() { busy[name]-- })
		}
		return len(given) == len(names)
	})
	for _, name := range names {
		v.saw(back)
		if given[name] == 0 {
			v.breach(back, "%s is not back 12 s after the last fault: %s", name, w.Describe())
		} else if span := given[name] - since; span > v.SlowestBack {
			v.SlowestBack, v.SlowestKind = span, name
		}
	}
}

// stillServed judges that live orders went on, some 6 s into the loss of all cores:
// it is one failure, so the stores have to have been well for a while before it.
func (v *Watch) stillServed(why string, since clock.Micros) {
	for _, name := range v.w.Names(identity.Store) {
		if !v.w.Nodes[name].well(since - 15*clock.Second) {
			return
		}
	}
	for _, name := range v.w.Names(identity.Edge) {
		n := v.w.Nodes[name]
		if !n.well(since - 5*clock.Second) {
			continue
		}
		v.saw(back)
		if max(v.Served[name+" once"], v.Served[name+" flow"], v.Served[name+" long"]) < v.w.Now-3*clock.Second {
			told := map[string]int{}
			for _, o := range v.Orders {
				if o.Edge == name && o.Told > since {
					told[o.Route+" "+o.Outcome+" "+string(o.Why)]++
				}
			}
			v.breach(back, "%s, %s serves no live order; its callers were told %v", why, name, told)
		}
	}
}
