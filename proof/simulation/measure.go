package simulation

import (
	"slices"

	"tuliprudder/core/control"
	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// Recovery is how fast a fleet recovered, each in a run of its own on a fleet that
// had all its copies before.
type Recovery struct {
	// AfterKill and AfterCut are from the loss of the primary core to the receipt of
	// a configuration that was sent after it.
	AfterKill, AfterCut clock.Micros
	// CoreWhole and StoreWhole are from the start of an empty machine, in place of
	// one that lost its disk, until every group has all its copies again.
	CoreWhole, StoreWhole clock.Micros
}

// probeEvery is the time between two probes of a recovery.
const probeEvery = 50 * clock.Millisecond

// measure brings each loss about once and times the recovery; false where the fleet
// did not recover.
func (w *World) measure(slots int) bool {
	if w.Size.Cores == 1 {
		return true // there is no other core to take over
	}
	v := w.Watch
	steps := []struct {
		name  string
		found *clock.Micros
		do    func() clock.Micros
	}{
		{"a kill of the primary", &v.Recovery.AfterKill, func() clock.Micros { return w.untilReceipt(func(n *Node) func() { return crash(n, slots) }) }},
		{"a cut of the primary", &v.Recovery.AfterCut, func() clock.Micros { return w.untilReceipt(func(n *Node) func() { return isolate(w, n) }) }},
		{"an empty core", &v.Recovery.CoreWhole, func() clock.Micros { return w.untilWhole(w.any(identity.Core), slots) }},
		{"an empty store", &v.Recovery.StoreWhole, func() clock.Micros { return w.untilWhole(w.any(identity.Store), slots) }},
	}
	for _, step := range steps {
		if !w.Until(repairTime, w.noteSettled) {
			v.breach(back, "not settled before %s: %s", step.name, w.Describe())
			return false
		}
		w.Run(w.between(0, 2*clock.Second))
		w.Note("measuring: %s", step.name)
		if *step.found = step.do(); *step.found == 0 {
			v.breach(back, "no recovery within %d s after %s: %s", repairTime/clock.Second, step.name, w.Describe())
			return false
		}
	}
	return w.Until(repairTime, w.noteSettled)
}

// untilReceipt takes the primary away and has an operator send at the other cores
// until one of the orders is confirmed.
func (w *World) untilReceipt(lose func(n *Node) (undo func())) clock.Micros {
	lost := w.primary()
	var others []*Node
	for _, n := range w.nodes(identity.Core) {
		if n != lost {
			others = append(others, n)
		}
	}
	undo, from := lose(lost), w.Now
	first := clock.Micros(0)
	tries := 0
	for w.Now < from+repairTime && first == 0 {
		tries++
		o := w.Watch.newOrder(0, 0)
		w.Watch.Send(others[tries%len(others)], o, false, func(p *Put) {
			if p != nil && p.Version > 0 && first == 0 {
				first = p.Told - from
			}
		})
		w.Run(probeEvery)
	}
	w.Run(2 * clock.Second)
	undo()
	return first
}

// untilWhole empties a daemon and times the repair from the empty one's start.
func (w *World) untilWhole(n *Node, slots int) clock.Micros {
	boot := wipe(n, slots)
	w.Run(1500 * clock.Millisecond)
	from := w.Now
	boot()
	w.Run(probeEvery)
	for w.Now < from+repairTime {
		if w.noteSettled() && w.whole(n) {
			return w.Now - from
		}
		w.Run(probeEvery)
	}
	return 0
}

// whole tells whether a core has a seat; a store is whole where the groups are.
func (w *World) whole(n *Node) bool {
	if n.Core == nil {
		return true
	}
	return slices.ContainsFunc(w.primary().Core.Vote().Voters, func(ref control.CoreRef) bool { return ref.ID == n.ID })
}
