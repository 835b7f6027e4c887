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

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/ring"
	"tuliprudder/internal/services"
	"tuliprudder/internal/storage"
	"tuliprudder/internal/transport"
)

// Machine is what the event loop needs of the machine of a daemon's plane.
type Machine interface {
	Message(from string, body any, now clock.Micros) []machine.Effect
	Persisted(token uint64, now clock.Micros) []machine.Effect
	UpdateReceived(update machine.Update, now clock.Micros) []machine.Effect
	Call(callNumber uint64, body any, now clock.Micros) []machine.Effect
	ReplyReceived(token uint64, body any, err error, now clock.Micros) []machine.Effect
	FreshnessAdvanced(at, now clock.Micros) []machine.Effect
	Tick(now clock.Micros) []machine.Effect
	// DiskStateChanged tells that the disk's state changed; CompactAgain asks for a view of now, as
	// the last one could not be written.
	DiskStateChanged(state machine.DiskState, now clock.Micros) []machine.Effect
	CompactAgain(now clock.Micros) []machine.Effect
}

// Name is the event loop's name in the service registry.
const Name = "eventloop"

const (
	ringSize         = 65536
	tickInterval     = 15 * time.Millisecond
	localCallTimeout = 30 * time.Second
	// shutdownFlushTimeout is how long a daemon that ends waits for its disk.
	shutdownFlushTimeout = 2 * time.Second
)

type step func(now clock.Micros) []machine.Effect

// Loop is the event loop of one daemon. Its methods may be called by several threads.
type Loop struct {
	Identity  Identity
	Zone      string
	Address   string // to listen on for the fleet's own traffic
	Clock     *clock.Clock
	Log       zerolog.Logger
	Transport *transport.Transport
	Folder    *storage.Folder
	Archive   *storage.Archive

	gossip     *gossip.Node
	gossipMu   sync.Mutex
	gossipRing *ring.Ring[step]

	machine     Machine
	machineMu   sync.Mutex
	machineRing *ring.Ring[step]
	disk        *diskWriter
	stopping    chan struct{}

	executeTask func(any)

	pendingReplies sync.Map
	lastCallNumber atomic.Uint64
	tickPending    [2]atomic.Bool
	exit           func(code int)
}

// New makes the event loop of a daemon.
func New(member membership.Member, seeds []string, self Identity, log zerolog.Logger) *Loop {
	l := &Loop{Identity: self, Zone: member.Zone, Address: member.Peer, Clock: clock.New(clockwork.NewRealClock()), Log: log, exit: os.Exit,
		stopping: make(chan struct{}), gossipRing: ring.New[step](ringSize)}
	l.gossip = gossip.New(member, seeds, GossipSettings(), int64(self.Incarnation)^int64(len(self.ID))^time.Now().UnixNano())
	l.Transport = transport.New(member.Peer, l)
	return l
}

// SetMachine gives the event loop the machine of the daemon's plane.
func (l *Loop) SetMachine(handler Machine, room *storage.Folder) {
	l.machine, l.Folder = handler, room
	l.machineRing = ring.New[step](ringSize)
	l.disk = &diskWriter{queue: newDiskQueue(maxQueuedEffects, maxQueuedBytes), folder: room, archive: l.Archive, counts: room,
		now: l.Now, pause: l.pause, wake: l.wake}
}

// pause waits on the disk's behalf; false once the daemon stops.
func (l *Loop) pause(delay time.Duration) bool {
	select {
	case <-l.stopping:
		return false
	case <-time.After(delay):
		return true
	}
}

// wake has the protocol thread come round. A full ring has it come round anyway.
func (l *Loop) wake() { l.Enqueue(func(clock.Micros) []machine.Effect { return nil }) }

// SetExecutor sets the function that executes the machine's work.
func (l *Loop) SetExecutor(f func(any)) { l.executeTask = f }

// Now is the daemon's time.
func (l *Loop) Now() clock.Micros { return l.Clock.Now() }

// Start starts the threads.
func (l *Loop) Start(_ *services.Registry, ends *cleanup.Stack) error {
	stopListening, err := l.Transport.Listen(l.Address)
	if err != nil {
		return err
	}
	ends.Push(stopListening)
	var threads sync.WaitGroup
	run := func(f func()) {
		threads.Add(1)
		go func() { defer threads.Done(); f() }()
	}
	written := make(chan struct{})
	run(func() { l.run(l.gossipRing, &l.gossipMu, nil) })
	if l.machine != nil {
		run(func() { l.run(l.machineRing, &l.machineMu, l.deliverDiskReports) })
		go func() { defer close(written); l.disk.run() }()
	} else {
		close(written)
	}
	ends.Push(func() {
		close(l.stopping)
		l.gossipRing.Close()
		if l.machine != nil {
			l.machineRing.Close()
			l.disk.queue.close()
		}
		threads.Wait()
		select {
		case <-written:
		case <-time.After(shutdownFlushTimeout): // a stalled disk: what it holds was acknowledged to nobody
		}
	})
	cleanup.Every(ends, tickInterval, l.tickAll)
	return nil
}

// deliverDiskReports is what the machine has to be told of its disk.
func (l *Loop) deliverDiskReports(now clock.Micros) []machine.Effect {
	return l.disk.deliverReports(l.machine, now)
}

// run is a protocol thread: it takes steps off its ring, one after the other; first,
// when set, goes before each of them.
func (l *Loop) run(stepRing *ring.Ring[step], mu *sync.Mutex, before step) {
	for {
		steps := stepRing.Take(256)
		if steps == nil {
			return
		}
		for _, one := range steps {
			mu.Lock()
			var effects []machine.Effect
			if before != nil {
				effects = before(l.Now())
			}
			effects = append(effects, one(l.Now())...)
			mu.Unlock()
			l.execute(effects)
		}
	}
}

// tickAll sends a tick to each machine; one that was not taken yet is not
// doubled.
func (l *Loop) tickAll() {
	l.enqueueTick(0, l.gossipRing, func(now clock.Micros) []machine.Effect { return l.gossip.Do(gossip.Tick{}, now) })
	if l.machine != nil {
		l.enqueueTick(1, l.machineRing, l.machine.Tick)
		l.logDiskCondition()
	}
}

// logDiskCondition says once what changed about the disk.
func (l *Loop) logDiskCondition() {
	condition, reason, changed := l.disk.reportChanges(l.Now())
	switch {
	case !changed:
	case condition == DiskHealthy:
		l.Log.Info().Str("condition", condition.String()).Msg("the disk is well")
	case condition == DiskSlow:
		l.Log.Warn().Str("condition", condition.String()).Str("reason", reason).Msg("the disk takes writes late; all duties go on")
	default:
		l.Log.Warn().Str("condition", condition.String()).Str("reason", reason).Msg("the disk takes no writes; duties are given up, and nothing is acknowledged, until it does")
	}
}

// DiskFault tells why this daemon has no duties for its disk's sake; "" when it has.
func (l *Loop) DiskFault() string {
	if l.disk == nil {
		return ""
	}
	condition, reason := l.disk.health.current(l.Now())
	if condition.IsWritable() {
		return ""
	}
	return reason
}

func (l *Loop) enqueueTick(which int, stepRing *ring.Ring[step], do step) {
	if l.tickPending[which].Swap(true) {
		return
	}
	if !stepRing.Put(func(now clock.Micros) []machine.Effect { l.tickPending[which].Store(false); return do(now) }) {
		l.tickPending[which].Store(false)
	}
}

// execute executes the effects of a machine's step.
//
//revive:disable-next-line:cyclomatic one case for each type of effect
func (l *Loop) execute(effects []machine.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case machine.Send:
			if e.To != "" {
				l.Transport.Send(e.To, e.Body)
			}
		case machine.Persist, machine.Compact, machine.Archive, machine.DeleteArchive:
			l.disk.queue.put(effect)
		case machine.Reply:
			if waiting, ok := l.pendingReplies.LoadAndDelete(e.Call); ok {
				waiting.(chan machine.Reply) <- e
			}
		case machine.Publish:
			l.Publish(e.Update)
		case machine.Broadcast:
			l.gossipRing.Put(func(now clock.Micros) []machine.Effect { return l.gossip.Do(gossip.Broadcast(e), now) })
		case machine.UpdateReceived:
			if l.machine != nil {
				l.Enqueue(func(now clock.Micros) []machine.Effect { return l.machine.UpdateReceived(e.Update, now) })
			}
		case machine.Freshness:
			if l.machine != nil {
				l.Enqueue(func(now clock.Micros) []machine.Effect { return l.machine.FreshnessAdvanced(e.At, now) })
			}
		case machine.Request:
			go l.sendRequest(e)
		case machine.LogEvent:
			logging.Write(l.Log, e.Event)
		case machine.Halt:
			l.Log.Error().Err(e.Err).Msg("ending")
			os.Stderr.WriteString(l.Identity.ID + ": " + e.Err.Error() + "\n")
			l.exit(4)
		case machine.Execute:
			if l.executeTask != nil {
				l.executeTask(e.Task)
			}
		}
	}
}

// sendRequest asks another daemon for the machine, and hands it the answer.
func (l *Loop) sendRequest(e machine.Request) {
	var body any
	err := errs.New(errs.NotReady, "ask again", "the daemon to ask is not known")
	if e.To != "" {
		body, err = l.Transport.Call(e.To, e.Body, e.Timeout)
	}
	l.EnqueueWait(func(now clock.Micros) []machine.Effect { return l.machine.ReplyReceived(e.Token, body, err, now) })
}

// EnqueueWait puts a step for the machine on its ring, and waits where the ring is
// full: what it says must not be lost. It gives up once the ring is closed.
func (l *Loop) EnqueueWait(one step) {
	for !l.Enqueue(one) && !l.machineRing.Closed() {
		time.Sleep(time.Millisecond)
	}
}

// Enqueue puts a step for the machine on its ring; false when the ring is full.
func (l *Loop) Enqueue(one step) bool { return l.machineRing.Put(one) }

// Publish passes on an update that starts at this daemon.
func (l *Loop) Publish(update machine.Update) {
	l.gossipRing.Put(func(now clock.Micros) []machine.Effect { return l.gossip.Do(gossip.Publish{Update: update}, now) })
}

// maxQuorumContactAge is the age of this daemon's updates past which it takes no changes of
// the list of servers: they might not reach a majority of the voters.
const maxQuorumContactAge = 2500 * clock.Millisecond

// SetSeeds replaces the seed addresses.
func (l *Loop) SetSeeds(seeds []string) {
	l.gossipRing.Put(func(now clock.Micros) []machine.Effect { return l.gossip.Do(gossip.Reseed{Seeds: seeds}, now) })
}

// CheckQuorumContact is nil if this daemon has recently heard from a majority of the
// voters.
func (l *Loop) CheckQuorumContact() error {
	l.gossipMu.Lock()
	age := l.Now() - l.gossip.FreshUntil()
	l.gossipMu.Unlock()
	if age > maxQuorumContactAge {
		return errs.NewWithRetry(errs.NotReady, clock.Second, "put it at another daemon, or come back", "this daemon does not hear most of the fleet; nothing was told")
	}
	return nil
}

// Broadcast passes on an update that starts at this daemon, and waits until a
// majority of the voters know it.
func (l *Loop) Broadcast(update machine.Update, timeout clock.Micros) error {
	callNumber := l.lastCallNumber.Add(1)
	reply := make(chan machine.Reply, 1)
	l.pendingReplies.Store(callNumber, reply)
	if !l.gossipRing.Put(func(now clock.Micros) []machine.Effect {
		return l.gossip.Do(gossip.Broadcast{Update: update, Call: callNumber, Timeout: timeout}, now)
	}) {
		l.pendingReplies.Delete(callNumber)
		return errs.NewWithRetry(errs.Busy, clock.Second, "come back after the time given", "the daemon's ring is full")
	}
	return (<-reply).Err
}

// Deliver takes a message off the wire.
func (l *Loop) Deliver(message transport.Envelope) {
	if gossip.IsMessage(message.Body) {
		l.gossipRing.Put(func(now clock.Micros) []machine.Effect {
			return l.gossip.Do(gossip.Message{From: message.From, Body: message.Body}, now)
		})
		return
	}
	if l.machine != nil {
		l.Enqueue(func(now clock.Micros) []machine.Effect { return l.machine.Message(message.From, message.Body, now) })
	}
}

// HandleCall answers a request off the wire.
func (l *Loop) HandleCall(message transport.Envelope) (any, error) {
	return l.CallLocal(message.Body)
}

// CallLocal asks this daemon's own machine.
func (l *Loop) CallLocal(body any) (any, error) {
	return l.CallLocalContext(context.Background(), body, nil, localCallTimeout)
}

// CallLocalContext asks this daemon's own machine on behalf of somebody who may leave
// first: then the machine is told so, and its answer is waited for all the same.
func (l *Loop) CallLocalContext(ctx context.Context, body, onCancel any, limit time.Duration) (any, error) {
	if l.machine == nil {
		return nil, errs.New(errs.BadInput, "ask a daemon of the right kind", "this daemon answers no such ask: %T", body)
	}
	callNumber := l.lastCallNumber.Add(1)
	reply := make(chan machine.Reply, 1)
	l.pendingReplies.Store(callNumber, reply)
	if !l.Enqueue(func(now clock.Micros) []machine.Effect { return l.machine.Call(callNumber, body, now) }) {
		l.pendingReplies.Delete(callNumber)
		return nil, errs.NewWithRetry(errs.Busy, clock.Second, "come back after the time given", "the daemon's ring is full")
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	cancelled := ctx.Done()
	for {
		select {
		case got := <-reply:
			return got.Body, got.Err
		case <-cancelled:
			cancelled = nil
			l.Notify(onCancel)
		case <-timer.C:
			l.pendingReplies.Delete(callNumber)
			return nil, errors.New("the machine gave no answer")
		}
	}
}

// Notify hands the machine a report whose answer nobody waits for.
func (l *Loop) Notify(body any) {
	l.EnqueueWait(func(now clock.Micros) []machine.Effect { return l.machine.Call(l.lastCallNumber.Add(1), body, now) })
}

// Members lists the directory as this daemon knows it.
func (l *Loop) Members() []membership.Member {
	l.gossipMu.Lock()
	defer l.gossipMu.Unlock()
	return l.gossip.Members()
}

// Update is the update known under a key.
func (l *Loop) Update(key string) (machine.Update, bool) {
	l.gossipMu.Lock()
	defer l.gossipMu.Unlock()
	return l.gossip.Update(key)
}

// UpdatesWithPrefix lists the updates whose keys begin with a prefix.
func (l *Loop) UpdatesWithPrefix(prefix string) []machine.Update {
	l.gossipMu.Lock()
	defer l.gossipMu.Unlock()
	return l.gossip.UpdatesWithPrefix(prefix)
}

// WithMachine runs f while the machine stands still.
func (l *Loop) WithMachine(f func(now clock.Micros)) {
	l.machineMu.Lock()
	defer l.machineMu.Unlock()
	f(l.Now())
}

// AnnounceDraining tells the members that this daemon stops soon.
func (l *Loop) AnnounceDraining() {
	l.gossipRing.Put(func(now clock.Micros) []machine.Effect { return l.gossip.Do(gossip.Drain{}, now) })
}

// AnnounceLeft tells the members that this daemon has stopped on purpose.
func (l *Loop) AnnounceLeft() {
	l.gossipRing.Put(func(now clock.Micros) []machine.Effect { return l.gossip.Do(gossip.Leave{}, now) })
}

// Counters are the event loop's counts for the operators.
func (l *Loop) Counters() map[string]int64 {
	out := map[string]int64{
		"messages_sent": l.Transport.MessagesSent.Load(), "calls_made": l.Transport.Calls.Load(),
		"messages_lost": l.Transport.MessagesLost.Load(), "bytes_out": l.Transport.BytesOut.Load(),
		"news_ring_dropped": l.gossipRing.Dropped(),
	}
	l.gossipMu.Lock()
	out["news_heard"], out["news_repeated"], out["news_mended"] = l.gossip.UpdatesReceived, l.gossip.DuplicatesReceived, l.gossip.UpdatesRepaired
	out["suspicions"], out["refutations"] = l.gossip.Suspected, l.gossip.Refuted
	out["news_age_us"] = l.Now() - l.gossip.FreshUntil()
	l.gossipMu.Unlock()
	if l.machine != nil {
		out["protocol_ring_dropped"] = l.machineRing.Dropped()
	}
	if l.Folder != nil {
		now := l.Now()
		condition, _ := l.disk.health.current(now)
		out["disk_condition"] = int64(condition)
		out["disk_wait_us"], out["disk_refusals"] = l.disk.health.stats(now)
		out["disk_folds_given_up"] = l.disk.failedCompactions.Load()
		effects, bytes := l.disk.queue.load()
		out["disk_queue"], out["disk_queue_bytes"] = int64(effects), int64(bytes)
	}
	if l.Folder != nil {
		out["disk_syncs"], out["disk_bytes"] = l.Folder.Syncs.Load(), l.Folder.Bytes.Load()
	}
	return out
}

// OpenArchive opens the shelf under a data folder.
func OpenArchive(folder string) (*storage.Archive, error) {
	return storage.OpenArchive(filepath.Join(folder, shelfFolder))
}

// OpenRecords opens the records under a data folder.
func OpenRecords(folder string) (*storage.Folder, []machine.Record, error) {
	return storage.Open(filepath.Join(folder, recordsFolder))
}
