// Package simulator is the simulator (DESIGN §9): the daemons' own machines under
// seeded virtual time, links that drop, repeat, delay and cut, and disks that
// lose what was not synced, stall, or are wiped.
package simulator

import (
	"fmt"
	"math/rand"
	"slices"
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Conditions say how bad links and disks are.
type Conditions struct {
	DropRate, DuplicateRate, DelayRate float64
	MaxDelay                           clock.Micros
	SyncTime                           clock.Micros
}

// MildConditions gives the conditions of an ordinary day.
func MildConditions() Conditions {
	return Conditions{DropRate: 0.002, DuplicateRate: 0.002, DelayRate: 0.01, MaxDelay: 60 * clock.Millisecond, SyncTime: 2 * clock.Millisecond}
}

// World is a whole fleet.
type World struct {
	Now             clock.Micros
	Random          *rand.Rand
	Conditions      Conditions
	eventQueue      events
	lastSeq         uint64
	Nodes           map[string]*Node
	nodeNames       []string
	nodeByPeer      map[string]*Node
	Servers         []*Server
	serverByAddress map[string]*Server
	blockedLinks    map[link]bool
	Trace           []string
	Workload        *Workload
	Steps           int
	Messages        int
	Syncs           int
	// InjectBug lets a test plant a fault in the machines it starts.
	InjectBug func(n *Node)
	// DeliveryFault may change the fate of one message; nil leaves it to the conditions.
	DeliveryFault func(from, to string, body any) (drop, duplicate bool, delay clock.Micros)
	// OnSend sees each message as it is sent; Wrote each node whose disk has just
	// synced, before its machine hears of it.
	OnSend func(from, to *Node, body any)
	OnSync func(n *Node)
	// OnEffect sees each effect just before it is carried out.
	OnEffect func(n *Node, effect machine.Effect)
	Shape    Shape
	// Forwarding adds requests and batches of requests that are passed on unchanged.
	Forwarding bool
	seeds      []string
	// fullyReplicatedAt is when the fleet was last seen to have all its copies.
	fullyReplicatedAt clock.Micros
}

// NewWorld makes a fleet that has not booted.
func NewWorld(seed int64, shape Shape, conditions Conditions) *World {
	w := &World{Now: 1_000_000_000, Random: rand.New(rand.NewSource(seed)), Conditions: conditions, Nodes: map[string]*Node{}, nodeByPeer: map[string]*Node{}, serverByAddress: map[string]*Server{}, blockedLinks: map[link]bool{}, Shape: shape}
	w.Workload = newWorkload(w)
	add := func(kind, word string, count int) {
		for i := 0; i < count; i++ {
			name := fmt.Sprintf("%s-%d", word, i+1)
			n := &Node{world: w, Name: name, Kind: kind, Zone: shape.zoneOf(kind, i), Peer: fmt.Sprintf("10.0.%d.%d:1", len(w.nodeNames)+1, i+1)}
			n.ID = fmt.Sprintf("%s-%02d", kind, i+1)
			w.Nodes[name], w.nodeByPeer[n.Peer] = n, n
			w.nodeNames = append(w.nodeNames, name)
			if kind == membership.Core {
				w.seeds = append(w.seeds, n.Peer)
			}
		}
	}
	add(membership.Core, "core", shape.Cores)
	add(membership.Store, "store", shape.Stores)
	add(membership.Edge, "edge", shape.Edges)
	for i := 0; i < max(shape.Servers, 4); i++ {
		s := newServer(w, i+1, fmt.Sprintf("zone-%d", 1+i%shape.Zones))
		w.Servers, w.serverByAddress[s.Address] = append(w.Servers, s), s
	}
	for _, name := range w.nodeNames {
		n := w.Nodes[name]
		w.After(w.randomBetween(0, 200*clock.Millisecond), func() { n.Boot(shape.Shards) })
	}
	return w
}

// Names lists the nodes of a kind in order.
func (w *World) Names(kind string) []string {
	var out []string
	for _, name := range w.nodeNames {
		if w.Nodes[name].Kind == kind {
			out = append(out, name)
		}
	}
	return out
}

func (w *World) randomNode(kind string) *Node {
	names := w.Names(kind)
	return w.Nodes[names[w.Random.Intn(len(names))]]
}

func (w *World) randomServer() *Server { return w.Servers[w.Random.Intn(len(w.Servers))] }

// nodeByID finds a node by the identity it has now.
func (w *World) nodeByID(id string) *Node {
	for _, name := range w.nodeNames {
		if w.Nodes[name].ID == id {
			return w.Nodes[name]
		}
	}
	return nil
}

func (w *World) serverByName(name string) *Server {
	for _, s := range w.Servers {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// primary is the core that serves, or any.
func (w *World) primary() *Node {
	for _, name := range w.Names(membership.Core) {
		if n := w.Nodes[name]; n.up && n.Core.IsServing() {
			return n
		}
	}
	return w.randomNode(membership.Core)
}

// busiestStore is the live store that has listed most.
func (w *World) busiestStore() *Node {
	var best *Node
	for _, name := range w.Names(membership.Store) {
		if n := w.Nodes[name]; n.up && !n.frozen && (best == nil || n.Store.ResultsListed > best.Store.ResultsListed) {
			best = n
		}
	}
	if best == nil {
		return w.randomNode(membership.Store)
	}
	return best
}

// quotaOwner is the edge that holds a tenant's account.
func (w *World) quotaOwner(tenant string) *Node {
	if n := w.Workload.randomEdge(); n != nil {
		id := endpoints.RendezvousOwner("account/"+tenant, n.edge.Members(), membership.Edge)
		for _, name := range w.Names(membership.Edge) {
			if w.Nodes[name].ID == id {
				return w.Nodes[name]
			}
		}
	}
	return w.randomNode(membership.Edge)
}

// ownerOf is the store that keeps a batch, as an edge knows it.
func (w *World) ownerOf(b *Batch) *Node {
	if n := w.Workload.randomEdge(); n != nil {
		if _, owner, err := n.edge.Reader.Locate(b.ID); err == nil && w.nodeByPeer[owner.Peer] != nil {
			return w.nodeByPeer[owner.Peer]
		}
	}
	return w.randomNode(membership.Store)
}

// nodes are the nodes of a kind.
func (w *World) nodes(kind string) []*Node {
	var out []*Node
	for _, name := range w.Names(kind) {
		out = append(out, w.Nodes[name])
	}
	return out
}

func (w *World) allNodes() []*Node {
	var out []*Node
	for _, name := range w.nodeNames {
		out = append(out, w.Nodes[name])
	}
	return out
}

func (w *World) nodesOfZone(zone string) []*Node {
	return slices.DeleteFunc(w.allNodes(), func(n *Node) bool { return n.Zone != zone })
}

// randomZones are at least one zone, and not all.
func (w *World) randomZones() map[string]bool {
	zones := map[string]bool{}
	for _, name := range w.nodeNames {
		zones[w.Nodes[name].Zone] = true
	}
	all := sorted(zones)
	out := map[string]bool{}
	for _, at := range w.Random.Perm(len(all))[:1+w.Random.Intn(len(all)-1)] {
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
