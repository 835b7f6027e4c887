package capacitymodel

import (
	"encoding/json"
	"fmt"
	"slices"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/daemon/eventloop"
	"tuliprudder/internal/daemon/machines"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/execution"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/serverpoll"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// tickInterval is the event loop's.
const tickInterval = 15 * clock.Millisecond

// daemon is one daemon: its gossip, and its plane's machine where it has one.
type daemon struct {
	fleet                  *Fleet
	kind, id               string
	number                 int
	zone, peer             string
	zoneIndex, regionIndex int
	isFull                 bool
	incarnation            uint64
	bootedAt               clock.Micros
	generation             int
	up                     bool
	gossip                 *gossip.Node
	machine                eventloop.Machine
	core                   *controlplane.Core
	store                  *batchstore.Store
	pendingCalls           map[uint64]func(machine.Reply)
	connections            []*connection
	requestConnections     map[*daemon]*connection
	disk                   disk
	polledServers          int // servers it reads
	loadVersions           map[string]loadVersion
	pollPhase              clock.Micros // within a simulated edge's beat of readings
	configurationVersion   uint64
}

type loadVersion struct{ epoch, seq uint64 }

// disk takes what is stored in groups, a few milliseconds each.
type disk struct {
	durable []machine.Record
	archive archive
	queue   []machine.Effect
	busy    bool
}

type archive map[uint64]map[string][]byte

// Get, Held and Top are the store's view of the shelf.
func (s archive) Get(file uint64, unit string) ([]byte, error) {
	if body, ok := s[file][unit]; ok {
		return body, nil
	}
	return nil, errs.New(errs.Corrupt, "", "no %s in shelf file %d", unit, file)
}

// Files lists the files.
func (s archive) Files() []uint64 {
	var out []uint64
	for file := range s {
		out = append(out, file)
	}
	slices.Sort(out)
	return out
}

// LastFile is the last file.
func (s archive) LastFile() uint64 {
	top := uint64(0)
	for file := range s {
		top = max(top, file)
	}
	return top
}

func (d *daemon) member() membership.Member {
	return membership.Member{ID: d.id, Kind: d.kind, Zone: d.zone, Peer: d.peer, HTTP: d.peer, Incarnation: d.incarnation, Version: membership.Release}
}

// boot starts a daemon from what its disk holds. Those told are known from the
// start, so that a run need not wait for a large fleet to get acquainted.
func (d *daemon) boot(updates []machine.Update) {
	f := d.fleet
	d.generation++
	d.incarnation++
	d.up, d.bootedAt = true, f.Now
	if d.kind == membership.Edge {
		d.incarnation = uint64(f.Now)
		d.id = fmt.Sprintf("%s-%03d.%d", d.kind, d.number, d.generation)
	}
	d.pendingCalls, d.requestConnections, d.loadVersions = map[uint64]func(machine.Reply){}, map[*daemon]*connection{}, map[string]loadVersion{}
	d.configurationVersion, d.pollPhase = 0, f.randomBetween(0, 100*clock.Millisecond)
	d.gossip = gossip.New(d.member(), f.seeds, eventloop.GossipSettings(), f.rng.Int63())
	switch {
	case d.kind == membership.Core:
		settings := controlplane.Defaults()
		settings.Shards, settings.CheckConfiguration, settings.Bootstrap = int(f.Settings.Shards), config.Validate, d.generation == 1
		d.core = controlplane.New(election.CoreRef{ID: d.id, Peer: d.peer, Zone: d.zone}, d.incarnation, f.seeds, settings, d.disk.durable)
		d.machine = machines.NewCore(d.core)
	case d.kind == membership.Store:
		if d.disk.archive == nil {
			d.disk.archive = archive{}
		}
		settings := batchstore.Defaults()
		d.store = batchstore.New(batchstore.Self{ID: d.id, Zone: d.zone, Peer: d.peer, Incarnation: d.incarnation}, settings, d.disk.durable, d.disk.archive)
		d.machine = machines.NewStore(d.id, d.store, settings.MaxItems, f.rng.Int63())
	case d.isFull:
		d.machine = machines.NewEdge(d.id, machines.EdgeDefaults(), f.rng.Int63())
	}
	d.runStep(func() {
		d.applyEffects(d.gossip.Drain())
		if len(updates) > 0 {
			d.addMembers(updates)
		}
	})
	generation := d.generation
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
		f.schedule(tickInterval, tick)
	}
	f.schedule(f.randomBetween(0, tickInterval), tick)
}

// addMembers tells a daemon all at once what a fleet that has run for long knows:
// a view of six others at random, and the updates. It passes none of it on.
func (d *daemon) addMembers(updates []machine.Update) {
	f := d.fleet
	for range 6 {
		other := f.daemons[f.rng.Intn(len(f.daemons))]
		d.applyEffects(d.gossip.Do(gossip.Message{From: other.peer, Body: gossip.Gossip{}}, f.Now))
	}
	d.receiveUpdates(updates)
}

// receiveUpdates takes updates in that everybody is told at this moment, and passes none on.
func (d *daemon) receiveUpdates(updates []machine.Update) {
	f := d.fleet
	d.applyEffects(d.gossip.Do(gossip.Message{Body: gossip.Gossip{Updates: f.codec.cloneUpdates(updates)}}, f.Now))
	for _, effect := range d.gossip.Do(gossip.Tick{}, f.Now) {
		if _, sends := effect.(machine.Send); !sends {
			d.applyEffects([]machine.Effect{effect})
		}
	}
}

// crash ends a daemon; what was not synced is gone.
func (d *daemon) crash() {
	d.up = false
	d.generation++
	d.disk.queue, d.disk.busy = nil, false
	for _, l := range d.connections {
		delete(d.fleet.connections, l.connectionKey)
	}
	d.connections = nil
}

// runStep runs one of the daemon's steps under the clock, then sends what it left.
func (d *daemon) runStep(do func()) {
	was := d.fleet.chargeCPU(d)
	do()
	d.fleet.chargeCPU(was)
	d.fleet.flush()
}

func (d *daemon) deliver(from string, body any) {
	switch {
	case gossip.IsMessage(body):
		d.applyEffects(d.gossip.Do(gossip.Message{From: from, Body: body}, d.fleet.Now))
	case d.machine != nil:
		d.applyEffects(d.machine.Message(from, body, d.fleet.Now))
	}
}

func (d *daemon) call(body any, onReply func(machine.Reply)) {
	d.fleet.lastCall++
	d.pendingCalls[d.fleet.lastCall] = onReply
	d.applyEffects(d.machine.Call(d.fleet.lastCall, body, d.fleet.Now))
}

// applyEffects carries out what a machine decided, as the event loop does.
//
//revive:disable-next-line:cyclomatic one case for each type of effect
func (d *daemon) applyEffects(effects []machine.Effect) {
	f := d.fleet
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			f.send(d, e.To, e.Body)
		case machine.Persist, machine.Compact, machine.Archive, machine.DeleteArchive:
			d.disk.queue = append(d.disk.queue, effect)
			d.startSync()
		case machine.Reply:
			if onReply := d.pendingCalls[e.Call]; onReply != nil {
				delete(d.pendingCalls, e.Call)
				onReply(e)
			}
		case machine.Publish:
			d.applyEffects(d.gossip.Do(gossip.Publish{Update: e.Update}, f.Now))
		case machine.Broadcast:
			d.applyEffects(d.gossip.Do(gossip.Broadcast(e), f.Now))
		case machine.UpdateReceived:
			if e.Update.Key == state.ConfigurationKey && e.Update.Seq > d.configurationVersion {
				d.configurationVersion = e.Update.Seq
				f.configurations.versionReached(f, d, e.Update.Seq)
			}
			if d.machine != nil {
				d.applyEffects(d.machine.UpdateReceived(e.Update, f.Now))
			} else if name, ok := serverOfLoadKey(e.Update.Key); ok {
				d.loadVersions[name] = loadVersion{e.Update.Epoch, e.Update.Seq}
			}
		case machine.Freshness:
			if d.machine != nil {
				d.applyEffects(d.machine.FreshnessAdvanced(e.At, f.Now))
			}
		case machine.Request:
			generation := d.generation
			f.request(d, e.To, e.Body, e.Timeout, func(body any, err error) {
				if d.up && d.generation == generation {
					d.runStep(func() { d.applyEffects(d.machine.ReplyReceived(e.Token, body, err, f.Now)) })
				}
			})
		case machine.Execute:
			d.executeTask(e.Task)
		case machine.Halt:
			d.crash()
			return
		}
	}
}

func serverOfLoadKey(key string) (string, bool) {
	if len(key) > 5 && key[:5] == "load/" {
		return key[5:], true
	}
	return "", false
}

// startSync lets the disk write what waits: one group, one sync.
func (d *daemon) startSync() {
	if d.disk.busy || len(d.disk.queue) == 0 {
		return
	}
	f := d.fleet
	d.disk.busy = true
	group := d.disk.queue
	d.disk.queue = nil
	generation := d.generation
	f.tallyOf(d).syncs++
	f.schedule(f.randomBetween(1, 4)*clock.Millisecond, func() {
		if d.generation != generation || !d.up {
			return
		}
		d.disk.busy = false
		d.runStep(func() {
			for _, effect := range group {
				switch e := effect.(type) {
				case machine.Persist:
					d.disk.durable = append(d.disk.durable, e.Records...)
					d.applyEffects(d.machine.Persisted(e.Token, f.Now))
				case machine.Compact:
					d.disk.durable = e.Records
				case machine.Archive:
					file := map[string][]byte{}
					for _, record := range e.Records {
						file[record.Unit] = record.Body
					}
					d.disk.archive[e.File] = file
					d.applyEffects(d.machine.Persisted(e.Token, f.Now))
				case machine.DeleteArchive:
					for _, file := range e.Files {
						delete(d.disk.archive, file)
					}
				}
			}
			d.startSync()
		})
	})
}

// executeTask does what a machine wants of the servers.
func (d *daemon) executeTask(task any) {
	f := d.fleet
	generation := d.generation
	later := func(span clock.Micros, body any) {
		f.schedule(span, func() {
			if d.generation == generation && d.up {
				d.runStep(func() { d.applyEffects(d.machine.Call(0, body, f.Now)) })
			}
		})
	}
	switch o := task.(type) {
	case serverpoll.PollTask:
		if !f.polling {
			f.deferredPolls = append(f.deferredPolls, func() { d.executeTask(task) })
			return
		}
		f.tallyOf(d).polls++
		running := f.runningRequests(o.Name)
		later(f.randomBetween(500, 2500), serverpoll.PollResult{PollTask: o, Running: running, Healthy: true, StartedAt: f.Now})
	case execution.Attempt:
		span := f.randomBetween(100, 300) * clock.Millisecond
		later(span/8, execution.AttemptStarted{AttemptID: o.ID})
		later(span, execution.AttemptResult{AttemptID: o.ID, Outcome: modelclient.Complete, Output: itemOutput})
	}
}

// runningRequests is a server's figure of now.
func (f *Fleet) runningRequests(name string) int {
	var number int
	fmt.Sscanf(name, "server-%d", &number)
	if number > 0 && number <= len(f.servers) && f.servers[number-1].busy {
		return 32 + f.rng.Intn(24)
	}
	return f.rng.Intn(24)
}

// assignPolling gives the simulated edges their duties; a reader that is no longer the
// first ends, and its successor reads under a higher epoch.
func (f *Fleet) assignPolling() {
	byID := map[string]*daemon{}
	for _, d := range f.daemons {
		byID[d.id], d.polledServers = d, 0
	}
	for id, servers := range f.pollAssignments() {
		d := byID[id]
		if d == nil {
			continue
		}
		d.polledServers = len(servers)
		for _, s := range servers {
			if d.isFull || s.poller == d && s.pollerGeneration == d.generation {
				continue
			}
			s.poller, s.pollerGeneration = d, d.generation
			d.pollServer(s)
		}
	}
}

// pollServer has a simulated edge read a server as the pollers do: one figure every
// 400 ms, four times as often for a server that is at least half full.
func (d *daemon) pollServer(s *modelServer) {
	f, generation := d.fleet, d.generation
	every := machines.EdgeDefaults().PollInterval
	if s.busy {
		every /= 4
	}
	name := s.endpoint.Name
	own := loadVersion{}
	publishLoad := func() {
		if d.generation != generation || !d.up || s.poller != d {
			return
		}
		d.runStep(func() {
			if version := d.loadVersions[name]; own.epoch == 0 || version.epoch > own.epoch {
				own = loadVersion{epoch: version.epoch + 1}
			}
			own.seq++
			value, _ := json.Marshal(endpoints.Load{Running: f.runningRequests(name), Healthy: true, ReadAt: f.Now, ReadBy: d.id})
			d.applyEffects(d.gossip.Do(gossip.Publish{Update: machine.Update{Key: endpoints.LoadKey(name), Epoch: own.epoch, Seq: own.seq, Value: value}}, f.Now))
		})
	}
	var poll func()
	poll = func() {
		if d.generation != generation || !d.up || s.poller != d {
			return
		}
		f.tallyOf(d).polls++
		f.schedule(f.randomBetween(500, 2500), publishLoad)
		f.schedule(every, poll)
	}
	// An edge sends for all that is due at once, every quarter of the span.
	interval := machines.EdgeDefaults().PollInterval / 4
	f.schedule((interval-f.Now%interval+d.pollPhase)%interval, poll)
}
