package modelcheck

import (
	"fmt"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/machine"
)

// tickInterval is the interval between ticks while passTime runs.
const tickInterval = 250 * clock.Millisecond

// faultCounts counts the faults and requests of a run so far, for comparison with Limits.
type faultCounts struct {
	crashes, wipes, partitions, pauses, messageFaults, puts, timePasses, drains int
}

// World is the state of a run at one point: all processes, the messages between them and the history
// of confirmations.
type World struct {
	config       *Config
	now          clock.Micros
	processes    []*process
	inFlight     []message
	blockedLinks map[link]bool
	faultsUsed   faultCounts
	history      history
	violation    *Violation
}

// NewWorld returns a fleet with empty disks whose voters are started and whose spares are down.
func NewWorld(c *Config) *World {
	w := &World{config: c, now: virtualEpoch, blockedLinks: map[link]bool{}}
	for i := range c.Voters {
		w.processes = append(w.processes, c.newProcess(i, 0, processName(i)).restarted(c))
	}
	for i := range c.Spares {
		spare := c.newProcess(c.Voters+i, 0, processName(c.Voters+i))
		spare.boot.bootstrap = false
		w.processes = append(w.processes, spare)
	}
	return w
}

// maxElectionTicks bounds the ticks that a starting fleet gets to elect a leader.
const maxElectionTicks = 40

// InitialWorld returns the state from which runs are explored.
func (c *Config) InitialWorld() *World {
	w := NewWorld(c)
	if !c.StartEmpty {
		for i := 0; i < maxElectionTicks && len(w.leaseHolders()) == 0; i++ {
			w.passTime(tickInterval)
		}
		w.passTime(2 * clock.Second)
	}
	for _, event := range c.InitialTrace {
		w, _ = w.Apply(event)
	}
	return w
}

// clone returns a copy that can be modified independently. Processes are immutable and shared.
func (w *World) clone() *World {
	next := *w
	next.processes = slices.Clone(w.processes)
	next.inFlight = slices.Clone(w.inFlight)
	next.blockedLinks = make(map[link]bool, len(w.blockedLinks))
	for l := range w.blockedLinks {
		next.blockedLinks[l] = true
	}
	next.history = w.history.clone()
	return &next
}

// Violation returns the first violation found, or nil.
func (w *World) Violation() *Violation { return w.violation }

func (w *World) indexByName(name string) int {
	return slices.IndexFunc(w.processes, func(p *process) bool { return p.name == name })
}

func (w *World) indexByAddress(address string) int {
	return slices.IndexFunc(w.processes, func(p *process) bool { return p.address() == address })
}

// passTime lets time pass for all processes: each gets its ticks, messages are delivered and writes
// are synced.
func (w *World) passTime(span clock.Micros) {
	for end := w.now + span; w.now < end && w.violation == nil; {
		w.now += min(tickInterval, end-w.now)
		w.checkProperties() // before any process learns that time has passed
		for processIndex, p := range w.processes {
			if !p.paused {
				w.execute(processIndex, controlplane.Tick{})
			}
		}
		w.deliverAll()
		w.checkProperties()
	}
}

// execute runs a command on a process and applies the effects.
func (w *World) execute(processIndex int, command controlplane.Command) {
	p := w.processes[processIndex]
	if !p.up {
		return
	}
	next, effects, failed := p.execute(w.config, command, w.now)
	w.processes[processIndex] = next
	if failed != nil {
		w.addViolation(NoPanic, "%s: %v", p.name, failed)
	}
	for _, effect := range effects {
		if w.config.OnEffect != nil {
			w.config.OnEffect(w.now, processIndex, effect)
		}
		w.applyEffect(processIndex, effect)
	}
}

func (w *World) applyEffect(processIndex int, effect machine.Effect) {
	p := w.processes[processIndex]
	switch e := effect.(type) {
	case machine.Send:
		w.send(message{from: p.address(), to: e.To, body: e.Body})
	case machine.Persist:
		w.writeToDisk(processIndex, diskWrite{records: e.Records, token: e.Token})
	case machine.Compact:
		w.writeToDisk(processIndex, diskWrite{records: e.Records, isCompaction: true})
	case machine.Reply:
		w.checkReply(processIndex, e.Call, e.Body, e.Err)
	case machine.Broadcast:
		w.checkReply(processIndex, e.Call, e.Body, nil)
	case machine.Publish:
		w.checkPublished(processIndex, e.Update)
	case machine.Halt:
		w.processes[processIndex] = p.stopped(len(p.unsynced))
	}
}

// StatusLines returns a one-line description of each process.
func (w *World) StatusLines() []string {
	var lines []string
	for _, p := range w.processes {
		if !p.up {
			lines = append(lines, fmt.Sprintf("%s (%s): down", p.name, p.id()))
			continue
		}
		core := p.machine(w.config)
		vote := core.Vote()
		latest, _ := core.State().Latest()
		_, leased := w.readLatest(p)
		lines = append(lines, fmt.Sprintf("%s (%s): %s in epoch %d, lease %t, term %d, committed %d, newest configuration %d",
			p.name, p.id(), core.Groups().Group(coreUnit).Role, p.epoch, leased, vote.Term, vote.Committed.Epoch, latest.Number))
	}
	return lines
}
