// Package simulator runs the daemons' own machines under seeded virtual time (DESIGN §9):
// links drop, repeat, delay and block messages, disks lose what was not synced, stall or are
// wiped, model servers fail. Callers and operators use the fleet meanwhile, and every
// guarantee of the product is checked (Guarantees).
//
// A Run with its seed gives the same World each time, whatever the machine it runs on. A World
// belongs to one goroutine; runs may go on in parallel.
package simulator

import (
	"fmt"
	"math/rand"
	"slices"
	"sort"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/test/virtualtime"
)

// Conditions say how unreliable links are, and how fast disks.
type Conditions struct {
	DropRate, DuplicateRate, DelayRate float64      // shares of the messages
	MaxDelay                           clock.Micros // of a message that is delayed
	SyncTime                           clock.Micros // of a disk; each takes from half to twice of it
}

// MildConditions gives the conditions of an ordinary run.
func MildConditions() Conditions {
	return Conditions{
		DropRate:      0.002,
		DuplicateRate: 0.002,
		DelayRate:     0.01,
		MaxDelay:      60 * clock.Millisecond,
		SyncTime:      2 * clock.Millisecond,
	}
}

// startOfTime is the virtual time at which every run begins.
const startOfTime = 1000 * clock.Second

// World is a fleet with its links, model servers, callers and virtual time.
type World struct {
	virtualtime.Queue            // Now, and the events to come
	Random            *rand.Rand // draws everything that is random; the order of draws is part of a seed
	Conditions        Conditions
	Shape             Shape
	lastNumber        uint64 // numbers calls on servers and crash hooks

	Nodes           map[string]*Node // by name
	nodeNames       []string         // in the order they were made
	nodeByPeer      map[string]*Node // by address
	Servers         []*Server
	serverByAddress map[string]*Server
	blockedLinks    map[link]bool
	seeds           []string // addresses that nodes boot with
	// fullyReplicatedAt is when the fleet was last seen to have all its replicas.
	fullyReplicatedAt clock.Micros

	Workload *Workload
	// Forwarding adds requests and batches of requests that are forwarded unchanged.
	Forwarding bool
	// TokenQuota adds a route of forwarded batches with a quota of tokens.
	TokenQuota bool
	// Outside is a system outside the fleet that cores perform acts on; nil: there is none.
	Outside *Outside
	// Tenants has batches of requests belong to tenants, whose keys change with the configurations.
	Tenants bool

	Trace                  []string
	Steps, Messages, Syncs int // events, messages sent, syncs of disks so far

	// InjectBug lets a test plant a bug in the machines that boot; nil: none.
	InjectBug func(n *Node)
	// DeliveryFault may change the fate of one message; nil leaves it to the conditions.
	DeliveryFault func(from, to string, body any) (drop, duplicate bool, delay clock.Micros)
	// OnSend receives each message as it is sent; nil: nobody does.
	OnSend func(from, to *Node, body any)
	// OnSync receives each node whose disk has just synced, before its machine is notified.
	OnSync func(n *Node)
	// OnEffect receives each effect just before it is carried out.
	OnEffect func(n *Node, effect machine.Effect)
}

// NewWorld makes a fleet whose nodes boot within the first 200 ms.
func NewWorld(seed int64, shape Shape, conditions Conditions) *World {
	w := &World{
		Queue:           virtualtime.Queue{Now: startOfTime},
		Random:          rand.New(rand.NewSource(seed)),
		Conditions:      conditions,
		Shape:           shape,
		Nodes:           map[string]*Node{},
		nodeByPeer:      map[string]*Node{},
		serverByAddress: map[string]*Server{},
		blockedLinks:    map[link]bool{},
	}
	w.Workload = newWorkload(w)
	w.addNodes(membership.Core, "core", shape.Cores)
	w.addNodes(membership.Store, "store", shape.Stores)
	w.addNodes(membership.Edge, "edge", shape.Edges)
	for i := range max(shape.Servers, minServers) {
		s := newServer(w, i+1, fmt.Sprintf("zone-%d", 1+i%shape.Zones))
		w.Servers = append(w.Servers, s)
		w.serverByAddress[s.Address] = s
	}
	for _, n := range w.allNodes() {
		w.After(w.randomBetween(0, 200*clock.Millisecond), func() { n.Boot(shape.Shards) })
	}
	return w
}

// minServers is how many model servers there are at least.
const minServers = 4

// addNodes adds the nodes of a kind; cores are the seeds of all.
func (w *World) addNodes(kind, namePrefix string, count int) {
	for i := range count {
		n := &Node{
			world: w,
			Name:  fmt.Sprintf("%s-%d", namePrefix, i+1),
			Kind:  kind,
			Zone:  w.Shape.zoneOf(kind, i),
			Peer:  fmt.Sprintf("10.0.%d.%d:1", len(w.nodeNames)+1, i+1),
			ID:    fmt.Sprintf("%s-%02d", kind, i+1),
		}
		w.Nodes[n.Name] = n
		w.nodeByPeer[n.Peer] = n
		w.nodeNames = append(w.nodeNames, n.Name)
		if kind == membership.Core {
			w.seeds = append(w.seeds, n.Peer)
		}
	}
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

// busiestStore is the live store that has listed most results.
func (w *World) busiestStore() *Node {
	var best *Node
	for _, name := range w.Names(membership.Store) {
		if n := w.Nodes[name]; n.up && !n.frozen && (best == nil || n.Store.ResultsRecorded > best.Store.ResultsRecorded) {
			best = n
		}
	}
	if best == nil {
		return w.randomNode(membership.Store)
	}
	return best
}

// quotaOwner is the edge that owns a tenant's quota, as an edge knows it.
func (w *World) quotaOwner(tenant string) *Node {
	if n := w.Workload.randomEdge(); n != nil {
		if owner := w.nodeByID(n.edge.Quota.OwnerOf(shard.AccountName{Tenant: tenant})); owner != nil {
			return owner
		}
	}
	return w.randomNode(membership.Edge)
}

// ownerOf is the store that owns a batch's shard, as an edge knows it.
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

// randomZones are at least one zone, and not all of them.
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
