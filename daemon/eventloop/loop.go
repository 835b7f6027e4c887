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
}

// Name is the event loop's name in the service registry.
const Name = "eventloop"

const (
	ringSize  = 65536
	diskRing  = 65536
	tickEvery = 15 * time.Millisecond
	askMost   = 30 * time.Second
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
	disk      *ring.Ring[machine.Effect]

	onWork func(any)

	calls   sync.Map
	number  atomic.Uint64
	ticking [2]atomic.Bool
	exit    func(code int)
}

// New makes the event loop of a daemon.
func New(member identity.Member, seeds []string, who Identity, log zerolog.Logger) *Loop {
	p := &Loop{Who: who, Zone: member.Zone, Address: member.Peer, Clock: clock.New(clockwork.NewRealClock()), Log: log, exit: os.Exit,
		gossipRing: ring.New[step](ringSize)}
	p.gossip = gossip.New(member, seeds, gossip.Defaults(), int64(who.Life)^int64(len(who.ID))^time.Now().UnixNano())
	p.Transport = transport.New(member.Peer, p)
	return p
}

// SetMachine gives the event loop the machine of the daemon's plane.
func (p *Loop) SetMachine(handler Machine, room *storage.Folder) {
	p.machine, p.Folder = handler, room
	p.protocol, p.disk = ring.New[step](ringSize), ring.New[machine.Effect](diskRing)
}

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
	run(func() { p.run(p.gossipRing, &p.gossipMu) })
	if p.machine != nil {
		run(func() { p.run(p.protocol, &p.machineMu) })
		run(p.write)
	}
	ends.Push(func() {
		p.gossipRing.Close()
		if p.machine != nil {
			p.protocol.Close()
			p.disk.Close()
		}
		threads.Wait()
	})
	cleanup.Every(ends, tickEvery, p.clock)
	return nil
}

// run is a protocol thread: it takes steps off its ring, one after the other.
func (p *Loop) run(ring *ring.Ring[step], mu *sync.Mutex) {
	for {
		steps := ring.Take(256)
		if steps == nil {
			return
		}
		for _, one := range steps {
			mu.Lock()
			effects := one(p.Now())
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
	}
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
			if !p.disk.Put(effect) {
				p.Log.Error().Int("waiting", p.disk.Len()).Msg("the disk takes no more writes; ending, so that the pair's other end serves")
				p.exit(3)
			}
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

// write is the disk's thread. What waits when it comes round is one commit
// group: one file, one sync of it and one of its folder.
func (p *Loop) write() {
	for {
		batch := p.disk.Take(1024)
		if batch == nil {
			return
		}
		var records []machine.Record
		var tokens []uint64
		stored := func(done []uint64) {
			p.EnqueueWait(func(now clock.Micros) []machine.Effect {
				var out []machine.Effect
				for _, token := range done {
					out = append(out, p.machine.Stored(token, now)...)
				}
				return out
			})
		}
		flush := func() {
			if len(records) == 0 {
				return
			}
			p.must(p.Folder.Write(records))
			done := tokens
			records, tokens = nil, nil
			stored(done)
		}
		for _, effect := range batch {
			switch e := effect.(type) {
			case machine.Store:
				records = append(records, e.Records...)
				tokens = append(tokens, e.Token)
			case machine.Fold:
				flush()
				p.must(p.Folder.Fold(e.Records))
			case machine.Shelve:
				flush()
				p.must(p.Shelf.Put(e.File, e.Records, p.Folder))
				stored([]uint64{e.Token})
			case machine.Unshelve:
				flush()
				p.Shelf.Drop(e.Files)
			}
		}
		flush()
	}
}

// must ends the daemon when its disk fails: its pair's other end serves.
func (p *Loop) must(err error) {
	if err != nil {
		p.Log.Error().Err(err).Msg("the disk failed; ending, so that the pair's other end serves")
		p.exit(3)
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
		out["disk_syncs"], out["disk_bytes"] = p.Folder.Syncs.Load(), p.Folder.Bytes.Load()
	}
	return out
}

// OpenShelf opens the shelf under a data folder.
func OpenShelf(folder string) (*storage.Shelf, error) {
	return storage.OpenShelf(filepath.Join(folder, "shelf"))
}

// OpenRecords opens the records under a data folder.
func OpenRecords(folder string) (*storage.Folder, []machine.Record, error) {
	return storage.Open(filepath.Join(folder, "records"))
}
