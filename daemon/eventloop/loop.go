// Package eventloop runs a daemon's state machines (DESIGN §2): it has the threads,
// bounded rings, net/rpc and the disk, feeds the machines and executes their effects.
// It decides nothing.
package eventloop

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"tuliprudder/kernel/cleanup"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
	"tuliprudder/kernel/ring"
	"tuliprudder/kernel/services"
	"tuliprudder/kernel/storage"
	"tuliprudder/kernel/transport"
	"tuliprudder/membership/gossip"
	"tuliprudder/membership/identity"
)

// Machine is what the event loop needs of the machine of a daemon's plane.
type Machine interface {
	Message(from string, body any, now clock.Micros) []machine.Effect
	Stored(token uint64, now clock.Micros) []machine.Effect
	Heard(update machine.Update, now clock.Micros) []machine.Effect
	Call(number uint64, body any, now clock.Micros) []machine.Effect
	Answered(token uint64, body any, err error, now clock.Micros) []machine.Effect
	Fresh(at, now clock.Micros) []machine.Effect
	ClockEvent(now clock.Micros) []machine.Effect
	// Disk tells that the disk's state changed; FoldAgain asks for a view of now, as
	// the last one could not be written.
	Disk(state machine.DiskState, now clock.Micros) []machine.Effect
	FoldAgain(now clock.Micros) []machine.Effect
}

// Name is the event loop's name in the service registry.
const Name = "eventloop"

const (
	ringSize  = 65536
	tickEvery = 15 * time.Millisecond
	askMost   = 30 * time.Second
	// mostFlush is how long a daemon that ends waits for its disk.
	mostFlush = 2 * time.Second
)

type step func(now clock.Micros) []machine.Effect

// Loop is the event loop of one daemon. Its methods may be called by several threads.
type Loop struct {
	Who       Identity
	Zone      string
	Address   string // to listen on for the fleet's own traffic
	Clock     *clock.Clock
	Log       zerolog.Logger
	Transport *transport.Transport
	Folder    *storage.Folder
	Shelf     *storage.Shelf

	gossip     *gossip.Node
	gossipMu   sync.Mutex
	gossipRing *ring.Ring[step]

	machine   Machine
	machineMu sync.Mutex
	protocol  *ring.Ring[step]
	disk      *diskThread
	stopping  chan struct{}

	onWork func(any)

	calls   sync.Map
	number  atomic.Uint64
	ticking [2]atomic.Bool
	exit    func(code int)
}

// New makes the event loop of a daemon.
func New(member identity.Member, seeds []string, who Identity, log zerolog.Logger) *Loop {
	p := &Loop{Who: who, Zone: member.Zone, Address: member.Peer, Clock: clock.New(clockwork.NewRealClock()), Log: log, exit: os.Exit,
		stopping: make(chan struct{}), gossipRing: ring.New[step](ringSize)}
	p.gossip = gossip.New(member, seeds, gossip.Defaults(), int64(who.Life)^int64(len(who.ID))^time.Now().UnixNano())
	p.Transport = transport.New(member.Peer, p)
	return p
}

// SetMachine gives the event loop the machine of the daemon's plane.
func (p *Loop) SetMachine(handler Machine, room *storage.Folder) {
	p.machine, p.Folder = handler, room
	p.protocol = ring.New[step](ringSize)
	p.disk = &diskThread{queue: newDiskQueue(diskQueueEffects, diskQueueBytes), folder: room, shelf: p.Shelf, counts: room,
		now: p.Now, pause: p.pause, wake: p.wake}
}

// pause waits on the disk's behalf; false once the daemon stops.
func (p *Loop) pause(span time.Duration) bool {
	select {
	case <-p.stopping:
		return false
	case <-time.After(span):
		return true
	}
}

// wake has the protocol thread come round. A full ring has it come round anyway.
func (p *Loop) wake() { p.Enqueue(func(clock.Micros) []machine.Effect { return nil }) }

// OnWork sets the function that executes the machine's work.
func (p *Loop) OnWork(f func(any)) { p.onWork = f }

// Now is the daemon's time.
func (p *Loop) Now() clock.Micros { return p.Clock.Now() }

// Start starts the threads.
func (p *Loop) Start(_ *services.Registry, ends *cleanup.Stack) error {
	unlisten, err := p.Transport.Listen(p.Address)
	if err != nil {
		return err
	}
	ends.Push(unlisten)
	var threads sync.WaitGroup
	run := func(f func()) {
		threads.Add(1)
		go func() { defer threads.Done(); f() }()
	}
	written := make(chan struct{})
	run(func() { p.run(p.gossipRing, &p.gossipMu, nil) })
	if p.machine != nil {
		run(func() { p.run(p.protocol, &p.machineMu, p.fromDisk) })
		go func() { defer close(written); p.disk.run() }()
	} else {
		close(written)
	}
	ends.Push(func() {
		close(p.stopping)
		p.gossipRing.Close()
		if p.machine != nil {
			p.protocol.Close()
			p.disk.queue.close()
		}
		threads.Wait()
		select {
		case <-written:
		case <-time.After(mostFlush): // a stalled disk: what it holds was acknowledged to nobody
		}
	})
	cleanup.Every(ends, tickEvery, p.clock)
	return nil
}

// fromDisk is what the machine has to be told of its disk.
func (p *Loop) fromDisk(now clock.Micros) []machine.Effect { return p.disk.tell(p.machine, now) }

// run is a protocol thread: it takes steps off its ring, one after the other; first,
// when set, goes before each of them.
func (p *Loop) run(ring *ring.Ring[step], mu *sync.Mutex, first step) {
	for {
		steps := ring.Take(256)
		if steps == nil {
			return
		}
		for _, one := range steps {
			mu.Lock()
			var effects []machine.Effect
			if first != nil {
				effects = first(p.Now())
			}
			effects = append(effects, one(p.Now())...)
			mu.Unlock()
			p.execute(effects)
		}
	}
}

// clock sends a clock event to each machine; one that was not taken yet is not
// doubled.
func (p *Loop) clock() {
	p.tick(0, p.gossipRing, func(now clock.Micros) []machine.Effect { return p.gossip.Do(gossip.ClockEvent{}, now) })
	if p.machine != nil {
		p.tick(1, p.protocol, p.machine.ClockEvent)
		p.lookAtDisk()
	}
}

// lookAtDisk says once what changed about the disk.
func (p *Loop) lookAtDisk() {
	condition, reason, changed := p.disk.look(p.Now())
	switch {
	case !changed:
	case condition == DiskWell:
		p.Log.Info().Str("condition", condition.String()).Msg("the disk is well")
	case condition == DiskSlow:
		p.Log.Warn().Str("condition", condition.String()).Str("reason", reason).Msg("the disk takes writes late; all duties go on")
	default:
		p.Log.Warn().Str("condition", condition.String()).Str("reason", reason).Msg("the disk takes no writes; duties are given up, and nothing is acknowledged, until it does")
	}
}

// DiskTrouble tells why this daemon has no duties for its disk's sake; "" when it has.
func (p *Loop) DiskTrouble() string {
	if p.disk == nil {
		return ""
	}
	condition, reason := p.disk.health.state(p.Now())
	if condition.Writable() {
		return ""
	}
	return reason
}

func (p *Loop) tick(which int, ring *ring.Ring[step], do step) {
	if p.ticking[which].Swap(true) {
		return
	}
	if !ring.Put(func(now clock.Micros) []machine.Effect { p.ticking[which].Store(false); return do(now) }) {
		p.ticking[which].Store(false)
	}
}

// execute executes the effects of a machine's step.
//
//revive:disable-next-line:cyclomatic one case for each type of effect
func (p *Loop) execute(effects []machine.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			if e.To != "" {
				p.Transport.Send(e.To, e.Body)
			}
		case machine.Store, machine.Fold, machine.Shelve, machine.Unshelve:
			p.disk.queue.put(effect)
		case machine.Answer:
			if waiting, ok := p.calls.LoadAndDelete(e.Call); ok {
				waiting.(chan machine.Answer) <- e
			}
		case machine.Publish:
			p.Publish(e.Update)
		case machine.Broadcast:
			p.gossipRing.Put(func(now clock.Micros) []machine.Effect { return p.gossip.Do(gossip.Broadcast(e), now) })
		case machine.Heard:
			if p.machine != nil {
				p.Enqueue(func(now clock.Micros) []machine.Effect { return p.machine.Heard(e.Update, now) })
			}
		case machine.Fresh:
			if p.machine != nil {
				p.Enqueue(func(now clock.Micros) []machine.Effect { return p.machine.Fresh(e.At, now) })
			}
		case machine.Ask:
			go p.ask(e)
		case machine.Explain:
			p.Log.Info().Fields(e.Fields).Msg(e.What)
		case machine.Halt:
			p.Log.Error().Err(e.Err).Msg("ending")
			os.Stderr.WriteString(p.Who.ID + ": " + e.Err.Error() + "\n")
			p.exit(4)
		case machine.Work:
			if p.onWork != nil {
				p.onWork(e.Order)
			}
		}
	}
}

// ask asks another daemon for the machine, and hands it the answer.
func (p *Loop) ask(e machine.Ask) {
	var body any
	err := errs.New(errs.NotReady, "ask again", "the daemon to ask is not known")
	if e.To != "" {
		body, err = p.Transport.Ask(e.To, e.Body, e.Expiry)
	}
	p.EnqueueWait(func(now clock.Micros) []machine.Effect { return p.machine.Answered(e.Token, body, err, now) })
}

// EnqueueWait puts a step for the machine on its ring, and waits where the ring is
// full: what it says must not be lost. It gives up once the ring is closed.
func (p *Loop) EnqueueWait(one step) {
	for !p.Enqueue(one) && !p.protocol.Closed() {
		time.Sleep(time.Millisecond)
	}
}

// Enqueue puts a step for the machine on its ring; false when the ring is full.
func (p *Loop) Enqueue(one step) bool { return p.protocol.Put(one) }

// Publish passes on an update that starts at this daemon.
func (p *Loop) Publish(update machine.Update) {
	p.gossipRing.Put(func(now clock.Micros) []machine.Effect { return p.gossip.Do(gossip.Publish{Update: update}, now) })
}

// staleAfter is the age of this daemon's updates past which it takes no changes of
// the list of servers: they might not reach a majority of the voters.
const staleAfter = 2500 * clock.Millisecond

// Reseed replaces the seed addresses.
func (p *Loop) Reseed(seeds []string) {
	p.gossipRing.Put(func(now clock.Micros) []machine.Effect { return p.gossip.Do(gossip.Reseed{Seeds: seeds}, now) })
}

// CheckQuorumContact is nil if this daemon has recently heard from a majority of the
// voters.
func (p *Loop) CheckQuorumContact() error {
	p.gossipMu.Lock()
	age := p.Now() - p.gossip.LastSwap()
	p.gossipMu.Unlock()
	if age > staleAfter {
		return errs.Later(errs.NotReady, clock.Second, "put it at another daemon, or come back", "this daemon does not hear most of the fleet; nothing was told")
	}
	return nil
}

// Broadcast passes on an update that starts at this daemon, and waits until a
// majority of the voters know it.
func (p *Loop) Broadcast(update machine.Update, expiry clock.Micros) error {
	number := p.number.Add(1)
	answer := make(chan machine.Answer, 1)
	p.calls.Store(number, answer)
	if !p.gossipRing.Put(func(now clock.Micros) []machine.Effect {
		return p.gossip.Do(gossip.Broadcast{Update: update, Call: number, Expiry: expiry}, now)
	}) {
		p.calls.Delete(number)
		return errs.Later(errs.Busy, clock.Second, "come back after the time given", "the daemon's ring is full")
	}
	return (<-answer).Err
}

// Deliver takes a message off the wire.
func (p *Loop) Deliver(message transport.Envelope) {
	if isGossip(message.Body) {
		p.gossipRing.Put(func(now clock.Micros) []machine.Effect {
			return p.gossip.Do(gossip.Message{From: message.From, Body: message.Body}, now)
		})
		return
	}
	if p.machine != nil {
		p.Enqueue(func(now clock.Micros) []machine.Effect { return p.machine.Message(message.From, message.Body, now) })
	}
}

func isGossip(body any) bool {
	switch body.(type) {
	case gossip.Gossip, gossip.Digest, gossip.DigestReply, gossip.FetchUpdates, gossip.Announcement, gossip.Probe, gossip.ProbeReply, gossip.IndirectProbe, gossip.IndirectResult, gossip.Shuffle, gossip.PushUpdate, gossip.PushAck:
		return true
	}
	return false
}

// Ask answers a request off the wire.
func (p *Loop) Ask(message transport.Envelope) (any, error) {
	return p.AskHere(message.Body)
}

// AskHere asks this daemon's own machine.
func (p *Loop) AskHere(body any) (any, error) {
	return p.AskUntil(context.Background(), body, nil, askMost)
}

// AskUntil asks this daemon's own machine on behalf of somebody who may leave
// first: then the machine is told so, and its answer is waited for all the same.
func (p *Loop) AskUntil(ctx context.Context, body, left any, most time.Duration) (any, error) {
	if p.machine == nil {
		return nil, errs.New(errs.BadInput, "ask a daemon of the right kind", "this daemon answers no such ask: %T", body)
	}
	number := p.number.Add(1)
	answer := make(chan machine.Answer, 1)
	p.calls.Store(number, answer)
	if !p.Enqueue(func(now clock.Micros) []machine.Effect { return p.machine.Call(number, body, now) }) {
		p.calls.Delete(number)
		return nil, errs.Later(errs.Busy, clock.Second, "come back after the time given", "the daemon's ring is full")
	}
	clockEvent := time.NewTimer(most)
	defer clockEvent.Stop()
	gone := ctx.Done()
	for {
		select {
		case got := <-answer:
			return got.Body, got.Err
		case <-gone:
			gone = nil
			p.Notify(left)
		case <-clockEvent.C:
			p.calls.Delete(number)
			return nil, errors.New("the machine gave no answer")
		}
	}
}

// Notify hands the machine a report whose answer nobody waits for.
func (p *Loop) Notify(body any) {
	p.EnqueueWait(func(now clock.Micros) []machine.Effect { return p.machine.Call(p.number.Add(1), body, now) })
}

// Members lists the directory as this daemon knows it.
func (p *Loop) Members() []identity.Member {
	p.gossipMu.Lock()
	defer p.gossipMu.Unlock()
	return p.gossip.Members()
}

// Update is the update known under a key.
func (p *Loop) Update(key string) (machine.Update, bool) {
	p.gossipMu.Lock()
	defer p.gossipMu.Unlock()
	return p.gossip.Update(key)
}

// UpdatesUnder lists the updates whose keys begin with a prefix.
func (p *Loop) UpdatesUnder(prefix string) []machine.Update {
	p.gossipMu.Lock()
	defer p.gossipMu.Unlock()
	return p.gossip.UpdatesUnder(prefix)
}

// WithMachine runs f while the machine stands still.
func (p *Loop) WithMachine(f func(now clock.Micros)) {
	p.machineMu.Lock()
	defer p.machineMu.Unlock()
	f(p.Now())
}

// AnnounceDraining tells the members that this daemon stops soon.
func (p *Loop) AnnounceDraining() {
	p.gossipRing.Put(func(now clock.Micros) []machine.Effect { return p.gossip.Do(gossip.Drain{}, now) })
}

// AnnounceLeaving tells the members that this daemon has stopped on purpose.
func (p *Loop) AnnounceLeaving() {
	p.gossipRing.Put(func(now clock.Micros) []machine.Effect { return p.gossip.Do(gossip.Leave{}, now) })
}

// Counters are the event loop's counts for the operators.
func (p *Loop) Counters() map[string]int64 {
	out := map[string]int64{
		"messages_sent": p.Transport.Sent.Load(), "calls_made": p.Transport.Calls.Load(),
		"messages_lost": p.Transport.Lost.Load(), "bytes_out": p.Transport.BytesOut.Load(),
		"news_ring_dropped": p.gossipRing.Dropped(),
	}
	p.gossipMu.Lock()
	out["news_heard"], out["news_repeated"], out["news_mended"] = p.gossip.Received, p.gossip.Repeated, p.gossip.Repaired
	out["suspicions"], out["refutations"] = p.gossip.Suspected, p.gossip.Refuted
	out["news_age_us"] = p.Now() - p.gossip.LastSwap()
	p.gossipMu.Unlock()
	if p.machine != nil {
		out["protocol_ring_dropped"] = p.protocol.Dropped()
	}
	if p.Folder != nil {
		now := p.Now()
		condition, _ := p.disk.health.state(now)
		out["disk_condition"] = int64(condition)
		out["disk_wait_us"], out["disk_refusals"] = p.disk.health.wait(now)
		out["disk_folds_given_up"] = p.disk.foldsGivenUp.Load()
		effects, bytes := p.disk.queue.load()
		out["disk_queue"], out["disk_queue_bytes"] = int64(effects), int64(bytes)
	}
	if p.Folder != nil {
		out["disk_syncs"], out["disk_bytes"] = p.Folder.Syncs.Load(), p.Folder.Bytes.Load()
	}
	return out
}

// OpenShelf opens the shelf under a data folder.
func OpenShelf(folder string) (*storage.Shelf, error) {
	return storage.OpenShelf(filepath.Join(folder, shelfFolder))
}

// OpenRecords opens the records under a data folder.
func OpenRecords(folder string) (*storage.Folder, []machine.Record, error) {
	return storage.Open(filepath.Join(folder, recordsFolder))
}
