// Package simulation is the simulator (DESIGN §9): the daemons' own machines under
// seeded virtual time, links that drop, repeat, delay and cut, and disks that
// lose what was not synced, stall, or are wiped.
package simulation

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"strings"

	"tuliprudder/core/config"
	"tuliprudder/core/control"
	"tuliprudder/core/state"
	"tuliprudder/daemon/eventloop"
	"tuliprudder/daemon/machines"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/gossip"
	"tuliprudder/membership/identity"
	"tuliprudder/path/execution"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/quota"
	"tuliprudder/path/serverpoll"
)

type event struct {
	at  clock.Micros
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Climate is how bad links and disks are.
type Climate struct {
	Drop, Repeat, Late float64
	LateBy             clock.Micros
	Sync               clock.Micros
}

// Mild is the climate of an ordinary day.
func Mild() Climate {
	return Climate{Drop: 0.002, Repeat: 0.002, Late: 0.01, LateBy: 60 * clock.Millisecond, Sync: 2 * clock.Millisecond}
}

// Node is one daemon.
type Node struct {
	world   *World
	Name    string
	Kind    string
	Zone    string
	Peer    string
	ID      string
	life    uint64
	gossip  *gossip.Node
	machine eventloop.Machine
	Keeper  *store.Store
	Core    *control.Core
	edge    *machines.Edge
	ledger  *machines.Store
	runs    map[uint64]*serving // items on servers, by token
	crashed map[uint64]func()   // told when the node crashes
	core    state.CoreNews      // as heard last
	plan    uint64              // the same
	cuts    int                 // links of it that are cut now
	ill     clock.Micros        // when it was last down, frozen or cut
	up      bool
	frozen  bool
	era     int // raised at every crash: what was under way is gone
	disk    disk
	parked  []func() // arrived while frozen
	calls   map[uint64]func(machine.Answer)
	number  uint64
	Halted  error
	wipes   int
	moves   int
}

type write struct {
	records []machine.Record
	fold    bool
	token   uint64
	shelf   uint64   // a file for the shelf
	drop    []uint64 // files to remove from it
}

// shelf is a simulated disk's shelf.
type shelf struct{ files map[uint64]map[string][]byte }

func (s *shelf) Get(file uint64, unit string) ([]byte, error) {
	if body, ok := s.files[file][unit]; ok {
		return body, nil
	}
	return nil, errs.New(errs.Corrupt, "", "no %s in shelf file %d", unit, file)
}

func (s *shelf) Held() []uint64 {
	var out []uint64
	for file := range s.files {
		out = append(out, file)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (s *shelf) Top() uint64 {
	top := uint64(0)
	for file := range s.files {
		top = max(top, file)
	}
	return top
}

type disk struct {
	durable []machine.Record
	shelf   shelf
	queue   []write
	busy    bool
	stalled clock.Micros // until
	slow    clock.Micros // added to each sync
	liar    bool         // planted by tests: says synced, keeps it in memory only
	cached  []write
}

// World is a whole fleet.
type World struct {
	Now       clock.Micros
	Chance    *rand.Rand
	Climate   Climate
	queue     events
	seq       uint64
	Nodes     map[string]*Node
	names     []string
	byPeer    map[string]*Node
	Servers   []*Server
	byAddress map[string]*Server
	cut       map[[2]string]bool
	Trace     []string
	Watch     *Watch
	Steps     int
	Messages  int
	Syncs     int
	// Plant lets a test plant a fault in the machines it starts.
	Plant func(n *Node)
	// Mutate may change the fate of one message; nil leaves it to the climate.
	Mutate func(from, to string, body any) (drop, repeat bool, late clock.Micros)
	// Spy sees each message as it is sent; Wrote each node whose disk has just
	// synced, before its machine hears of it.
	Spy   func(from, to *Node, body any)
	Wrote func(n *Node)
	seeds []string
}

// Size of a simulated fleet.
type Size struct{ Zones, Cores, Stores, Edges, Slots, Servers int }

// NewWorld makes a fleet that has not booted.
func NewWorld(seed int64, size Size, climate Climate) *World {
	w := &World{Now: 1_000_000_000, Chance: rand.New(rand.NewSource(seed)), Climate: climate, Nodes: map[string]*Node{}, byPeer: map[string]*Node{}, byAddress: map[string]*Server{}, cut: map[[2]string]bool{}}
	w.Watch = newWatch(w)
	add := func(kind, word string, count int) {
		for i := 0; i < count; i++ {
			name := fmt.Sprintf("%s-%d", word, i+1)
			n := &Node{world: w, Name: name, Kind: kind, Zone: fmt.Sprintf("zone-%d", 1+i%size.Zones), Peer: fmt.Sprintf("10.0.%d.%d:1", len(w.names)+1, i+1)}
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

// After does something later.
func (w *World) After(span clock.Micros, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.Now + span, seq: w.seq, do: do})
}

func (w *World) between(least, most clock.Micros) clock.Micros {
	return least + clock.Micros(w.Chance.Int63n(int64(most-least+1)))
}

// Run lets time pass.
func (w *World) Run(span clock.Micros) {
	end := w.Now + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.Now = next.at
		w.Steps++
		next.do()
	}
	w.Now = end
}

// Until lets time pass until a condition holds; false when it does not in time.
func (w *World) Until(most clock.Micros, holds func() bool) bool {
	end := w.Now + most
	for !holds() {
		if w.Now >= end {
			return false
		}
		w.Run(50 * clock.Millisecond)
	}
	return true
}

// Note adds a line to the trace, which keeps only the newest.
func (w *World) Note(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3fs ", float64(w.Now-1_000_000_000)/1e6)+fmt.Sprintf(format, args...))
	if len(w.Trace) > 4000 {
		w.Trace = w.Trace[len(w.Trace)-2000:]
	}
}

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

// well tells whether a node has had nothing done to it since a time.
func (n *Node) well(since clock.Micros) bool {
	return n.up && !n.frozen && n.cuts == 0 && n.ill < since
}

// onCrash adds someone to be told when the node crashes, until it is forgotten.
func (n *Node) onCrash(told func()) (forget func()) {
	n.world.seq++
	number := n.world.seq
	n.crashed[number] = told
	return func() { delete(n.crashed, number) }
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
	drop, repeat, late := w.Chance.Float64() < w.Climate.Drop, w.Chance.Float64() < w.Climate.Repeat, clock.Micros(0)
	if w.Chance.Float64() < w.Climate.Late {
		late = w.between(0, w.Climate.LateBy)
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

// take runs what arrived, or parks it while the node is frozen.
func (n *Node) take(do func()) {
	if !n.up {
		return
	}
	if n.frozen {
		if len(n.parked) < 4096 {
			n.parked = append(n.parked, do)
		}
		return
	}
	do()
}

// Boot starts a node from what its disk holds.
func (n *Node) Boot(slots int) {
	w := n.world
	n.era++
	n.life++
	n.up, n.frozen, n.parked = true, false, nil
	n.calls, n.runs, n.crashed, n.ill = map[uint64]func(machine.Answer){}, map[uint64]*serving{}, map[uint64]func(){}, w.Now
	n.core, n.plan, n.ledger = state.CoreNews{}, 0, nil
	n.disk.queue, n.disk.busy = nil, false
	life := n.life
	if n.Kind == identity.Edge {
		life = uint64(w.Now)
		n.ID = fmt.Sprintf("%s.%d", n.Name, n.era)
	}
	person := identity.Member{ID: n.ID, Kind: n.Kind, Zone: n.Zone, Peer: n.Peer, Incarnation: life, Version: identity.Release}
	n.gossip = gossip.New(person, w.seeds, gossip.Defaults(), w.Chance.Int63())
	n.machine, n.Keeper, n.Core, n.edge = nil, nil, nil, nil
	switch n.Kind {
	case identity.Core:
		set := control.Defaults()
		set.Slots, set.CheckPlan, set.Bootstrap = slots, config.Check, n.era == 1
		n.Core = control.New(control.CoreRef{ID: n.ID, Peer: n.Peer, Zone: n.Zone}, life, w.seeds, set, n.disk.durable)
		n.machine = machines.NewCore(n.Core)
	case identity.Store:
		set := store.Defaults()
		if n.disk.shelf.files == nil {
			n.disk.shelf.files = map[uint64]map[string][]byte{}
		}
		set.FoldAfter = 300
		n.Keeper = store.New(store.Self{ID: n.ID, Zone: n.Zone, Peer: n.Peer, Life: life}, set, n.disk.durable, &n.disk.shelf)
		n.Keeper.Damaged = func(err error) { w.Watch.breach(kept, "%s: %v", n.Name, err) }
		n.ledger = machines.NewStore(n.ID, n.Keeper, set.MostItems, w.Chance.Int63())
		n.machine = n.ledger
	case identity.Edge:
		n.edge = machines.NewEdge(n.ID, machines.EdgeDefaults(), w.Chance.Int63())
		n.machine = n.edge
	}
	if w.Plant != nil {
		w.Plant(n)
	}
	w.Note("%s boots as %s life %d with %d records", n.Name, n.ID, life, len(n.disk.durable))
	era := n.era
	n.do(n.gossip.Drain())
	var tick func()
	tick = func() {
		if n.era != era {
			return
		}
		n.take(func() {
			n.do(n.gossip.Do(gossip.ClockEvent{}, w.Now))
			if n.machine != nil {
				n.do(n.machine.ClockEvent(w.Now))
			}
		})
		w.After(20*clock.Millisecond, tick)
	}
	w.After(w.between(0, 20*clock.Millisecond), tick)
}

// do carries out what a machine decided.
func (n *Node) do(effects []machine.Effect) {
	w := n.world
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			to := w.byPeer[e.To]
			body := e.Body
			w.carry(n, to, body, func() { to.letter(n.Peer, body) })
		case machine.Store:
			n.disk.queue = append(n.disk.queue, write{records: e.Records, token: e.Token})
			n.spin()
		case machine.Fold:
			n.disk.queue = append(n.disk.queue, write{records: e.Records, fold: true})
			n.spin()
		case machine.Shelve:
			n.disk.queue = append(n.disk.queue, write{records: e.Records, token: e.Token, shelf: e.File})
			n.spin()
		case machine.Unshelve:
			n.disk.queue = append(n.disk.queue, write{drop: e.Files})
			n.spin()
		case machine.Answer:
			if back := n.calls[e.Call]; back != nil {
				delete(n.calls, e.Call)
				back(e)
			}
		case machine.Publish:
			n.do(n.gossip.Do(gossip.Publish{Update: e.Update}, w.Now))
		case machine.Heard:
			n.hear(e.Update)
			if n.machine != nil {
				n.do(n.machine.Heard(e.Update, w.Now))
			}
		case machine.Broadcast:
			n.do(n.gossip.Do(gossip.Broadcast(e), w.Now))
		case machine.Fresh:
			if n.machine != nil {
				n.do(n.machine.Fresh(e.At, w.Now))
			}
		case machine.Ask:
			era := n.era
			w.Ask(n, e.To, e.Body, e.Expiry, func(body any, err error) {
				n.take(func() {
					if n.era == era {
						n.do(n.machine.Answered(e.Token, body, err, w.Now))
					}
				})
			})
		case machine.Explain:
			w.Note("%s: %s %v", n.Name, e.What, e.Fields)
		case machine.Halt:
			w.Note("%s halts: %v", n.Name, e.Err)
			n.Halted = e.Err
			n.Crash()
			return
		case machine.Work:
			n.work(e.Order)
		}
	}
}

func (n *Node) letter(from string, body any) {
	switch body.(type) {
	case gossip.Gossip, gossip.Digest, gossip.DigestReply, gossip.FetchUpdates, gossip.Announcement, gossip.Probe, gossip.ProbeReply, gossip.IndirectProbe, gossip.IndirectResult, gossip.Shuffle, gossip.PushUpdate, gossip.PushAck:
		n.do(n.gossip.Do(gossip.Message{From: from, Body: body}, n.world.Now))
	default:
		if n.machine != nil {
			n.do(n.machine.Message(from, body, n.world.Now))
		}
	}
}

// spin lets the disk write what waits: one group, one sync.
func (n *Node) spin() {
	if n.disk.busy || len(n.disk.queue) == 0 {
		return
	}
	w := n.world
	n.disk.busy = true
	count := 1
	if !n.disk.queue[0].fold {
		for count < len(n.disk.queue) && !n.disk.queue[count].fold {
			count++
		}
	}
	span := w.between(w.Climate.Sync/2, 2*w.Climate.Sync)
	span += n.disk.slow
	if n.disk.stalled > w.Now {
		span += n.disk.stalled - w.Now
	}
	era := n.era
	w.Syncs++
	w.After(span, func() {
		if n.era != era || !n.up {
			return
		}
		done := n.disk.queue[:count:count]
		n.disk.queue = n.disk.queue[count:]
		if n.disk.liar {
			n.disk.cached = append(n.disk.cached, done...)
			if keep := len(n.disk.cached) - 40; keep > 0 {
				n.persist(n.disk.cached[:keep])
				n.disk.cached = n.disk.cached[keep:]
			}
		} else {
			n.persist(done)
		}
		n.disk.busy = false
		if w.Wrote != nil {
			w.Wrote(n)
		}
		n.take(func() {
			for _, one := range done {
				if !one.fold && one.token > 0 {
					n.do(n.machine.Stored(one.token, w.Now))
				}
			}
		})
		n.spin()
	})
}

func (n *Node) persist(done []write) {
	for _, one := range done {
		if one.shelf > 0 {
			n.disk.shelf.files[one.shelf] = map[string][]byte{}
			for _, record := range one.records {
				n.disk.shelf.files[one.shelf][record.Unit] = record.Body
			}
			continue
		}
		for _, file := range one.drop {
			delete(n.disk.shelf.files, file)
		}
		if one.fold {
			n.disk.durable = nil
		}
		n.disk.durable = append(n.disk.durable, one.records...)
	}
}

// Crash ends a node. With power lost, what was not synced is gone, but a part
// of it may have reached the disk without anyone having been told.
func (n *Node) Crash() {
	if !n.up {
		return
	}
	w := n.world
	w.Note("%s crashes with %d writes under way", n.Name, len(n.disk.queue))
	if count := len(n.disk.queue); count > 0 {
		n.persist(n.disk.queue[:w.Chance.Intn(count+1)])
	}
	n.up, n.ill = false, w.Now
	n.era++
	n.disk.queue, n.disk.busy, n.disk.cached = nil, false, nil
	told := n.crashed
	n.crashed = map[uint64]func(){}
	numbers := make([]uint64, 0, len(told))
	for number := range told {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		told[number]()
	}
}

// Move gives a dead node a new address: the seeds of others still name the old.
func (w *World) Move(n *Node) {
	delete(w.byPeer, n.Peer)
	n.moves++
	old := n.Peer
	n.Peer = fmt.Sprintf("10.%d.%s:1", n.moves, n.Name)
	// Who boots from now on is given the new address; who runs keeps the old.
	seeds := append([]string(nil), w.seeds...)
	for i, seed := range seeds {
		if seed == old {
			seeds[i] = n.Peer
		}
	}
	w.seeds = seeds
	w.byPeer[n.Peer] = n
	w.Note("%s moves to %s", n.Name, n.Peer)
}

// Copy makes another node whose disk is a copy of this one's, as it is now.
func (w *World) Copy(n *Node, name string) *Node {
	c := &Node{world: w, Name: name, Kind: n.Kind, Zone: n.Zone, Peer: "10.99." + name + ":1", ID: n.ID, life: n.life}
	c.disk.durable = append([]machine.Record(nil), n.disk.durable...)
	w.Nodes[name], w.byPeer[c.Peer] = c, c
	w.names = append(w.names, name)
	return c
}

// Wipe empties a dead node's disk: what boots next is a new identity.
func (n *Node) Wipe() {
	n.wipes++
	n.world.Note("%s is wiped", n.Name)
	n.disk.durable, n.disk.shelf.files = nil, nil
	n.ID = fmt.Sprintf("%s-%02d%c", n.Kind, n.indexOf(), 'a'+n.wipes%26)
	n.life = 0
}

func (n *Node) indexOf() int {
	for i, name := range n.world.Names(n.Kind) {
		if name == n.Name {
			return i + 1
		}
	}
	return 0
}

// Freeze and Thaw stop and go on with a node.
func (n *Node) Freeze() { n.frozen, n.ill = true, n.world.Now; n.world.Note("%s freezes", n.Name) }

// Thaw lets a frozen node go on with what arrived meanwhile.
func (n *Node) Thaw() {
	if !n.frozen {
		return
	}
	n.world.Note("%s thaws", n.Name)
	n.frozen, n.ill = false, n.world.Now
	parked := n.parked
	n.parked = nil
	for _, do := range parked {
		n.take(do)
	}
}

// Stall holds the disk for a span.
func (n *Node) Stall(span clock.Micros) {
	n.disk.stalled = n.world.Now + span
	n.ill = max(n.ill, n.disk.stalled)
	n.world.Note("%s: disk stalls for %d ms", n.Name, span/1000)
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

// work does what a machine wants done towards the servers, as the shell would.
func (n *Node) work(order any) {
	w := n.world
	switch o := order.(type) {
	case execution.Run:
		var output strings.Builder
		n.runs[o.Token] = w.Serve(n, o.Request, func(piece string) {
			if output.Len() == 0 {
				n.do(n.machine.Call(0, execution.Began{Token: o.Token}, w.Now))
			}
			output.WriteString(piece)
		}, func(outcome modelclient.Outcome, why string) {
			delete(n.runs, o.Token)
			n.do(n.machine.Call(0, execution.Ran{Token: o.Token, Outcome: outcome, Output: output.String(), Why: why}, w.Now))
		})
	case execution.Stop:
		if one := n.runs[o.Token]; one != nil {
			delete(n.runs, o.Token)
			one.cancel()
		}
	case serverpoll.ReadServer:
		w.read(n, o)
	}
}

// road is an edge's or a store's way to the servers; nil on a core.
func (n *Node) road() *machines.Scheduling {
	switch {
	case n.edge != nil:
		return n.edge.Scheduling
	case n.ledger != nil:
		return n.ledger.Scheduling
	}
	return nil
}

// hear notes what a daemon's office knows.
func (n *Node) hear(rumour machine.Update) {
	switch rumour.Key {
	case state.CoreKey:
		json.Unmarshal(rumour.Value, &n.core)
	case state.PlanKey:
		var version state.Version
		if json.Unmarshal(rumour.Value, &version) == nil {
			n.world.Watch.planHeard(n, version)
		}
	}
}

// Here asks a node's own machine, as its front does for a caller.
func (n *Node) Here(body any, back func(any, error)) {
	n.take(func() {
		n.number++
		n.calls[n.number] = func(a machine.Answer) { back(a.Body, a.Err) }
		n.do(n.machine.Call(n.number, body, n.world.Now))
	})
}

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for key := range m {
		out = append(out, key)
	}
	sort.Strings(out)
	return out
}
