package capacitymodel

import (
	"fmt"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/test/memstorage"
)

// tickInterval is the event loop's time between two ticks.
const tickInterval = 15 * clock.Millisecond

// daemon is one daemon: its gossip, and the machine of its role where it has one.
type daemon struct {
	fleet                  *Fleet
	kind, id               string
	number                 int // among those of its kind, from 1
	zone, peer             string
	zoneIndex, regionIndex int
	isFull                 bool // it has its role's machine; a simulated edge has none
	incarnation            uint64
	bootedAt               clock.Micros
	generation             int // counts its boots and crashes
	up                     bool

	gossip  *gossip.Node
	machine eventloop.Machine // nil in a simulated edge
	core    *controlplane.Core
	store   *batchstore.Store
	disk    disk

	pendingCalls         map[uint64]func(machine.Reply) // by number
	connections          []*connection                  // for messages
	requestConnections   map[*daemon]*connection
	configurationVersion uint64 // in force

	polledServers int                    // servers that it polls
	loadVersions  map[string]loadVersion // latest of each server; of a simulated edge
	pollPhase     clock.Micros           // of a simulated edge, within its poll interval
}

// loadVersion is the version of an update of a server's load.
type loadVersion struct{ epoch, seq uint64 }

func (d *daemon) member() membership.Member {
	return membership.Member{ID: d.id, Kind: d.kind, Zone: d.zone, Peer: d.peer, HTTP: d.peer, Incarnation: d.incarnation, Version: membership.ProtocolVersion}
}

// boot starts a daemon from what its disk holds. It has the updates from the start, so that a
// run need not wait until a large fleet has exchanged them.
func (d *daemon) boot(updates []machine.Update) {
	f := d.fleet
	d.resetProcess()
	d.gossip = gossip.New(d.member(), f.seeds, eventloop.GossipSettings(), f.rng.Int63())
	switch {
	case d.kind == membership.Core:
		d.bootCore()
	case d.kind == membership.Store:
		d.bootStore()
	case d.isFull:
		d.machine = machines.NewEdge(d.id, machines.EdgeDefaults(), f.rng.Int63())
	}
	d.runStep(func() {
		d.applyEffects(d.gossip.Drain())
		if len(updates) > 0 {
			d.addMembers(updates)
		}
	})
	d.startTicking()
}

// resetProcess clears what a process has in memory, and gives it its incarnation.
func (d *daemon) resetProcess() {
	f := d.fleet
	d.generation++
	d.incarnation++
	if d.kind == membership.Edge {
		d.incarnation = uint64(f.Now)
		d.id = fmt.Sprintf("%s-%03d.%d", d.kind, d.number, d.generation)
	}
	d.up = true
	d.bootedAt = f.Now
	d.pendingCalls = map[uint64]func(machine.Reply){}
	d.requestConnections = map[*daemon]*connection{}
	d.loadVersions = map[string]loadVersion{}
	d.configurationVersion = 0
	d.pollPhase = f.randomBetween(0, 100*clock.Millisecond)
}

func (d *daemon) bootCore() {
	f := d.fleet
	settings := controlplane.Defaults()
	settings.Shards = int(f.Settings.Shards)
	settings.CheckConfiguration = config.Validate
	settings.Bootstrap = d.generation == 1
	d.core = controlplane.New(election.CoreRef{ID: d.id, Peer: d.peer, Zone: d.zone}, d.incarnation, f.seeds, settings, d.disk.durable)
	d.machine = machines.NewCore(d.core)
}

func (d *daemon) bootStore() {
	if d.disk.archive == nil {
		d.disk.archive = memstorage.Archive{}
	}
	settings := batchstore.Defaults()
	self := batchstore.Self{ID: d.id, Zone: d.zone, Peer: d.peer, Incarnation: d.incarnation}
	d.store = batchstore.New(self, settings, d.disk.durable, d.disk.archive)
	d.machine = machines.NewStore(d.id, d.store, settings.MaxItems, d.fleet.rng.Int63())
}

// startTicking has the gossip and the machine tick until the process ends.
func (d *daemon) startTicking() {
	f, generation := d.fleet, d.generation
	var tick func()
	tick = func() {
		if d.generation != generation || !d.up {
			return
		}
		d.runStep(func() {
			d.applyEffects(d.gossip.Do(gossip.Tick{}, f.Now))
			if d.machine != nil {
				d.applyEffects(d.machine.Tick(f.Now))
			}
		})
		f.After(tickInterval, tick)
	}
	f.After(f.randomBetween(0, tickInterval), tick)
}

// initialPeers is how many peers a daemon knows from the start.
const initialPeers = 6

// addMembers gives a daemon at once what the daemons of a fleet that has run for long know:
// a partial view of peers at random, and the updates. It forwards none of it.
func (d *daemon) addMembers(updates []machine.Update) {
	f := d.fleet
	for range initialPeers {
		other := f.daemons[f.rng.Intn(len(f.daemons))]
		d.applyEffects(d.gossip.Do(gossip.Message{From: other.peer, Body: gossip.Gossip{}}, f.Now))
	}
	d.receiveUpdates(updates)
}

// receiveUpdates takes updates that all daemons receive at this moment, and forwards none.
func (d *daemon) receiveUpdates(updates []machine.Update) {
	f := d.fleet
	d.applyEffects(d.gossip.Do(gossip.Message{Body: gossip.Gossip{Updates: f.codec.cloneUpdates(updates)}}, f.Now))
	for _, effect := range d.gossip.Do(gossip.Tick{}, f.Now) {
		if _, sends := effect.(machine.Send); !sends {
			d.applyEffects([]machine.Effect{effect})
		}
	}
}

// crash ends a daemon; what was not synced is lost.
func (d *daemon) crash() {
	d.up = false
	d.generation++
	d.disk.queue, d.disk.busy = nil, false
	for _, l := range d.connections {
		delete(d.fleet.connections, l.connectionKey)
	}
	d.connections = nil
}

// runStep runs one step of the daemon, charges its processor time to it, and sends what the
// step queued.
func (d *daemon) runStep(do func()) {
	was := d.fleet.chargeCPU(d)
	do()
	d.fleet.chargeCPU(was)
	d.fleet.flush()
}
