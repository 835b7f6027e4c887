package simulator

import (
	"encoding/json"
	"fmt"
	"strings"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/serverpoll"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// Node is one daemon.
type Node struct {
	world                *World
	Name                 string
	Kind                 string
	Zone                 string
	Peer                 string
	ID                   string
	incarnation          uint64
	gossip               *gossip.Node
	machine              eventloop.Machine
	Store                *batchstore.Store
	Core                 *controlplane.Core
	edge                 *machines.Edge
	ledger               *machines.Store
	serverCalls          map[uint64]*serverCall // items on servers, by token
	crashHooks           map[uint64]func()      // told when the node crashes
	coreUpdate           state.CoreUpdate       // as heard last
	configurationVersion uint64                 // the same
	cutLinkCount         int                    // links of it that are cut now
	lastFaultAt          clock.Micros           // when it was last down, frozen or cut
	up                   bool
	frozen               bool
	generation           int // raised at every crash: what was under way is gone
	disk                 disk
	deferred             []func() // arrived while frozen
	calls                map[uint64]func(machine.Reply)
	lastCall             uint64
	HaltError            error
	wipeCount            int
	moveCount            int
}

// healthySince tells whether a node has had nothing done to it since a time.
func (n *Node) healthySince(since clock.Micros) bool {
	return n.up && !n.frozen && n.cutLinkCount == 0 && n.lastFaultAt < since
}

// onCrash adds someone to be told when the node crashes, until it is forgotten.
func (n *Node) onCrash(callback func()) (removeCrashHook func()) {
	n.world.lastSeq++
	number := n.world.lastSeq
	n.crashHooks[number] = callback
	return func() { delete(n.crashHooks, number) }
}

// runOrDefer runs what arrived, or parks it while the node is frozen.
func (n *Node) runOrDefer(do func()) {
	if !n.up {
		return
	}
	if n.frozen {
		if len(n.deferred) < 4096 {
			n.deferred = append(n.deferred, do)
		}
		return
	}
	do()
}

// Boot starts a node from what its disk holds.
func (n *Node) Boot(shards int) {
	w := n.world
	n.generation++
	n.incarnation++
	n.up, n.frozen, n.deferred = true, false, nil
	n.calls, n.serverCalls, n.crashHooks, n.lastFaultAt = map[uint64]func(machine.Reply){}, map[uint64]*serverCall{}, map[uint64]func(){}, w.Now
	n.coreUpdate, n.configurationVersion, n.ledger = state.CoreUpdate{}, 0, nil
	n.disk.queue, n.disk.syncing = nil, false
	incarnation := n.incarnation
	if n.Kind == membership.Edge {
		incarnation = uint64(w.Now)
		n.ID = fmt.Sprintf("%s.%d", n.Name, n.generation)
	}
	self := membership.Member{ID: n.ID, Kind: n.Kind, Zone: n.Zone, Peer: n.Peer, Incarnation: incarnation, Version: membership.Release}
	n.gossip = gossip.New(self, w.seeds, eventloop.GossipSettings(), w.Random.Int63())
	n.machine, n.Store, n.Core, n.edge = nil, nil, nil, nil
	switch n.Kind {
	case membership.Core:
		settings := controlplane.Defaults()
		settings.Shards, settings.Founders, settings.CheckConfiguration = shards, w.Shape.Cores, config.Validate
		settings.Tolerance, settings.Bootstrap = w.Shape.tolerance(), n.generation == 1
		n.Core = controlplane.New(election.CoreRef{ID: n.ID, Peer: n.Peer, Zone: n.Zone}, incarnation, w.seeds, settings, n.disk.durable)
		n.machine = machines.NewCore(n.Core)
	case membership.Store:
		settings := batchstore.Defaults()
		if n.disk.archive.files == nil {
			n.disk.archive.files = map[uint64]map[string][]byte{}
		}
		settings.CompactAfter = 300
		n.Store = batchstore.New(batchstore.Self{ID: n.ID, Zone: n.Zone, Peer: n.Peer, Incarnation: incarnation}, settings, n.disk.durable, &n.disk.archive)
		n.Store.OnDamage = func(err error) { w.Workload.reportViolation(batchKept, "%s: %v", n.Name, err) }
		n.ledger = machines.NewStore(n.ID, n.Store, settings.MaxItems, w.Random.Int63())
		n.machine = n.ledger
	case membership.Edge:
		n.edge = machines.NewEdge(n.ID, machines.EdgeDefaults(), w.Random.Int63())
		n.machine = n.edge
	}
	if w.InjectBug != nil {
		w.InjectBug(n)
	}
	w.Tracef("%s boots as %s life %d with %d records", n.Name, n.ID, incarnation, len(n.disk.durable))
	generation := n.generation
	n.execute(n.gossip.Drain())
	var tick func()
	tick = func() {
		if n.generation != generation {
			return
		}
		n.runOrDefer(func() {
			n.execute(n.gossip.Do(gossip.Tick{}, w.Now))
			if n.machine != nil {
				n.execute(n.machine.Tick(w.Now))
			}
		})
		w.After(20*clock.Millisecond, tick)
	}
	w.After(w.randomBetween(0, 20*clock.Millisecond), tick)
}

// execute carries out what a machine decided.
//
//revive:disable-next-line:cyclomatic one case for each type of effect
func (n *Node) execute(effects []machine.Effect) {
	w := n.world
	for _, effect := range effects {
		if w.OnEffect != nil {
			w.OnEffect(n, effect)
		}
		switch e := effect.(type) {
		case machine.Send:
			to := w.nodeByPeer[e.To]
			body := e.Body
			w.transmit(n, to, body, func() { to.receive(n.Peer, body) })
		case machine.Persist:
			n.disk.queue = append(n.disk.queue, write{records: e.Records, token: e.Token})
			n.syncNext()
		case machine.Compact:
			n.disk.queue = append(n.disk.queue, write{records: e.Records, compact: true})
			n.syncNext()
		case machine.Archive:
			n.disk.queue = append(n.disk.queue, write{records: e.Records, token: e.Token, archiveFile: e.File})
			n.syncNext()
		case machine.DeleteArchive:
			n.disk.queue = append(n.disk.queue, write{deleteFiles: e.Files})
			n.syncNext()
		case machine.Reply:
			if callback := n.calls[e.Call]; callback != nil {
				delete(n.calls, e.Call)
				callback(e)
			}
		case machine.Publish:
			n.execute(n.gossip.Do(gossip.Publish{Update: e.Update}, w.Now))
		case machine.UpdateReceived:
			n.recordUpdate(e.Update)
			if n.machine != nil {
				n.execute(n.machine.UpdateReceived(e.Update, w.Now))
			}
		case machine.Broadcast:
			n.execute(n.gossip.Do(gossip.Broadcast(e), w.Now))
		case machine.Freshness:
			if n.machine != nil {
				n.execute(n.machine.FreshnessAdvanced(e.At, w.Now))
			}
		case machine.Request:
			generation := n.generation
			w.Call(n, e.To, e.Body, e.Timeout, func(body any, err error) {
				n.runOrDefer(func() {
					if n.generation == generation {
						n.execute(n.machine.ReplyReceived(e.Token, body, err, w.Now))
					}
				})
			})
		case machine.LogEvent:
			w.Tracef("%s: %s %+v", n.Name, e.Event.EventName(), e.Event)
		case machine.Halt:
			w.Tracef("%s halts: %v", n.Name, e.Err)
			n.HaltError = e.Err
			n.Crash()
			return
		case machine.Execute:
			n.executeTask(e.Task)
		}
	}
}

func (n *Node) receive(from string, body any) {
	switch {
	case gossip.IsMessage(body):
		n.execute(n.gossip.Do(gossip.Message{From: from, Body: body}, n.world.Now))
	case n.machine != nil:
		n.execute(n.machine.Message(from, body, n.world.Now))
	}
}

// executeTask does what a machine wants done towards the servers, as the shell would.
func (n *Node) executeTask(task any) {
	w := n.world
	switch t := task.(type) {
	case execution.Attempt:
		if t.ForwardedItem != nil {
			n.forwardItem(t)
			return
		}
		var output strings.Builder
		n.serverCalls[t.ID] = w.CallServer(n, t.Request, func(chunk string) {
			if output.Len() == 0 {
				n.execute(n.machine.Call(0, execution.AttemptStarted{AttemptID: t.ID}, w.Now))
			}
			output.WriteString(chunk)
		}, func(outcome modelclient.Outcome, reason string) {
			delete(n.serverCalls, t.ID)
			n.execute(n.machine.Call(0, execution.AttemptResult{AttemptID: t.ID, Outcome: outcome, Output: output.String(), Reason: reason}, w.Now))
		})
	case execution.CancelAttempt:
		if call := n.serverCalls[t.AttemptID]; call != nil {
			delete(n.serverCalls, t.AttemptID)
			call.cancel()
		}
	case serverpoll.PollTask:
		w.pollServer(n, t)
	}
}

// scheduling is an edge's or a store's way to the servers; nil on a core.
func (n *Node) scheduling() *machines.Scheduling {
	switch {
	case n.edge != nil:
		return n.edge.Scheduling
	case n.ledger != nil:
		return n.ledger.Scheduling
	}
	return nil
}

// recordUpdate notes what a daemon's office knows.
func (n *Node) recordUpdate(update machine.Update) {
	switch update.Key {
	case state.CoreKey:
		json.Unmarshal(update.Value, &n.coreUpdate)
	case state.ConfigurationKey:
		var version state.Version
		if json.Unmarshal(update.Value, &version) == nil {
			n.world.Workload.configurationReceived(n, version)
		}
	}
}

// CallLocal asks a node's own machine, as its front does for a caller.
func (n *Node) CallLocal(body any, callback func(any, error)) {
	n.runOrDefer(func() {
		n.lastCall++
		n.calls[n.lastCall] = func(a machine.Reply) { callback(a.Body, a.Err) }
		n.execute(n.machine.Call(n.lastCall, body, n.world.Now))
	})
}
