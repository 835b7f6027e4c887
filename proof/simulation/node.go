package simulation

import (
	"encoding/json"
	"fmt"
	"strings"

	"tuliprudder/core/config"
	"tuliprudder/core/control"
	"tuliprudder/core/state"
	"tuliprudder/daemon/eventloop"
	"tuliprudder/daemon/machines"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/machine"
	"tuliprudder/ledger/store"
	"tuliprudder/membership/gossip"
	"tuliprudder/membership/identity"
	"tuliprudder/path/execution"
	"tuliprudder/path/modelclient"
	"tuliprudder/path/serverpoll"
)

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
	Store   *store.Store
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
	n.machine, n.Store, n.Core, n.edge = nil, nil, nil, nil
	switch n.Kind {
	case identity.Core:
		set := control.Defaults()
		set.Slots, set.Founders, set.CheckPlan = slots, w.Size.Cores, config.Check
		set.Tolerance, set.Bootstrap = w.Size.tolerance(), n.era == 1
		n.Core = control.New(control.CoreRef{ID: n.ID, Peer: n.Peer, Zone: n.Zone}, life, w.seeds, set, n.disk.durable)
		n.machine = machines.NewCore(n.Core)
	case identity.Store:
		set := store.Defaults()
		if n.disk.shelf.files == nil {
			n.disk.shelf.files = map[uint64]map[string][]byte{}
		}
		set.FoldAfter = 300
		n.Store = store.New(store.Self{ID: n.ID, Zone: n.Zone, Peer: n.Peer, Life: life}, set, n.disk.durable, &n.disk.shelf)
		n.Store.Damaged = func(err error) { w.Watch.breach(kept, "%s: %v", n.Name, err) }
		n.ledger = machines.NewStore(n.ID, n.Store, set.MostItems, w.Chance.Int63())
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
//
//revive:disable-next-line:cyclomatic one case for each type of effect
func (n *Node) do(effects []machine.Effect) {
	w := n.world
	for _, effect := range effects {
		if w.OnEffect != nil {
			w.OnEffect(n, effect)
		}
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

// work does what a machine wants done towards the servers, as the shell would.
func (n *Node) work(order any) {
	w := n.world
	switch o := order.(type) {
	case execution.Run:
		if o.Forward != nil {
			n.passItem(o)
			return
		}
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
