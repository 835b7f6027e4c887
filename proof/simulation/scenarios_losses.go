package simulation

import (
	"slices"

	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// replace empties a daemon and moves it to a new address; what comes back starts it.
func replace(w *World, n *Node, slots int) func() {
	n.Crash()
	n.Wipe()
	w.Move(n)
	return func() { n.Boot(slots) }
}

// secondLosses are further losses right after a repair, a replacement or a
// retirement, as many as the fleet's tolerance allows.
func secondLosses(size Size) []Act {
	slots, most := size.Slots, size.tolerance()
	const span = 1500 * clock.Millisecond
	acts := []Act{
		{Name: familySecondLoss + "the holders of a slot as another of them retires", Span: span, Disk: true, Do: func(w *World) func() { return loseBesideRetiring(w, most, slots) }},
		{Name: familySecondLoss + "stores as soon as a replaced one is whole", Span: span, Disk: true, Do: func(w *World) func() {
			return loseAfterRepair(w, identity.Store, most, slots)
		}},
		{Name: familySecondLoss + "a core is killed as an empty one joins", Span: 3 * clock.Second, Disk: true, Cores: 1, Do: func(w *World) func() { return killAsEmptyJoins(w, slots) }},
	}
	if size.Cores > 1 {
		acts = append(acts, Act{Name: familySecondLoss + "cores as soon as a replaced one is whole", Span: span, Disk: true, Do: func(w *World) func() {
			return loseAfterRepair(w, identity.Core, min(most, (size.Cores-1)/2), slots)
		}})
	}
	if most > 1 {
		acts = append(acts,
			Act{Name: familySecondLoss + "two stores' disks at once", Span: span, Disk: true, Stores: 2, Do: func(w *World) func() { return w.loseTwo(w.two(w.any(identity.Store)), slots) }},
			Act{Name: familySecondLoss + "two cores' disks at once", Span: span, Disk: true, Cores: 2, Do: func(w *World) func() { return w.loseTwo(w.two(w.primary()), slots) }},
			Act{Name: familySecondLoss + "a store's and a core's disk at once", Span: span, Disk: true, Stores: 1, Cores: 1, Do: func(w *World) func() {
				return w.loseTwo([]*Node{w.any(identity.Store), w.primary()}, slots)
			}},
			Act{Name: familySecondLoss + "two disks of one slot at once", Span: span, Disk: true, Stores: 2, Do: func(w *World) func() {
				holders := w.holders(w.Chance.Intn(slots))
				return w.loseTwo(holders[:min(2, len(holders))], slots)
			}})
	}
	return acts
}

// loseTwo empties daemons at once and starts them again.
func (w *World) loseTwo(lost []*Node, slots int) func() {
	var undos []func()
	for _, n := range lost {
		undos = append(undos, wipe(n, slots))
	}
	return func() { run(undos) }
}

// loseBesideRetiring retires a store that holds a slot, and has the others that
// hold it lose their disks in the midst of that.
func loseBesideRetiring(w *World, most, slots int) func() {
	holders := w.holders(w.Chance.Intn(slots))
	if len(holders) < 2 {
		return nil
	}
	at := w.Chance.Intn(len(holders))
	leaving := holders[at]
	others := slices.Delete(slices.Clone(holders), at, at+1)
	id := leaving.ID
	w.Watch.Retire(id, false)
	w.Run(w.between(0, 2500) * clock.Millisecond)
	lost := w.loseTwo(others[:min(most, len(others))], slots)
	return func() { lost(); w.Watch.Retire(id, true) }
}

// loseAfterRepair replaces a daemon, and has as many others as the fleet bears lose
// their disks as soon as all copies are there again.
func loseAfterRepair(w *World, kind string, most, slots int) func() {
	first := w.any(kind)
	boot := replace(w, first, slots)
	w.Run(w.between(200, 1500) * clock.Millisecond)
	boot()
	if !w.Until(repairTime, w.noteSettled) {
		w.Watch.breach(kept, "no second copy %d s after a disk was lost: %s", repairTime/clock.Second, w.Describe())
		return nil
	}
	others := slices.DeleteFunc(w.nodes(kind), func(n *Node) bool { return n == first })
	w.Chance.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return w.loseTwo(others[:min(most, len(others))], slots)
}

// killAsEmptyJoins empties a core and kills another, whose disk stays, while the
// empty one joins.
func killAsEmptyJoins(w *World, slots int) func() {
	cores := w.nodes(identity.Core)
	w.Chance.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	boot := wipe(cores[0], slots)
	w.Run(w.between(200, 1500) * clock.Millisecond)
	boot()
	if len(cores) < 3 {
		return nil
	}
	w.Run(w.between(0, 3000) * clock.Millisecond)
	return crash(cores[1], slots)
}
