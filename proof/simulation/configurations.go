package simulation

import (
	"fmt"

	"tuliprudder/core/control"
	"tuliprudder/core/state"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/membership/identity"
	"tuliprudder/proof/modelcontent"
)

// Put is a plan as its operator saw it.
type Put struct {
	Number  int
	Body    string
	Base    uint64
	HasBase bool
	Called  clock.Micros
	Told    clock.Micros
	Version uint64 // 0: turned away
	Stale   bool
	Refused bool
	Unknown bool
	Wanted  uint64 // the operator's own number; 0: the core numbers it
}

// PutPlan puts a plan with or without a base.
func (v *Watch) PutPlan(withBase bool) {
	n := v.edgeNode()
	if n == nil || n.core.Peer == "" {
		return
	}
	v.documents++
	number := v.documents
	body := planOf(number, v.w.Forwarding)
	v.docs[string(body)] = number
	p := &Put{Number: number, Body: string(body), Called: v.w.Now, HasBase: withBase, Base: n.plan}
	v.Puts = append(v.Puts, p)
	v.Busy++
	v.w.Ask(n, n.core.Peer, control.PutPlanAsk{Body: body, Base: p.Base, HasBase: withBase, By: "sim", Expiry: 4 * clock.Second}, 5*clock.Second, func(answer any, err error) {
		v.Busy--
		p.Told = v.w.Now
		v.w.Note("plan number %d (base %d %v): %v %v", p.Number, p.Base, withBase, answer, err)
		receipt, ok := answer.(control.PlanReceipt)
		switch {
		case err == nil && ok:
			v.confirmed(p, receipt)
		case errs.Is(err, errs.StaleBase):
			p.Stale = true
		case errs.Is(err, errs.OutcomeUnknown):
			p.Unknown = true
		default:
			p.Refused = true
		}
	})
}

// planDue looks, 2 s after a plan was confirmed, whether it is in force at every
// edge and store that nothing was done to meanwhile.
func (v *Watch) planDue(p *Put) {
	for _, name := range v.w.names {
		n := v.w.Nodes[name]
		if !n.well(p.Told - clock.Second) {
			continue
		}
		var inside uint64
		switch {
		case n.edge != nil && n.edge.Scheduler.Plan() != nil:
			inside = n.edge.Scheduler.Plan().Version
		case n.ledger != nil && n.ledger.Scheduler.Plan() != nil:
			inside = n.ledger.Scheduler.Plan().Version
		case n.Core != nil:
			continue
		}
		v.saw(inForce)
		if inside < p.Version {
			v.breach(inForce, "%s acts by plan %d, 2 s after %d was confirmed", n.Name, inside, p.Version)
		}
	}
}

// Retire asks the primary to retire a store, or takes it back, until it is told.
func (v *Watch) Retire(id string, back bool) {
	v.Busy++
	tries := 0
	var try func()
	try = func() {
		n := v.edgeNode()
		if tries++; tries > 60 {
			v.Busy--
			return
		}
		if n == nil || n.core.Peer == "" {
			v.w.After(200*clock.Millisecond, try)
			return
		}
		v.w.Ask(n, n.core.Peer, control.RetireAsk{ID: id, Back: back, Expiry: 4 * clock.Second}, 5*clock.Second, func(answer any, err error) {
			if _, ok := answer.(control.RetireReceipt); err == nil && ok || errs.Is(err, errs.Refused) || errs.Is(err, errs.NotFound) {
				v.w.Note("retire %s back %v: %v %v", id, back, answer, err)
				v.Busy--
				return
			}
			v.w.After(300*clock.Millisecond, try)
		})
	}
	try()
}

func (v *Watch) planHeard(n *Node, version state.Version) {
	if version.Number < n.plan {
		v.breach(inForce, "%s goes back from plan %d to %d", n.Name, n.plan, version.Number)
	}
	n.plan = version.Number
	if known, ok := v.plans[version.Number]; ok && known != string(version.Body) {
		v.breach(inForce, "plan version %d is %s at %s and was %s", version.Number, version.Body, n.Name, known)
	}
	v.plans[version.Number] = string(version.Body)
}

// planEnd checks that every confirmed configuration stands: each edge reads it back,
// or, once its document gave way to newer ones, finds it in the list under the
// digest of that very document. The newest has to be in force everywhere.
func (v *Watch) planEnd() {
	latest := uint64(0)
	for _, p := range v.Puts {
		latest = max(latest, p.Version)
	}
	for _, name := range v.w.Names(identity.Edge) {
		v.planEndAt(v.w.Nodes[name])
	}
	for _, name := range v.w.names {
		if n := v.w.Nodes[name]; n.up && n.plan < latest {
			v.breach(inForce, "%s has plan %d in force, not %d", name, n.plan, latest)
		}
	}
}

func (v *Watch) planEndAt(n *Node) {
	list := v.readBackPlans(n, control.PlansAsk{})
	bodies := map[uint64]string{}
	for _, version := range list.Versions {
		if read := v.readBackPlans(n, control.PlansAsk{Version: version.Number}); len(read.Versions) == 1 {
			bodies[version.Number] = string(read.Versions[0].Body)
		}
	}
	for _, p := range v.Puts {
		if p.Version == 0 {
			continue
		}
		v.saw(inForce)
		if bodies[p.Version] != p.Body && !recognised(list, p) {
			v.breach(inForce, "confirmed plan %d does not read back at %s", p.Version, n.Name)
		}
	}
}

// readBackPlans asks the primary over an edge, some times if need be.
func (v *Watch) readBackPlans(n *Node, ask control.PlansAsk) (plans control.Plans) {
	for tries, answered := 0, false; tries < 5 && !answered; tries++ {
		over := false
		v.w.Ask(n, n.core.Peer, ask, 2*clock.Second, func(answer any, err error) {
			over = true
			if got, ok := answer.(control.Plans); ok && err == nil {
				answered, plans = true, got
			}
		})
		v.w.Until(3*clock.Second, func() bool { return over })
	}
	return plans
}

// recognised tells whether the list has a confirmed put's version under the digest
// of this very document, and holds only so many documents that this one may have
// given way.
func recognised(list control.Plans, p *Put) bool {
	digest, err := state.DigestOf([]byte(p.Body))
	if err != nil || len(list.Versions) == 0 || p.Version >= list.Versions[0].Number {
		return false // its document has to be there still
	}
	for _, taken := range list.Orders {
		if taken.Number == p.Version && taken.Digest == digest {
			return true
		}
	}
	return false
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
