package modelcheck

import (
	"fmt"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// message is one that is in flight.
type message struct {
	from, to string // addresses
	body     any
	delayed  bool // stays in flight while time goes by
}

// isRoutine tells whether a message only keeps what stands going: it is sent again and
// again, and the coarse runs let it travel while time goes by.
func (m message) isRoutine() bool {
	switch m.body.(type) {
	case election.Heartbeat, replication.LeaseRequest, replication.LeaseGrant:
		return true
	}
	return false
}

// maxInFlight bounds the messages in flight; the oldest routine ones are lost first.
const maxInFlight = 120

// link is one direction between two processes, by their places, for one type of
// message, or for all of them where it names none.
type link struct {
	from, to    int
	messageType string
}

// faultCounts counts the trouble that came so far.
type faultCounts struct {
	crashes, wipes, partitions, pauses, messageFaults, puts, timePasses, drains int
}

// World is all processes, the messages between them and what operators were told, at
// one point of a run.
type World struct {
	config     *Config
	now        clock.Micros
	processes  []*process
	inFlight   []message
	cutLinks   map[link]bool
	faultsUsed faultCounts
	history    history
	violation  *Violation
}

// NewWorld is an empty fleet whose processes have all been started.
func NewWorld(c *Config) *World {
	w := &World{config: c, now: virtualEpoch, cutLinks: map[link]bool{}}
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

// InitialWorld is the point from which runs are explored.
func (c *Config) InitialWorld() *World {
	w := NewWorld(c)
	if !c.StartEmpty {
		for i := 0; i < 40 && len(w.leaseHolders()) == 0; i++ {
			w.passTime(tickInterval)
		}
		w.passTime(2 * clock.Second)
	}
	for _, event := range c.InitialTrace {
		w, _ = w.Apply(event)
	}
	return w
}

// clone is the same state, to be changed on its own.
func (w *World) clone() *World {
	next := *w
	next.processes = slices.Clone(w.processes)
	next.inFlight = slices.Clone(w.inFlight)
	next.cutLinks = make(map[link]bool, len(w.cutLinks))
	for l := range w.cutLinks {
		next.cutLinks[l] = true
	}
	next.history = w.history.clone()
	return &next
}

// Violation is the property that was found broken, or nil.
func (w *World) Violation() *Violation { return w.violation }

func (w *World) indexByName(name string) int {
	return slices.IndexFunc(w.processes, func(p *process) bool { return p.name == name })
}

func (w *World) indexByAddress(address string) int {
	return slices.IndexFunc(w.processes, func(p *process) bool { return p.address() == address })
}

// execute has a process take a command and carries out what it decided.
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

func (w *World) send(m message) {
	w.checkSender(m)
	w.inFlight = append(w.inFlight, m)
	if len(w.inFlight) <= maxInFlight {
		return
	}
	oldest := max(0, slices.IndexFunc(w.inFlight, message.isRoutine))
	w.inFlight = slices.Delete(w.inFlight, oldest, oldest+1)
}

func (w *World) writeToDisk(processIndex int, request diskWrite) {
	next := *w.processes[processIndex]
	next.unsynced = append(slices.Clip(next.unsynced), request)
	next.cachedFingerprint = 0
	w.processes[processIndex] = &next
	if w.config.fault().EarlySync && !request.isCompaction {
		w.execute(processIndex, controlplane.Persisted{Token: request.token})
	}
}

// syncOldestWrite makes the oldest write of a process durable and tells the machine.
func (w *World) syncOldestWrite(processIndex int) bool {
	p := w.processes[processIndex]
	if len(p.unsynced) == 0 || p.diskBlocked {
		return false
	}
	request := p.unsynced[0]
	next := *p
	next.unsynced, next.cachedFingerprint = p.unsynced[1:], 0
	next.disk = withWrite(p.disk, request)
	w.processes[processIndex] = &next
	w.recordVotes(&next, request.records)
	if !request.isCompaction && !w.config.fault().EarlySync {
		w.execute(processIndex, controlplane.Persisted{Token: request.token})
	}
	return true
}

// deliver hands a message to its receiver; false where it can't arrive now.
func (w *World) deliver(m message) bool {
	from, to := w.indexByAddress(m.from), w.indexByAddress(m.to)
	if to < 0 || !w.processes[to].up || w.processes[to].paused || w.isBlocked(from, to, m.kind()) {
		return false
	}
	w.execute(to, controlplane.Message{From: m.from, Body: m.body})
	return true
}

// isBlocked tells whether a link or what it carries of a type is cut.
func (w *World) isBlocked(from, to int, kind string) bool {
	return w.cutLinks[link{from, to, ""}] || w.cutLinks[link{from, to, kind}]
}

// staysInFlight tells whether a message stays in flight while others travel.
func (w *World) staysInFlight(m message) bool {
	to := w.indexByAddress(m.to)
	return m.delayed || to >= 0 && w.processes[to].up && w.processes[to].paused
}

// maxDeliveryRounds bounds the exchanges that one moment may take.
const maxDeliveryRounds = 40

// deliverAll delivers all messages that aren't held, and syncs all writes.
func (w *World) deliverAll() {
	for range maxDeliveryRounds {
		moved := false
		for processIndex, p := range w.processes {
			for !p.paused && w.syncOldestWrite(processIndex) {
				moved = true
			}
		}
		run := w.inFlight
		w.inFlight = nil
		for _, m := range run {
			if w.staysInFlight(m) {
				w.inFlight = append(w.inFlight, m)
				continue
			}
			moved = true
			w.deliver(m)
		}
		if !moved {
			return
		}
	}
}

// tickInterval is how often ticks come while time goes by fairly.
const tickInterval = 250 * clock.Millisecond

// passTime lets time go by fairly: each process has its ticks, messages arrive
// and writes are synced.
func (w *World) passTime(span clock.Micros) {
	for end := w.now + span; w.now < end && w.violation == nil; {
		w.now += min(tickInterval, end-w.now)
		w.checkProperties() // before anybody hears that time went by
		for processIndex, p := range w.processes {
			if !p.paused {
				w.execute(processIndex, controlplane.Tick{})
			}
		}
		w.deliverAll()
		w.checkProperties()
	}
}

// findMessage is the place of a message in flight, by its link, type and turn.
func (w *World) findMessage(e Event) int {
	from, to := w.indexByName(e.Processes[0]), w.indexByName(e.Processes[1])
	turn := 0
	for i, m := range w.inFlight {
		if w.indexByAddress(m.from) != from || w.indexByAddress(m.to) != to || from < 0 || to < 0 || m.kind() != e.Message {
			continue
		}
		if turn == e.Index {
			return i
		}
		turn++
	}
	return -1
}

// Apply is the state after an event; false where the event can't happen.
func (w *World) Apply(e Event) (*World, bool) {
	next := w.clone()
	if !next.apply(e) {
		return w, false
	}
	next.checkProperties()
	return next, true
}

func (w *World) apply(e Event) bool {
	switch e.Kind {
	case PassTime:
		w.faultsUsed.timePasses++
		w.passTime(e.Duration)
		return true
	case AdvanceClocks:
		w.faultsUsed.timePasses++
		w.now += e.Duration
		return true
	case DeliverAll:
		w.deliverAll()
		return true
	case Deliver, Drop, Repeat, Delay:
		return w.applyToMessage(e)
	case Partition, BlockOutgoing, BlockIncoming, BlockMessageType, Heal:
		return w.applyToLinks(e)
	case CrashAll:
		w.faultsUsed.crashes++
		for processIndex, p := range w.processes {
			if p.up {
				w.processes[processIndex] = p.stopped(e.KeepWrites)
			}
		}
		return true
	}
	processIndex := w.indexByName(e.Processes[0])
	return processIndex >= 0 && w.applyToProcess(e, processIndex)
}

func (w *World) applyToMessage(e Event) bool {
	i := w.findMessage(e)
	if i < 0 {
		return false
	}
	m := w.inFlight[i]
	if e.Kind != Deliver {
		w.faultsUsed.messageFaults++
	}
	switch e.Kind {
	case Delay:
		w.inFlight[i].delayed = true
		return !m.delayed
	case Deliver, Drop:
		w.inFlight = slices.Delete(w.inFlight, i, i+1)
	}
	return e.Kind == Drop || w.deliver(m)
}

func (w *World) applyToLinks(e Event) bool {
	before := len(w.cutLinks)
	if e.Kind == Heal {
		clear(w.cutLinks)
		return before > 0
	}
	w.faultsUsed.partitions++
	if e.Kind == BlockMessageType {
		from, to := w.indexByName(e.Processes[0]), w.indexByName(e.Processes[1])
		w.cutLinks[link{from, to, e.Message}] = true
		return from >= 0 && to >= 0 && len(w.cutLinks) > before
	}
	for from, sender := range w.processes {
		for to, receiver := range w.processes {
			out, in := slices.Contains(e.Processes, sender.name), slices.Contains(e.Processes, receiver.name)
			if e.Kind == Partition && out != in || e.Kind == BlockOutgoing && out && !in || e.Kind == BlockIncoming && in && !out {
				w.cutLinks[link{from, to, ""}] = true
			}
		}
	}
	return len(w.cutLinks) > before
}

//revive:disable-next-line:cyclomatic one case for each kind of event
func (w *World) applyToProcess(e Event, processIndex int) bool {
	p := w.processes[processIndex]
	if e.Kind != Start && e.Kind != Wipe && e.Kind != Replace && !p.up {
		return false
	}
	switch e.Kind {
	case Tick:
		if p.paused {
			return false
		}
		w.execute(processIndex, controlplane.Tick{})
	case Sync:
		return !p.paused && w.syncOldestWrite(processIndex)
	case Crash:
		w.faultsUsed.crashes++
		w.processes[processIndex] = p.stopped(e.KeepWrites)
	case Start:
		if p.up {
			return false
		}
		w.processes[processIndex] = p.restarted(w.config)
	case Wipe, Replace:
		w.faultsUsed.wipes++
		w.wipe(processIndex, e.Kind == Replace)
	case Pause, Resume:
		next := *p
		next.paused, next.cachedFingerprint = e.Kind == Pause, 0
		if next.paused {
			w.faultsUsed.pauses++
		}
		w.processes[processIndex] = &next
		return next.paused != p.paused
	case BlockDisk, UnblockDisk:
		return w.setDiskBlocked(processIndex, e.Kind == BlockDisk)
	case PutConfiguration:
		return w.putConfiguration(processIndex, e.Request)
	case Drain:
		w.faultsUsed.drains++
		return w.drain(processIndex)
	}
	return true
}

// setDiskBlocked has the disk of a process take no writes, or take them again.
func (w *World) setDiskBlocked(processIndex int, blocked bool) bool {
	before := w.processes[processIndex].diskBlocked
	next := *w.processes[processIndex]
	next.diskBlocked, next.diskUnblockedAt, next.cachedFingerprint = blocked, w.now, 0
	w.processes[processIndex] = &next
	if blocked {
		w.faultsUsed.pauses++
	}
	w.execute(processIndex, controlplane.DiskStateChanged{State: machine.DiskState{Writable: !blocked, Reason: "explored"}})
	return before != blocked
}

// drain tells a process that it is about to go.
func (w *World) drain(processIndex int) bool {
	w.execute(processIndex, controlplane.Drain{})
	next := *w.processes[processIndex]
	next.draining, next.cachedFingerprint = true, 0
	w.processes[processIndex] = &next
	return true
}

// wipe ends a process for good and starts an empty one in its place.
func (w *World) wipe(processIndex int, atNewAddress bool) {
	p := w.processes[processIndex]
	w.history.lost = append(w.history.lost, p.id())
	w.history.wiped = append(w.history.wiped, p.id())
	address := p.address()
	if atNewAddress {
		address = p.name + "-moved"
		for w.indexByAddress(address) >= 0 {
			address += "-again"
		}
	}
	next := w.config.newProcess(processIndex, p.generation+1, address)
	if w.config.fault().KeepIdentity {
		next.boot.self.ID, next.boot.incarnation = p.boot.self.ID, p.boot.incarnation
	}
	w.processes[processIndex] = next.restarted(w.config)
}

// putConfiguration hands an operator's order to a process that serves.
func (w *World) putConfiguration(processIndex int, name string) bool {
	index := slices.IndexFunc(operatorRequests, func(o Request) bool { return o.Name == name })
	if index < 0 || w.processes[processIndex].paused {
		return false
	}
	w.faultsUsed.puts++
	w.submit(processIndex, w.history.recordCall(index), operatorRequests[index])
	return true
}

func (w *World) submit(processIndex int, call uint64, request Request) {
	w.execute(processIndex, controlplane.Call{Number: call, Body: controlplane.PutConfigurationRequest{Body: []byte(request.Body), Number: request.Number,
		Base: request.Base, HasBase: request.HasBase, By: "operator", Timeout: requestTimeout}})
}

// StatusLines tells how each process stands, a line each.
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
