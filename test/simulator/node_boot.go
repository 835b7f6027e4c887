package simulator

import (
	"fmt"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/test/memstorage"
)

const (
	// nodeTickInterval is the time between two ticks of a node.
	nodeTickInterval = 20 * clock.Millisecond
	// compactAfter is low, so that stores compact within a run.
	compactAfter = 300
)

// Boot starts a node from what its disk holds.
func (n *Node) Boot(shards int) {
	w := n.world
	n.resetProcess()
	incarnation := n.incarnation
	if n.Kind == membership.Edge { // it has no disk: its clock gives its incarnation
		incarnation = uint64(w.Now)
		n.ID = fmt.Sprintf("%s.%d", n.Name, n.generation)
	}
	self := membership.Member{ID: n.ID, Kind: n.Kind, Name: n.Name, Zone: n.Zone, Peer: n.Peer, Incarnation: incarnation, Version: membership.ProtocolVersion}
	n.gossip = gossip.New(self, w.seeds, eventloop.GossipSettings(), w.Random.Int63())
	switch n.Kind {
	case membership.Core:
		n.bootCore(shards, incarnation)
	case membership.Store:
		n.bootStore(incarnation)
	case membership.Edge:
		settings := machines.EdgeDefaults()
		if w.Outside != nil {
			settings.Usage.Interval = actInterval
		}
		n.edge = machines.NewEdge(n.ID, settings, w.Random.Int63())
		if w.Outside != nil {
			w.Outside.usage.observe(n)
		}
		n.machine = n.edge
	}
	if w.InjectBug != nil {
		w.InjectBug(n)
	}
	w.Tracef("%s boots as %s incarnation %d with %d records", n.Name, n.ID, incarnation, len(n.disk.durable))
	n.execute(n.gossip.Drain())
	n.startTicking()
}

// resetProcess clears all that a process has in memory.
func (n *Node) resetProcess() {
	n.generation++
	n.incarnation++
	n.up, n.frozen, n.deferred = true, false, nil
	n.calls = map[uint64]func(machine.Reply){}
	n.serverCalls = map[uint64]*serverCall{}
	n.crashHooks = map[uint64]func(){}
	n.lastFaultAt = n.world.Now
	n.coreUpdate, n.configurationVersion = state.CoreUpdate{}, 0
	n.disk.queue, n.disk.syncing = nil, false
	n.machine, n.Store, n.Core, n.edge, n.scheduled = nil, nil, nil, nil, nil
}

func (n *Node) bootCore(shards int, incarnation uint64) {
	w := n.world
	settings := controlplane.Defaults()
	settings.Shards = shards
	settings.Founders = w.Shape.Cores
	settings.CheckConfiguration = config.Validate
	settings.Tolerance = w.Shape.tolerance()
	settings.Bootstrap = n.generation == 1
	if w.Outside != nil {
		settings.Usage = usage.Settings{Interval: actInterval, Delay: usageDelay}
	}
	n.Core = controlplane.New(election.CoreRef{ID: n.ID, Peer: n.Peer, Zone: n.Zone}, incarnation, w.seeds, settings, n.disk.durable)
	coreMachine := machines.NewCore(n.Core)
	if w.Outside != nil {
		w.Outside.enable(n, coreMachine, incarnation)
	}
	n.machine = coreMachine
}

func (n *Node) bootStore(incarnation uint64) {
	w := n.world
	settings := batchstore.Defaults()
	settings.CompactAfter = compactAfter
	if n.disk.archive == nil {
		n.disk.archive = memstorage.Archive{}
	}
	n.Store = batchstore.New(batchstore.Self{ID: n.ID, Name: n.Name, Zone: n.Zone, Peer: n.Peer, Incarnation: incarnation}, settings, n.disk.durable, n.disk.archive)
	n.Store.OnDamage = func(err error) { w.Workload.reportViolation(batchKept, "%s: %v", n.Name, err) }
	n.scheduled = machines.NewStore(n.ID, n.Store, settings.MaxItems, w.Random.Int63())
	n.machine = n.scheduled
}

// startTicking has the gossip and the machine tick until the process ends.
func (n *Node) startTicking() {
	w, generation := n.world, n.generation
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
		w.After(nodeTickInterval, tick)
	}
	w.After(w.randomBetween(0, nodeTickInterval), tick)
}
