package simulator

import (
	"encoding/json"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
)

// Node is one daemon: its machine with the shell that carries out the machine's effects.
type Node struct {
	world *World
	Name  string
	Kind  string // membership.Core, Store or Edge
	Zone  string
	Peer  string // address
	ID    string // changes when the disk is wiped; an edge's at every boot

	incarnation uint64
	gossip      *gossip.Node
	machine     eventloop.Machine
	// What the machine consists of by kind; nil for the other kinds.
	Store     *batchstore.Store
	Core      *controlplane.Core
	edge      *machines.Edge
	scheduled *machines.Store // a store with its scheduling

	disk        disk
	serverCalls map[uint64]*serverCall         // items on servers, by attempt
	calls       map[uint64]func(machine.Reply) // of the machine that await a reply, by number
	lastCall    uint64
	crashHooks  map[uint64]func() // run when the node crashes

	// Latest updates that the daemon received.
	coreUpdate           state.CoreUpdate
	configurationVersion uint64

	up               bool
	frozen           bool
	deferred         []func()     // arrived while frozen
	generation       int          // raised at every boot and crash: what was under way is lost
	blockedLinkCount int          // links of it that are blocked now
	lastFaultAt      clock.Micros // when it was last down, frozen or partitioned
	wipeCount        int
	moveCount        int
	HaltError        error // why the machine ended itself; nil: it did not
}

// maxDeferred bounds what a frozen node keeps; the operating system's buffers are finite too.
const maxDeferred = 4096

// healthySince says whether a node has had no fault since a time.
func (n *Node) healthySince(since clock.Micros) bool {
	return n.up && !n.frozen && n.blockedLinkCount == 0 && n.lastFaultAt < since
}

// onCrash adds a hook that runs when the node crashes, until it is removed.
func (n *Node) onCrash(callback func()) (removeCrashHook func()) {
	n.world.lastNumber++
	number := n.world.lastNumber
	n.crashHooks[number] = callback
	return func() { delete(n.crashHooks, number) }
}

// runOrDefer runs what arrived, or keeps it while the node is frozen. A node that is down
// loses it.
func (n *Node) runOrDefer(do func()) {
	if !n.up {
		return
	}
	if n.frozen {
		if len(n.deferred) < maxDeferred {
			n.deferred = append(n.deferred, do)
		}
		return
	}
	do()
}

// scheduling is an edge's or a store's path to the servers; nil on a core.
func (n *Node) scheduling() *machines.Scheduling {
	switch {
	case n.edge != nil:
		return n.edge.Scheduling
	case n.scheduled != nil:
		return n.scheduled.Scheduling
	}
	return nil
}

// recordUpdate records an update that the daemon received.
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

// CallLocal calls a node's own machine, as its front end does for a caller.
func (n *Node) CallLocal(body any, callback func(any, error)) {
	n.runOrDefer(func() {
		n.lastCall++
		n.calls[n.lastCall] = func(a machine.Reply) { callback(a.Body, a.Err) }
		n.execute(n.machine.Call(n.lastCall, body, n.world.Now))
	})
}
