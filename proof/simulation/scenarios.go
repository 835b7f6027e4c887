package simulation

import (
	"slices"

	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// The families of directed scenarios: each brings about, at a random moment, one of
// the five kinds of trouble that operators of such systems report. The names of a
// family's acts begin with its name.
const (
	familyCutOff     = "cut-off: "
	familyOperators  = "operators: "
	familySecondLoss = "second-loss: "
	familyChanges    = "many-changes: "
	familyAnswers    = "answers: "
)

// Scenarios are the directed scenarios for a fleet of a shape.
func Scenarios(size Size) []Act {
	return slices.Concat(cutOffs(size), operatorConflicts(size.Slots), secondLosses(size), lossesAtReceipt(size), manyChanges(size), badAnswers(size.Slots))
}

// cutOffs cut daemons off for about twenty seconds, alone or in twos, while
// operators put and read on both sides.
func cutOffs(size Size) []Act {
	const span = 20 * clock.Second
	cut := func(name string, pick func(w *World) []*Node) Act {
		return Act{Name: familyCutOff + name, Span: span, Do: func(w *World) func() { return cutOffWithOperators(w, pick(w)) }}
	}
	anyOf := func(kind string) func(w *World) []*Node {
		return func(w *World) []*Node { return []*Node{w.any(kind)} }
	}
	acts := []Act{
		cut("a core alone", anyOf(identity.Core)),
		cut("the primary alone", func(w *World) []*Node { return []*Node{w.primary()} }),
		cut("a store alone", anyOf(identity.Store)),
		cut("a core with a store", func(w *World) []*Node { return []*Node{w.any(identity.Core), w.any(identity.Store)} }),
		cut("the primary with a store", func(w *World) []*Node { return []*Node{w.primary(), w.any(identity.Store)} }),
	}
	if size.Cores > 1 {
		acts = append(acts,
			cut("two cores", func(w *World) []*Node { return w.two(w.any(identity.Core)) }),
			cut("the primary with a core", func(w *World) []*Node { return w.two(w.primary()) }))
	}
	return append(acts, cut("two stores", func(w *World) []*Node { return w.two(w.any(identity.Store)) }))
}

// two is a node with another of its kind.
func (w *World) two(one *Node) []*Node {
	others := slices.DeleteFunc(w.nodes(one.Kind), func(n *Node) bool { return n == one })
	return []*Node{one, others[w.Chance.Intn(len(others))]}
}

// separate cuts or heals every link between a group and the rest of the fleet.
func (w *World) separate(group []*Node, cut bool) {
	inside := func(name string) bool {
		return slices.ContainsFunc(group, func(n *Node) bool { return n.Name == name })
	}
	for _, n := range group {
		for _, other := range w.names {
			if !inside(other) {
				w.Cut(n.Name, other, cut)
			}
		}
		for _, s := range w.Servers {
			w.Cut(n.Name, s.Name, cut)
		}
		w.Note("%s is cut off: %v", n.Name, cut)
	}
}

// bears tells whether the fleet goes on without a group.
func (w *World) bears(group []*Node) bool {
	count := map[string]int{}
	for _, n := range group {
		count[n.Kind]++
	}
	return max(count[identity.Core], count[identity.Store]) <= w.Size.tolerance()
}

// leaseTime is within which a core that lost contact with the majority has stopped
// confirming, and takeoverTime within which the majority confirms again.
const (
	leaseTime    = 10 * clock.Second
	takeoverTime = 12 * clock.Second
)

// cutOffWithOperators cuts a group off and lets operators work on both sides. Where
// the fleet bears the group's loss the rest has to confirm orders again; the side
// without most of the cores may confirm none that come after its lease has lapsed.
func cutOffWithOperators(w *World, group []*Node) func() {
	v, whole := w.Watch, w.Settled()
	var inside, outside []*Node
	for _, core := range w.nodes(identity.Core) {
		if slices.Contains(group, core) {
			inside = append(inside, core)
		} else {
			outside = append(outside, core)
		}
	}
	from := w.Now
	w.separate(group, true)
	one, other := v.Operate(inside), v.Operate(outside)
	return func() {
		one.stop()
		other.stop()
		few, most := one, other
		if 2*len(inside) > w.Size.Cores {
			few, most = other, one
		}
		for _, p := range few.Confirmed {
			v.saw(inForce)
			if p.Called > from+leaseTime {
				v.breach(inForce, "version %d, sent %d us into the cut, was confirmed without contact with most of the cores", p.Version, p.Called-from)
			}
		}
		// Most of the cores without the stores and edges can have nothing in force.
		if whole && most == other && w.bears(group) && w.Now > from+takeoverTime {
			v.saw(back)
			if len(most.Confirmed) == 0 {
				v.breach(back, "most of the cores confirmed nothing in %d us of a cut: %s", w.Now-from, w.Describe())
			}
		}
		w.separate(group, false)
	}
}

// badAnswers let servers spoil, lose or delay the answers to requests that are
// passed on.
func badAnswers(slots int) []Act {
	var acts []Act
	for _, what := range troubles {
		acts = append(acts, Act{Name: familyAnswers + string(what) + " at a server", Span: 4 * clock.Second, Do: func(w *World) func() { return w.anyServer().troubled(what) }})
	}
	every := Act{Name: familyAnswers + "all servers, each in its way", Span: 3 * clock.Second, Do: func(w *World) func() {
		var undos []func()
		for _, s := range w.Servers {
			undos = append(undos, s.troubled(troubles[w.Chance.Intn(len(troubles))]))
		}
		return func() { run(undos) }
	}}
	edge := Act{Name: familyAnswers + "resets while an edge restarts", Span: 2 * clock.Second, Do: func(w *World) func() {
		heal := w.anyServer().troubled(resets)
		boot := crash(w.any(identity.Edge), slots)
		return func() { boot(); heal() }
	}}
	store := Act{Name: familyAnswers + "silence while a store is cut off", Span: 5 * clock.Second, Do: func(w *World) func() {
		calm := w.anyServer().troubled(isSilent)
		heal := isolate(w, w.any(identity.Store))
		return func() { heal(); calm() }
	}}
	return append(acts, every, edge, store)
}
