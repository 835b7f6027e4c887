// Package simulation is the simulator (DESIGN §9): the daemons' own machines under
// seeded virtual time, links that drop, repeat, delay and cut, and disks that
// lose what was not synced, stall, or are wiped.
package simulation

import (
	"fmt"
	"math/rand"
	"sort"

	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

// Conditions say how bad links and disks are.
type Conditions struct {
	Drop, Repeat, Late float64
	LateBy             clock.Micros
	Sync               clock.Micros
}

// Mild gives the conditions of an ordinary day.
func Mild() Conditions {
	return Conditions{Drop: 0.002, Repeat: 0.002, Late: 0.01, LateBy: 60 * clock.Millisecond, Sync: 2 * clock.Millisecond}
}

// World is a whole fleet.
type World struct {
	Now        clock.Micros
	Chance     *rand.Rand
	Conditions Conditions
	queue      events
	seq        uint64
	Nodes      map[string]*Node
	names      []string
	byPeer     map[string]*Node
	Servers    []*Server
	byAddress  map[string]*Server
	cut        map[[2]string]bool
	Trace      []string
	Watch      *Watch
	Steps      int
	Messages   int
	Syncs      int
	// Plant lets a test plant a fault in the machines it starts.
	Plant func(n *Node)
	// Mutate may change the fate of one message; nil leaves it to the conditions.
	Mutate func(from, to string, body any) (drop, repeat bool, late clock.Micros)
	// Spy sees each message as it is sent; Wrote each node whose disk has just
	// synced, before its machine hears of it.
	Spy   func(from, to *Node, body any)
	Wrote func(n *Node)
	// OnEffect sees each effect just before it is carried out.
	OnEffect func(n *Node, effect machine.Effect)
	Size     Size
	// Forwarding adds requests and bundles of requests that are passed on unchanged.
	Forwarding bool
	seeds      []string
	// settledAt is when the fleet was last seen to have all its copies.
	settledAt clock.Micros
}

// NewWorld makes a fleet that has not booted.
func NewWorld(seed int64, size Size, conditions Conditions) *World {
	w := &World{Now: 1_000_000_000, Chance: rand.New(rand.NewSource(seed)), Conditions: conditions, Nodes: map[string]*Node{}, byPeer: map[string]*Node{}, byAddress: map[string]*Server{}, cut: map[[2]string]bool{}, Size: size}
	w.Watch = newWatch(w)
	add := func(kind, word string, count int) {
		for i := 0; i < count; i++ {
			name := fmt.Sprintf("%s-%d", word, i+1)
			n := &Node{world: w, Name: name, Kind: kind, Zone: size.zone(kind, i), Peer: fmt.Sprintf("10.0.%d.%d:1", len(w.names)+1, i+1)}
			n.ID = fmt.Sprintf("%s-%02d", kind, i+1)
			w.Nodes[name], w.byPeer[n.Peer] = n, n
			w.names = append(w.names, name)
			if kind == identity.Core {
				w.seeds = append(w.seeds, n.Peer)
			}
		}
	}
	add(identity.Core, "core", size.Cores)
	add(identity.Store, "store", size.Stores)
	add(identity.Edge, "edge", size.Edges)
	for i := 0; i < max(size.Servers, 4); i++ {
		s := newServer(w, i+1, fmt.Sprintf("zone-%d", 1+i%size.Zones))
		w.Servers, w.byAddress[s.Address] = append(w.Servers, s), s
	}
	for _, name := range w.names {
		n := w.Nodes[name]
		w.After(w.between(0, 200*clock.Millisecond), func() { n.Boot(size.Slots) })
	}
	return w
}

// Names lists the nodes of a kind in order.
func (w *World) Names(kind string) []string {
	var out []string
	for _, name := range w.names {
		if w.Nodes[name].Kind == kind {
			out = append(out, name)
		}
	}
	return out
}

func (w *World) any(kind string) *Node {
	names := w.Names(kind)
	return w.Nodes[names[w.Chance.Intn(len(names))]]
}

func (w *World) anyServer() *Server { return w.Servers[w.Chance.Intn(len(w.Servers))] }

// byID finds a node by the identity it has now.
func (w *World) byID(id string) *Node {
	for _, name := range w.names {
		if w.Nodes[name].ID == id {
			return w.Nodes[name]
		}
	}
	return nil
}

func (w *World) serverNamed(name string) *Server {
	for _, s := range w.Servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// primary is the core that serves, or any.
func (w *World) primary() *Node {
	for _, name := range w.Names(identity.Core) {
		if n := w.Nodes[name]; n.up && n.Core.Serving() {
			return n
		}
	}
	return w.any(identity.Core)
}

// busiest is the live store that has listed most.
func (w *World) busiest() *Node {
	var best *Node
	for _, name := range w.Names(identity.Store) {
		if n := w.Nodes[name]; n.up && !n.frozen && (best == nil || n.Store.Listed > best.Store.Listed) {
			best = n
		}
	}
	if best == nil {
		return w.any(identity.Store)
	}
	return best
}

// holder is the edge that holds a customer's account.
func (w *World) holder(who string) *Node {
	if n := w.Watch.edgeNode(); n != nil {
		id := registry.First("account/"+who, n.edge.Members(), identity.Edge)
		for _, name := range w.Names(identity.Edge) {
			if w.Nodes[name].ID == id {
				return w.Nodes[name]
			}
		}
	}
	return w.any(identity.Edge)
}

// keeperOf is the store that keeps a bundle, as an edge knows it.
func (w *World) keeperOf(h *Handed) *Node {
	if n := w.Watch.edgeNode(); n != nil {
		if _, owner, err := n.edge.Reader.StoreOf(h.ID); err == nil && w.byPeer[owner.Peer] != nil {
			return w.byPeer[owner.Peer]
		}
	}
	return w.any(identity.Store)
}

// someZones are at least one zone, and not all.
func (w *World) someZones() map[string]bool {
	zones := map[string]bool{}
	for _, name := range w.names {
		zones[w.Nodes[name].Zone] = true
	}
	all := sorted(zones)
	out := map[string]bool{}
	for _, at := range w.Chance.Perm(len(all))[:1+w.Chance.Intn(len(all)-1)] {
		out[all[at]] = true
	}
	return out
}

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}
