package simulation

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
)

// partitions cut the network in two, or one way only.
//
//revive:disable-next-line:function-length a table, one fault an entry
func partitions(_ int) []Act {
	ms := clock.Millisecond
	return []Act{
		{Name: "part the zones in two halves", Span: 9000 * ms, Do: func(w *World) func() {
			half := w.someZones()
			w.Part(half, true)
			return func() { w.Part(half, false) }
		}},
		{Name: "part the zones while a flock comes", Span: 9000 * ms, Do: func(w *World) func() {
			half := w.someZones()
			w.Part(half, true)
			w.Watch.Flock(25, 20)
			w.Run(w.between(0, 3000) * ms)
			w.Watch.Crowd(100, "gold")
			w.Watch.Flock(25, 20)
			return func() { w.Part(half, false) }
		}},
		{Name: "part the zones and mark a server in each part", Span: 9000 * ms, Do: func(w *World) func() {
			half := w.someZones()
			w.Part(half, true)
			w.Run(w.between(0, 4000) * ms)
			one, other := w.Servers[0], w.Servers[1]
			w.Watch.Leave(one, true)
			w.Watch.Leave(other, true)
			w.Watch.PutPlan(false)
			return func() {
				w.Part(half, false)
				w.Run(3000 * ms)
				w.Watch.Leave(one, false)
				w.Watch.Leave(other, false)
			}
		}},
		{Name: "cut one way between two zones", Span: 5000 * ms, Do: func(w *World) func() {
			from, to := w.any(identity.Store).Zone, w.any(identity.Store).Zone
			set := func(cut bool) {
				for _, one := range w.names {
					for _, other := range w.names {
						if from != to && w.Nodes[one].Zone == from && w.Nodes[other].Zone == to {
							w.CutWay(one, other, cut)
						}
					}
				}
				w.Note("one way from %s to %s cut: %v", from, to, cut)
			}
			set(true)
			return func() { set(false) }
		}},
		{Name: "cut one way from a daemon", Span: 5000 * ms, Do: func(w *World) func() {
			n, inward := w.any([]string{identity.Store, identity.Core, identity.Edge}[w.Chance.Intn(3)]), w.Chance.Intn(2) == 0
			set := func(cut bool) {
				for _, other := range w.names {
					if other == n.Name {
						continue
					}
					if inward {
						w.CutWay(other, n.Name, cut)
					} else {
						w.CutWay(n.Name, other, cut)
					}
				}
				w.Note("%s cut one way (inward %v): %v", n.Name, inward, cut)
			}
			set(true)
			return func() { set(false) }
		}},
		{Name: "a cut heals in the midst of a takeover", Span: 400 * ms, Do: func(w *World) func() {
			heal := isolate(w, w.any(identity.Store))
			w.Run(w.between(1500, 3000) * ms)
			return heal
		}},
	}
}
