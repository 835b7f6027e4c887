package capacitymodel

import (
	"encoding/json"
	"fmt"
	"slices"

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
	"tuliprudder/path/registry"
	"tuliprudder/path/serverpoll"
)

// tickEvery is the event loop's.
const tickEvery = 15 * clock.Millisecond

// daemon is one daemon: its gossip, and its plane's machine where it has one.
type daemon struct {
	fleet         *Fleet
	kind, id      string
	number        int
	zone, peer    string
	place, region int
	whole         bool
	life          uint64
	booted        clock.Micros
	era           int
	up            bool
	gossip        *gossip.Node
	machine       eventloop.Machine
	core          *control.Core
	store         *store.Store
	calls         map[uint64]func(machine.Answer)
	lines         []*line
	asks          map[*daemon]*line
	disk          disk
	duty          int // servers it reads
	model         map[string]loadMark
	phase         clock.Micros // within a simulated edge's beat of readings
	planVersion   uint64
}

type loadMark struct{ epoch, seq uint64 }

// disk takes what is stored in groups, a few milliseconds each.
type disk struct {
	durable []machine.Record
	shelf   shelf
	queue   []machine.Effect
	busy    bool
}

type shelf map[uint64]map[string][]byte

// Get, Held and Top are the store's view of the shelf.
func (s shelf) Get(file uint64, unit string) ([]byte, error) {
	if body, ok := s[file][unit]; ok {
		return body, nil
	}
	return nil, errs.New(errs.Corrupt, "", "no %s in shelf file %d", unit, file)
}

// Held lists the files.
func (s shelf) Held() []uint64 {
	var out []uint64
	for file := range s {
		out = append(out, file)
	}
	slices.Sort(out)
	return out
}

// Top is the last file.
func (s shelf) Top() uint64 {
	top := uint64(0)
	for file := range s {
		top = max(top, file)
	}
	return top
}

func (d *daemon) person() identity.Member {
	return identity.Member{ID: d.id, Kind: d.kind, Zone: d.zone, Peer: d.peer, HTTP: d.peer, Incarnation: d.life, Version: identity.Release}
}

// boot starts a daemon from what its disk holds. Those told are known from the
// start, so that a run need not wait for a large fleet to get acquainted.
func (d *daemon) boot(told []machine.Update) {
	f := d.fleet
	d.era++
	d.life++
	d.up, d.booted = true, f.Now
	if d.kind == identity.Edge {
		d.life = uint64(f.Now)
		d.id = fmt.Sprintf("%s-%03d.%d", d.kind, d.number, d.era)
	}
	d.calls, d.asks, d.model = map[uint64]func(machine.Answer){}, map[*daemon]*line{}, map[string]loadMark{}
	d.planVersion, d.phase = 0, f.between(0, 100*clock.Millisecond)
	d.gossip = gossip.New(d.person(), f.seeds, gossip.Defaults(), f.chance.Int63())
	switch {
	case d.kind == identity.Core:
		set := control.Defaults()
		set.Slots, set.CheckPlan, set.Bootstrap = int(f.Set.Slots), config.Check, d.era == 1
		d.core = control.New(control.CoreRef{ID: d.id, Peer: d.peer, Zone: d.zone}, d.life, f.seeds, set, d.disk.durable)
		d.machine = machines.NewCore(d.core)
	case d.kind == identity.Store:
		if d.disk.shelf == nil {
			d.disk.shelf = shelf{}
		}
		set := store.Defaults()
		d.store = store.New(store.Self{ID: d.id, Zone: d.zone, Peer: d.peer, Life: d.life}, set, d.disk.durable, d.disk.shelf)
		d.machine = machines.NewStore(d.id, d.store, set.MostItems, f.chance.Int63())
	case d.whole:
		d.machine = machines.NewEdge(d.id, machines.EdgeDefaults(), f.chance.Int63())
	}
	d.step(func() {
		d.do(d.gossip.Drain())
		if len(told) > 0 {
			d.addMembers(told)
		}
	})
	era := d.era
	var tick func()
	tick = func() {
		if d.era != era || !d.up {
			return
		}
		d.step(func() {
			d.do(d.gossip.Do(gossip.ClockEvent{}, f.Now))
			if d.machine != nil {
				d.do(d.machine.ClockEvent(f.Now))
			}
		})
		f.after(tickEvery, tick)
	}
	f.after(f.between(0, tickEvery), tick)
}

// addMembers tells a daemon all at once what a fleet that has run for long knows:
// a view of six others at random, and the updates. It passes none of it on.
func (d *daemon) addMembers(told []machine.Update) {
	f := d.fleet
	for range 6 {
		other := f.daemons[f.chance.Intn(len(f.daemons))]
		d.do(d.gossip.Do(gossip.Message{From: other.peer, Body: gossip.Gossip{}}, f.Now))
	}
	d.learn(told)
}

// learn takes updates in that everybody is told at this moment, and passes none on.
func (d *daemon) learn(told []machine.Update) {
	f := d.fleet
	d.do(d.gossip.Do(gossip.Message{Body: gossip.Gossip{Updates: f.codec.copied(told)}}, f.Now))
	for _, effect := range d.gossip.Do(gossip.ClockEvent{}, f.Now) {
		if _, sends := effect.(machine.Send); !sends {
			d.do([]machine.Effect{effect})
		}
	}
}

// crash ends a daemon; what was not synced is gone.
func (d *daemon) crash() {
	d.up = false
	d.era++
	d.disk.queue, d.disk.busy = nil, false
	for _, l := range d.lines {
		delete(d.fleet.lines, l.lineKey)
	}
	d.lines = nil
}

// step runs one of the daemon's steps under the clock, then sends what it left.
func (d *daemon) step(do func()) {
	was := d.fleet.charge(d)
	do()
	d.fleet.charge(was)
	d.fleet.flush()
}

func (d *daemon) message(from string, body any) {
	switch body.(type) {
	case gossip.Gossip, gossip.Digest, gossip.DigestReply, gossip.FetchUpdates, gossip.Announcement, gossip.Probe, gossip.ProbeReply, gossip.IndirectProbe, gossip.IndirectResult, gossip.Shuffle, gossip.PushUpdate, gossip.PushAck:
		d.do(d.gossip.Do(gossip.Message{From: from, Body: body}, d.fleet.Now))
	default:
		if d.machine != nil {
			d.do(d.machine.Message(from, body, d.fleet.Now))
		}
	}
}

func (d *daemon) call(body any, back func(machine.Answer)) {
	d.fleet.calls++
	d.calls[d.fleet.calls] = back
	d.do(d.machine.Call(d.fleet.calls, body, d.fleet.Now))
}

// do carries out what a machine decided, as the event loop does.
//
//revive:disable-next-line:cyclomatic one case for each type of effect
func (d *daemon) do(effects []machine.Effect) {
	f := d.fleet
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			f.send(d, e.To, e.Body)
		case machine.Store, machine.Fold, machine.Shelve, machine.Unshelve:
			d.disk.queue = append(d.disk.queue, effect)
			d.spin()
		case machine.Answer:
			if back := d.calls[e.Call]; back != nil {
				delete(d.calls, e.Call)
				back(e)
			}
		case machine.Publish:
			d.do(d.gossip.Do(gossip.Publish{Update: e.Update}, f.Now))
		case machine.Broadcast:
			d.do(d.gossip.Do(gossip.Broadcast(e), f.Now))
		case machine.Heard:
			if e.Update.Key == state.PlanKey && e.Update.Seq > d.planVersion {
				d.planVersion = e.Update.Seq
				f.plan.heard(f, d, e.Update.Seq)
			}
			if d.machine != nil {
				d.do(d.machine.Heard(e.Update, f.Now))
			} else if name, ok := loadOf(e.Update.Key); ok {
				d.model[name] = loadMark{e.Update.Epoch, e.Update.Seq}
			}
		case machine.Fresh:
			if d.machine != nil {
				d.do(d.machine.Fresh(e.At, f.Now))
			}
		case machine.Ask:
			era := d.era
			f.ask(d, e.To, e.Body, e.Expiry, func(body any, err error) {
				if d.up && d.era == era {
					d.step(func() { d.do(d.machine.Answered(e.Token, body, err, f.Now)) })
				}
			})
		case machine.Work:
			d.work(e.Order)
		case machine.Halt:
			d.crash()
			return
		}
	}
}

func loadOf(key string) (string, bool) {
	if len(key) > 5 && key[:5] == "load/" {
		return key[5:], true
	}
	return "", false
}

// spin lets the disk write what waits: one group, one sync.
func (d *daemon) spin() {
	if d.disk.busy || len(d.disk.queue) == 0 {
		return
	}
	f := d.fleet
	d.disk.busy = true
	group := d.disk.queue
	d.disk.queue = nil
	era := d.era
	f.count(d).syncs++
	f.after(f.between(1, 4)*clock.Millisecond, func() {
		if d.era != era || !d.up {
			return
		}
		d.disk.busy = false
		d.step(func() {
			for _, effect := range group {
				switch e := effect.(type) {
				case machine.Store:
					d.disk.durable = append(d.disk.durable, e.Records...)
					d.do(d.machine.Stored(e.Token, f.Now))
				case machine.Fold:
					d.disk.durable = e.Records
				case machine.Shelve:
					file := map[string][]byte{}
					for _, record := range e.Records {
						file[record.Unit] = record.Body
					}
					d.disk.shelf[e.File] = file
					d.do(d.machine.Stored(e.Token, f.Now))
				case machine.Unshelve:
					for _, file := range e.Files {
						delete(d.disk.shelf, file)
					}
				}
			}
			d.spin()
		})
	})
}

// work does what a machine wants of the servers.
func (d *daemon) work(order any) {
	f := d.fleet
	era := d.era
	later := func(span clock.Micros, body any) {
		f.after(span, func() {
			if d.era == era && d.up {
				d.step(func() { d.do(d.machine.Call(0, body, f.Now)) })
			}
		})
	}
	switch o := order.(type) {
	case serverpoll.ReadServer:
		if !f.served {
			f.held = append(f.held, func() { d.work(order) })
			return
		}
		f.count(d).looks++
		running := f.running(o.Name)
		later(f.between(500, 2500), serverpoll.ServerReading{ReadServer: o, Running: running, Sound: true, Began: f.Now})
	case execution.Run:
		span := f.between(100, 300) * clock.Millisecond
		later(span/8, execution.Began{Token: o.Token})
		later(span, execution.Ran{Token: o.Token, Outcome: modelclient.Complete, Output: itemOutput})
	}
}

// running is a server's figure of now.
func (f *Fleet) running(name string) int {
	var number int
	fmt.Sscanf(name, "server-%d", &number)
	if number > 0 && number <= len(f.servers) && f.servers[number-1].busy {
		return 32 + f.chance.Intn(24)
	}
	return f.chance.Intn(24)
}

// assign gives the simulated edges their duties; a reader that is no longer the
// first ends, and its successor reads under a higher epoch.
func (f *Fleet) assign() {
	byID := map[string]*daemon{}
	for _, d := range f.daemons {
		byID[d.id], d.duty = d, 0
	}
	for id, servers := range f.duties() {
		d := byID[id]
		if d == nil {
			continue
		}
		d.duty = len(servers)
		for _, s := range servers {
			if d.whole || s.reader == d && s.era == d.era {
				continue
			}
			s.reader, s.era = d, d.era
			d.read(s)
		}
	}
}

// read has a simulated edge read a server as the pollers do: one figure every
// 400 ms, four times as often for a server that is at least half full.
func (d *daemon) read(s *modelServer) {
	f, era := d.fleet, d.era
	every := machines.EdgeDefaults().PollEvery
	if s.busy {
		every /= 4
	}
	name := s.word.Name
	own := loadMark{}
	tell := func() {
		if d.era != era || !d.up || s.reader != d {
			return
		}
		d.step(func() {
			if mark := d.model[name]; own.epoch == 0 || mark.epoch > own.epoch {
				own = loadMark{epoch: mark.epoch + 1}
			}
			own.seq++
			value, _ := json.Marshal(registry.Load{Running: f.running(name), Sound: true, At: f.Now, By: d.id})
			d.do(d.gossip.Do(gossip.Publish{Update: machine.Update{Key: registry.LoadKey(name), Epoch: own.epoch, Seq: own.seq, Value: value}}, f.Now))
		})
	}
	var once func()
	once = func() {
		if d.era != era || !d.up || s.reader != d {
			return
		}
		f.count(d).looks++
		f.after(f.between(500, 2500), tell)
		f.after(every, once)
	}
	// An edge sends for all that is due at once, every quarter of the span.
	beat := machines.EdgeDefaults().PollEvery / 4
	f.after((beat-f.Now%beat+d.phase)%beat, once)
}
