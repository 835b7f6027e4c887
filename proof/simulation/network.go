package simulation

import (
	"tuliprudder/core/control"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/store"
	"tuliprudder/path/quota"
)

// Cut cuts or heals the link between two nodes, or a node and a server, both
// ways; CutWay cuts what goes from the one to the other.
func (w *World) Cut(one, other string, cut bool) {
	w.CutWay(one, other, cut)
	w.CutWay(other, one, cut)
}

// CutWay cuts or heals what goes one way.
func (w *World) CutWay(from, to string, cut bool) {
	if w.cut[[2]string{from, to}] == cut {
		return
	}
	w.cut[[2]string{from, to}] = cut
	for _, name := range []string{from, to} {
		if n := w.Nodes[name]; n != nil {
			n.ill = w.Now
			if cut {
				n.cuts++
			} else {
				n.cuts--
			}
		}
	}
}

// CutOff cuts or heals all links of a node.
func (w *World) CutOff(name string, cut bool) {
	for _, other := range w.names {
		if other != name {
			w.Cut(name, other, cut)
		}
	}
	for _, s := range w.Servers {
		w.Cut(name, s.Name, cut)
	}
}

// Part cuts or heals every link between the zones named and the rest.
func (w *World) Part(zones map[string]bool, cut bool) {
	for _, one := range w.names {
		for _, other := range w.names {
			if zones[w.Nodes[one].Zone] && !zones[w.Nodes[other].Zone] {
				w.Cut(one, other, cut)
			}
		}
		for _, s := range w.Servers {
			if zones[w.Nodes[one].Zone] != zones[s.Zone] {
				w.Cut(one, s.Name, cut)
			}
		}
	}
	w.Note("%v parted from the rest: %v", sorted(zones), cut)
}

// carry passes something from one node to another through the weather.
func (w *World) carry(from, to *Node, body any, deliver func()) {
	w.Messages++
	if w.Spy != nil && to != nil {
		w.Spy(from, to, body)
	}
	if to == nil || w.cut[[2]string{from.Name, to.Name}] {
		return
	}
	drop, repeat, late := w.Chance.Float64() < w.Conditions.Drop, w.Chance.Float64() < w.Conditions.Repeat, clock.Micros(0)
	if w.Chance.Float64() < w.Conditions.Late {
		late = w.between(0, w.Conditions.LateBy)
	}
	if w.Mutate != nil {
		d, r, l := w.Mutate(from.Name, to.Name, body)
		drop, repeat, late = drop || d, repeat || r, late+l
	}
	if drop {
		return
	}
	arrive := func() {
		if !w.cut[[2]string{from.Name, to.Name}] {
			to.take(deliver)
		}
	}
	w.After(w.between(150, 900)+late, arrive)
	// An ask is a call on a connection: it may be lost or late, never doubled.
	if repeat && body != nil && !asked(body) {
		w.After(w.between(150, 5000)+late, arrive)
	}
}

func asked(body any) bool {
	switch body.(type) {
	case store.EnrolAsk, store.EndAsk, store.StatusAsk, store.ReadAsk, store.ClaimAsk, store.SettleAsk, control.PutPlanAsk, control.RetireAsk, quota.LendRequest, quota.HoldingsRequest:
		return true
	}
	return false
}

// Ask asks a node's machine over the network; back is told once: the answer, or
// an unknown outcome when the expiry passed.
func (w *World) Ask(from *Node, peer string, body any, expiry clock.Micros, back func(any, error)) {
	to := w.byPeer[peer]
	over := false
	finish := func(answer any, err error) {
		if !over {
			over = true
			back(answer, err)
		}
	}
	w.After(expiry, func() {
		finish(nil, errs.New(errs.OutcomeUnknown, "ask again with the same key", "no answer in time"))
	})
	if to == nil {
		return
	}
	w.carry(from, to, body, func() {
		if to.machine == nil {
			return
		}
		to.number++
		to.calls[to.number] = func(a machine.Answer) {
			w.carry(to, from, a.Body, func() { finish(a.Body, a.Err) })
		}
		to.do(to.machine.Call(to.number, body, w.Now))
	})
}
