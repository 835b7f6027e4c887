package simulation

import (
	"fmt"
	"sort"
	"strings"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/gossip"
	"tuliprudder/path/registry"
	"tuliprudder/proof/modelcontent"
)

// Promise is one line of what must never happen; each breach is one's.
type Promise string

// The promises, as the users wrote them, in a few words each.
const (
	kept     Promise = "an accepted bundle is never lost, its results can be read"
	soon     Promise = "results can be read within about a second"
	exact    Promise = "each result exactly once, a position never changes"
	goesOn   Promise = "a reader goes on exactly where it left off"
	refused  Promise = "a bundle refused at every try never runs"
	ended    Promise = "an ended bundle starts nothing after about 3 s"
	onceOnly Promise = "a one-shot order never runs twice, one turned away never runs"
	mixed    Promise = "no answer is mixed up, none cut short looks whole"
	streamed Promise = "a stream never drops, repeats or joins pieces"
	leaving  Promise = "a leaving server gets no new work after about 3 s"
	inForce  Promise = "a plan is in force in about 2 s, never slips back, reads back"
	within   Promise = "waiting work stays within the allowance, by a tenth"
	back     Promise = "service is back within about 12 s"
	typed    Promise = "the fleet works as its parts promise each other"
)

// Promises lists them.
var Promises = []Promise{kept, soon, exact, goesOn, refused, ended, onceOnly, mixed, streamed, leaving, inForce, within, back}

// about is the grace for what is to hold within about 3 s.
const about = 300 * clock.Millisecond

// Breach is one breach of one promise.
type Breach struct {
	Promise Promise
	Text    string
	At      clock.Micros
}

// String is the breach as it is printed.
func (b Breach) String() string { return string(b.Promise) + ": " + b.Text }

func (v *Watch) breach(promise Promise, format string, args ...any) {
	b := Breach{Promise: promise, Text: fmt.Sprintf(format, args...), At: v.w.Now}
	v.w.Note("BREACH: %s", b)
	if len(v.Breaches) < 50 {
		v.Breaches = append(v.Breaches, b)
	}
}

// saw counts that a promise was put to the test.
func (v *Watch) saw(promise Promise) { v.Checked[promise]++ }

// Broke tells whether a promise was broken.
func (v *Watch) Broke(promise Promise) bool {
	for _, b := range v.Breaches {
		if b.Promise == promise {
			return true
		}
	}
	return false
}

// mark is a server's leaving mark as the platform put it.
type mark struct {
	from, to clock.Micros // to 0: still leaving
}

// List puts the platform's whole list of servers at an edge.
func (v *Watch) List(n *Node) {
	for _, s := range v.w.Servers {
		v.tell(n, s.Listed(), func() {})
	}
}

// tell spreads the platform's word on a server from one daemon, as its office
// does: it is told once most of the fleet know it, or tells elsewhere again.
func (v *Watch) tell(n *Node, server registry.Server, told func()) {
	again := func() {
		v.w.After(200*clock.Millisecond, func() {
			if other := v.edgeNode(); other != nil {
				v.tell(other, server, told)
			} else {
				v.tell(n, server, told)
			}
		})
	}
	if v.words[server.Name]++; !n.up {
		again()
		return
	}
	word := v.words[server.Name]
	n.take(func() {
		if word != v.words[server.Name] {
			return // the platform has said something else since
		}
		known, _ := n.gossip.Update(registry.ServerKey(server.Name))
		n.number++
		era := n.era
		n.calls[n.number] = func(a machine.Answer) {
			switch {
			case word != v.words[server.Name]:
			case a.Err == nil:
				told()
			default:
				again()
			}
		}
		forget := n.onCrash(again)
		n.do(n.gossip.Do(gossip.Broadcast{Update: registry.ServerUpdate(server, known, v.w.Now), Call: n.number, Expiry: 2 * clock.Second}, v.w.Now))
		v.w.After(3*clock.Second, func() {
			if n.era == era {
				forget()
			}
		})
	})
}

// Leave marks a server as leaving, or takes the mark back.
func (v *Watch) Leave(s *Server, leaves bool) {
	n := v.edgeNode()
	if n == nil {
		return
	}
	server := s.Listed()
	server.Leaving = leaves
	if marks := v.marks[s.Name]; !leaves && len(marks) > 0 && marks[len(marks)-1].to == 0 {
		marks[len(marks)-1].to = v.w.Now
	}
	v.tell(n, server, func() {
		v.w.Note("%s marked as leaving from %s: %v", s.Name, n.Name, leaves)
		if leaves {
			v.marks[s.Name] = append(v.marks[s.Name], mark{from: v.w.Now})
		}
	})
}

func (v *Watch) isLeaving(start modelcontent.Start) {
	for _, m := range v.marks[start.Server] {
		if m.to > 0 {
			continue
		}
		v.saw(leaving)
		if start.At > m.from+3*clock.Second+about {
			v.breach(leaving, "%s was marked as leaving %d us ago and gets %s", start.Server, start.At-m.from, start.Input)
		}
	}
}

// inForceAt judges a start of the route extra by the newest plans: those that
// were in force at any time since the order was sent, and a while before.
func (v *Watch) inForceAt(o *Order, start modelcontent.Start) {
	if o.Route != "extra" {
		return
	}
	v.saw(inForce)
	for _, number := range v.numbersSince(o.Asked - 3*clock.Second - about) {
		half := fmt.Sprint(number / 3 % 2)
		if number%3 > 0 && half == v.w.serverNamed(start.Server).half() {
			return
		}
	}
	v.breach(inForce, "%s, asked %d us ago at %s, runs on %s though none of the plans that can be in force sends it there: %v", o.Input, start.At-o.Asked, o.Edge, start.Server, v.numbersSince(o.Asked-3*clock.Second-about))
}

func (w *World) serverNamed(name string) *Server {
	for _, s := range w.Servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// numbersSince are the plans' numbers that may have been in force at some time
// since then: confirmed ones from before the newest at that time are not.
func (v *Watch) numbersSince(since clock.Micros) []int {
	var out []int
	newest := uint64(0)
	for _, p := range v.Puts {
		if p.Version > 0 && p.Told <= since {
			newest = max(newest, p.Version)
		}
	}
	for _, p := range v.Puts {
		// One whose outcome is not known may be in force as well.
		if p.Version >= newest && p.Version > 0 || p.Version == 0 && (p.Told == 0 || p.Unknown) {
			out = append(out, p.Number)
		}
	}
	return out
}

// allowances are the most that a customer may have waiting by the plans that may
// be in force now, or were while what waits was taken in.
func (v *Watch) allowance(who string) int {
	most := 40
	if who == customer {
		most = 0
		for _, number := range v.numbersSince(v.w.Now - 20*clock.Second) {
			most = max(most, 300+20*(number%4))
		}
	}
	return most
}

// countWaiting is the outside count of waiting work: what callers have handed in
// and have not been told is over, less what the servers' logs show started. An
// order counts once its caller has had no word for a second: before that it may
// be about to be turned away.
func (v *Watch) countWaiting() {
	waiting := map[string]int{}
	open := v.open[:0]
	for _, o := range v.open {
		if o.Outcome == "" && len(o.Starts) == 0 {
			open = append(open, o)
			// What came to a frozen edge is in nobody's hands yet.
			n := v.w.Nodes[o.Edge]
			if unseen := n != nil && n.frozen && o.Asked >= n.ill; !unseen && v.w.Now-o.Asked > clock.Second {
				waiting[o.Customer]++
			}
		}
	}
	v.open = open
	where := func(who string) string {
		at := map[string]int{}
		for _, o := range open {
			if o.Customer == who && v.w.Now-o.Asked > clock.Second {
				at[o.Edge]++
			}
		}
		shares := ""
		for _, name := range v.w.names {
			if road := v.w.Nodes[name].road(); road != nil {
				shares += fmt.Sprintf(" %s %v", name, road.Quota.View(v.w.Now))
			}
		}
		return fmt.Sprintf("live at %v; shares%s", at, shares)
	}
	for _, h := range v.Bundles {
		if h.Accepted > 0 && h.Ended == 0 && h.begun < h.Items {
			waiting[customer] += h.Items - h.begun
		}
	}
	for _, who := range sorted(waiting) {
		v.saw(within)
		v.MostWaiting[who] = max(v.MostWaiting[who], waiting[who])
		if most := v.allowance(who); most > 0 && waiting[who]*10 > most*11 {
			v.breach(within, "%d of %s wait; its allowance is %d: %s", waiting[who], who, most, where(who))
		}
	}
}

// stillServed judges that live orders went on, some 6 s into the loss of all cores:
// it is one failure, so the stores have to have been well for a while before it.
func (v *Watch) stillServed(why string, since clock.Micros) {
	for _, name := range v.w.Names("refuge") {
		if !v.w.Nodes[name].well(since - 15*clock.Second) {
			return
		}
	}
	for _, name := range v.w.Names("trailhead") {
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

// NotSeen lists the promises that were not put to the test.
func (v *Watch) NotSeen() []Promise {
	var out []Promise
	for _, promise := range Promises {
		if v.Checked[promise] == 0 {
			out = append(out, promise)
		}
	}
	return out
}

// Told is what callers were told, for a report.
func (v *Watch) Told() string {
	var out []string
	for outcome, count := range v.Counts {
		out = append(out, fmt.Sprintf("%s %d", outcome, count))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}
