// Package eventloop runs a daemon's state machines (DESIGN §2): the gossip node and the
// machine of the daemon's role. It owns the goroutines, the bounded rings, net/rpc and the
// disk; it feeds messages, calls, replies and ticks to the machines, and executes the effects
// that they return. It makes no decisions of its own.
//
// Each machine has one goroutine (thread.go), so that a machine never runs two steps at
// once; effects are executed by the goroutine of the machine that returned them
// (execute.go), except writes, which the disk writer executes in order (disk_writer.go).
package eventloop

import (
	"os"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"tuliprudder/internal/cleanup"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/logging"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
	"tuliprudder/internal/services"
	"tuliprudder/internal/storage"
	"tuliprudder/internal/transport"
)

// Name is the event loop's name in the service registry.
const Name = "eventloop"

const (
	tickInterval = 15 * time.Millisecond
	// shutdownFlushTimeout is how long a stopping daemon waits for its disk.
	shutdownFlushTimeout = 2 * time.Second
)

// Loop is the event loop of one daemon. The exported fields are set before Start. Its methods
// may be called by several goroutines.
type Loop struct {
	Identity  Identity
	Zone      string
	Address   string // listen address for traffic between daemons
	Clock     *clock.Clock
	Log       zerolog.Logger
	Transport *transport.Transport
	Folder    *storage.Folder  // nil if the daemon has no disk
	Archive   *storage.Archive // nil except at stores

	gossip       *gossip.Node // guarded by gossipThread.mu
	gossipThread *thread

	machine       Machine // of the daemon's role; nil if there is none. Guarded by machineThread.mu
	machineThread *thread
	disk          *diskWriter // nil without a machine
	executeTask   func(task any)

	calls    *pendingCalls
	stopping chan struct{} // closed when the daemon stops
	exit     func(code int)
}

// New makes the event loop of a daemon. member is the daemon's own entry that it announces to
// the other members; seeds are the addresses through which it finds them.
func New(member membership.Member, seeds []string, self Identity, log zerolog.Logger) *Loop {
	gossipSeed := int64(self.Incarnation) ^ int64(len(self.ID)) ^ time.Now().UnixNano()
	l := &Loop{
		Identity:      self,
		Zone:          member.Zone,
		Address:       member.Peer,
		Clock:         clock.New(clockwork.NewRealClock()),
		Log:           log,
		gossip:        gossip.New(member, seeds, GossipSettings(), gossipSeed),
		gossipThread:  newThread(),
		machineThread: newThread(),
		calls:         newPendingCalls(),
		stopping:      make(chan struct{}),
		exit:          os.Exit,
	}
	l.Transport = transport.New(member.Peer, l)
	return l
}

// SetMachine sets the machine of the daemon's role and the folder that its records are written
// to, which is nil for a machine without a disk. It is called before Start, and after Archive
// is set.
func (l *Loop) SetMachine(handler Machine, folder *storage.Folder) {
	l.machine, l.Folder = handler, folder
	l.disk = &diskWriter{
		queue:   newDiskQueue(maxQueuedEffects, maxQueuedBytes),
		folder:  folder,
		archive: l.Archive,
		counts:  folder,
		now:     l.Now,
		pause:   l.pause,
		wake:    l.wakeMachine,
	}
	l.machineThread.beforeStep = func(now clock.Micros) []machine.Effect {
		return l.disk.deliverReports(l.machine, now)
	}
}

// SetExecutor sets the function that executes the machine's tasks (machine.Execute); it
// must not block.
func (l *Loop) SetExecutor(execute func(task any)) { l.executeTask = execute }

// Now returns the daemon's time.
func (l *Loop) Now() clock.Micros { return l.Clock.Now() }

// Start listens for traffic between daemons and starts the goroutines. The cleanups that it
// pushes stop both.
func (l *Loop) Start(_ *services.Registry, cleanups *cleanup.Stack) error {
	stopListening, err := l.Transport.Listen(l.Address)
	if err != nil {
		return err
	}
	cleanups.Push(stopListening)
	var threads sync.WaitGroup
	threads.Go(func() { l.gossipThread.run(l.Now, l.execute) })
	flushed := make(chan struct{})
	if l.machine != nil {
		threads.Go(func() { l.machineThread.run(l.Now, l.execute) })
		go func() {
			defer close(flushed)
			l.disk.run()
		}()
	} else {
		close(flushed)
	}
	cleanups.Push(func() { l.stop(&threads, flushed) })
	cleanup.Every(cleanups, tickInterval, l.tickAll)
	return nil
}

// stop ends the goroutines. It waits for the disk only up to shutdownFlushTimeout: writes that
// a stalled disk has not finished were not acknowledged.
func (l *Loop) stop(threads *sync.WaitGroup, flushed <-chan struct{}) {
	close(l.stopping)
	l.gossipThread.steps.Close()
	l.machineThread.steps.Close()
	if l.disk != nil {
		l.disk.queue.close()
	}
	threads.Wait()
	select {
	case <-flushed:
	case <-time.After(shutdownFlushTimeout):
	}
}

// pause waits on behalf of the disk writer; it returns false once the daemon is stopping.
func (l *Loop) pause(delay time.Duration) bool {
	select {
	case <-l.stopping:
		return false
	case <-time.After(delay):
		return true
	}
}

// wakeMachine makes the machine's goroutine run a step, before which it takes the disk's
// reports. If the ring is full, no step is added, since the goroutine has steps to run anyway.
func (l *Loop) wakeMachine() {
	l.enqueueMachine(func(clock.Micros) []machine.Effect { return nil })
}

// tickAll enqueues a tick for each machine.
func (l *Loop) tickAll() {
	l.gossipThread.enqueueTick(func(now clock.Micros) []machine.Effect { return l.gossip.Do(gossip.Tick{}, now) })
	if l.machine != nil {
		l.machineThread.enqueueTick(l.machine.Tick)
		l.logDiskCondition()
	}
}

// logDiskCondition logs a change of the disk's condition, once.
func (l *Loop) logDiskCondition() {
	if status, changed := l.disk.reportChanges(l.Now()); changed {
		logging.Write(l.Log, DiskConditionChanged{Condition: status.condition.String(), Reason: status.reason, isHealthy: status.condition == DiskHealthy})
	}
}

// DiskFault returns why the disk accepts no writes, in which case this daemon has no duties.
// It returns "" if the disk accepts writes, and for a daemon without a disk.
func (l *Loop) DiskFault() string {
	if l.disk == nil {
		return ""
	}
	status := l.disk.health.current(l.Now())
	if status.condition.IsWritable() {
		return ""
	}
	return status.reason
}

// WithMachine runs f while the machine runs no step.
func (l *Loop) WithMachine(f func(now clock.Micros)) {
	l.machineThread.mu.Lock()
	defer l.machineThread.mu.Unlock()
	f(l.Now())
}

// enqueueMachineWait puts a step for the machine on its ring, and waits while the ring is
// full, since the step must not be lost. It gives up once the daemon is stopping.
func (l *Loop) enqueueMachineWait(s step) {
	for !l.enqueueMachine(s) && !l.machineThread.steps.Closed() {
		time.Sleep(fullRingDelay)
	}
}

// fullRingDelay is the time between two attempts to put a step on a full ring.
const fullRingDelay = time.Millisecond

// enqueueMachine puts a step for the machine on its ring; it returns false if the ring is full
// or closed.
func (l *Loop) enqueueMachine(s step) bool { return l.machineThread.enqueue(s) }
