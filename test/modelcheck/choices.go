package modelcheck

import (
	"slices"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// Durations of the events that let time pass: one tick, longer than a lease, longer than the
// time after which an unreachable core is replaced, and a long partition.
var (
	passSpans    = []clock.Micros{tickInterval, 1500 * clock.Millisecond, 6 * clock.Second, 20 * clock.Second}
	advanceSpans = []clock.Micros{tickInterval, replication.LeaseWait + tickInterval}
)

// EnabledEvents returns the events that may happen next.
func (w *World) EnabledEvents() []Event {
	c := eventCollector{w: w}
	c.addTime()
	c.addMessages()
	c.addProcesses()
	c.addLinks()
	c.addRequests()
	if len(w.config.OnlyEvents) == 0 {
		return c.events
	}
	return slices.DeleteFunc(c.events, func(e Event) bool { return !w.config.includes(e) })
}

// includes reports whether an event is among those to be explored.
func (c *Config) includes(e Event) bool {
	spelling := e.String() + " "
	return slices.ContainsFunc(c.OnlyEvents, func(fields string) bool { return strings.HasPrefix(spelling, fields+" ") })
}

// eventCollector collects the enabled events of a state, in a fixed order.
type eventCollector struct {
	w      *World
	events []Event
}

func (c *eventCollector) add(e Event) { c.events = append(c.events, e) }

func (c *eventCollector) addTime() {
	w := c.w
	if len(w.inFlight) > 0 || slices.ContainsFunc(w.processes, func(p *process) bool { return len(p.unsynced) > 0 }) {
		c.add(Event{Kind: DeliverAll})
	}
	if w.faultsUsed.timePasses >= w.config.Limits.TimePasses {
		return
	}
	for _, span := range passSpans {
		c.add(Event{Kind: PassTime, Duration: span})
	}
	if w.config.FineGrained {
		for _, span := range advanceSpans {
			c.add(Event{Kind: AdvanceClocks, Duration: span})
		}
	}
}

// messageClass identifies a message in flight in a trace, together with its index among the
// messages of the same class.
type messageClass struct {
	from, to int
	kind     string
}

func (c *eventCollector) addMessages() {
	w, counts := c.w, map[messageClass]int{}
	for _, m := range w.inFlight {
		class := messageClass{w.indexByAddress(m.from), w.indexByAddress(m.to), m.kind()}
		if class.from < 0 || class.to < 0 {
			continue
		}
		index := counts[class]
		counts[class]++
		if m.isRoutine() && !w.config.FineGrained {
			continue
		}
		for _, kind := range c.messageEvents(m) {
			c.add(Event{
				Kind:      kind,
				Processes: []string{w.processes[class.from].name, w.processes[class.to].name},
				Message:   class.kind,
				Index:     index,
			})
		}
	}
}

// messageEvents returns the kinds of event that may happen next to a message.
func (c *eventCollector) messageEvents(m message) []EventKind {
	switch {
	case c.w.faultsUsed.messageFaults >= c.w.config.Limits.MessageFaults:
		return []EventKind{Deliver}
	case m.delayed:
		return []EventKind{Deliver, Drop, Repeat}
	}
	return []EventKind{Deliver, Drop, Repeat, Delay}
}

func (c *eventCollector) addProcesses() {
	for _, p := range c.w.processes {
		c.addWipes(p)
		if !p.up {
			c.add(Event{Kind: Start, Processes: []string{p.name}})
			continue
		}
		c.addCrashes(p)
		if p.paused {
			c.add(Event{Kind: Resume, Processes: []string{p.name}})
			continue
		}
		c.addRunning(p)
	}
	c.addCrashOfAll()
}

// addWipes adds the loss of a process's disk, if the voters tolerate one more loss.
func (c *eventCollector) addWipes(p *process) {
	w := c.w
	tolerated := len(w.history.lost) < w.config.Tolerance() && w.history.bootstrapped
	if !tolerated || w.faultsUsed.wipes >= w.config.Limits.Wipes {
		return
	}
	c.add(Event{Kind: Wipe, Processes: []string{p.name}})
	c.add(Event{Kind: Replace, Processes: []string{p.name}})
}

func (c *eventCollector) mayCrash() bool {
	return c.w.faultsUsed.crashes < c.w.config.Limits.Crashes
}

// addCrashes adds a crash of a process for each prefix of its unsynced writes that may be on disk.
func (c *eventCollector) addCrashes(p *process) {
	if !c.mayCrash() {
		return
	}
	for keep := 0; keep <= len(p.unsynced); keep++ {
		c.add(Event{Kind: Crash, Processes: []string{p.name}, KeepWrites: keep})
	}
}

// addCrashOfAll adds crashes of all processes, one for each maximum number of unsynced writes that
// a process keeps on its disk.
func (c *eventCollector) addCrashOfAll() {
	if !c.mayCrash() {
		return
	}
	maxUnsynced := 0
	for _, p := range c.w.processes {
		if p.up {
			maxUnsynced = max(maxUnsynced, len(p.unsynced))
		}
	}
	for keep := 0; keep <= maxUnsynced; keep++ {
		c.add(Event{Kind: CrashAll, KeepWrites: keep})
	}
}

// addRunning adds the events of a process that is up and not paused.
func (c *eventCollector) addRunning(p *process) {
	w, self := c.w, []string{p.name}
	if !w.config.StartEmpty && w.faultsUsed.drains < w.config.Limits.Drains {
		c.add(Event{Kind: Drain, Processes: self})
	}
	if w.faultsUsed.pauses < w.config.Limits.Pauses {
		c.add(Event{Kind: Pause, Processes: self})
		if !p.diskBlocked {
			c.add(Event{Kind: BlockDisk, Processes: self})
		}
	}
	if p.diskBlocked {
		c.add(Event{Kind: UnblockDisk, Processes: self})
	}
	if w.config.FineGrained {
		c.add(Event{Kind: Tick, Processes: self})
	}
	if len(p.unsynced) > 0 {
		c.add(Event{Kind: Sync, Processes: self})
	}
}

// addLinks adds partitions: one process, or two among more than three, separated from the others,
// or one process blocked in one direction.
func (c *eventCollector) addLinks() {
	w := c.w
	if len(w.blockedLinks) > 0 {
		c.add(Event{Kind: Heal})
	}
	if w.faultsUsed.partitions >= w.config.Limits.Partitions || w.config.Voters == 1 {
		return
	}
	if w.config.FineGrained {
		c.addMessageTypeBlocks()
	}
	for i, p := range w.processes {
		c.add(Event{Kind: Partition, Processes: []string{p.name}})
		c.add(Event{Kind: BlockOutgoing, Processes: []string{p.name}})
		c.add(Event{Kind: BlockIncoming, Processes: []string{p.name}})
		for _, other := range w.processes[i+1:] {
			if len(w.processes) > 3 {
				c.add(Event{Kind: Partition, Processes: []string{p.name, other.name}})
			}
		}
	}
}

// blockableTypes are the kinds of message that a link may lose while others pass.
var blockableTypes = []string{
	kindHeartbeat, kindVoteRequest, kindVoteResponse, kindCommit, kindCommitAck,
	kindSnapshotChunk, kindAppend, kindAppendAck, kindLeaseRequest, kindLeaseGrant,
}

// addMessageTypeBlocks adds the loss of one kind of message on one link.
func (c *eventCollector) addMessageTypeBlocks() {
	for _, from := range c.w.processes {
		for _, to := range c.w.processes {
			if from.name == to.name {
				continue
			}
			for _, kind := range blockableTypes {
				c.add(Event{Kind: BlockMessageType, Processes: []string{from.name, to.name}, Message: kind})
			}
		}
	}
}

func (c *eventCollector) addRequests() {
	w := c.w
	if w.faultsUsed.puts >= w.config.Limits.Puts {
		return
	}
	for _, p := range w.processes {
		if !p.up || p.paused || !p.isServing {
			continue
		}
		for _, request := range operatorRequests {
			if request.Name == finalRequest {
				continue
			}
			c.add(Event{Kind: PutConfiguration, Processes: []string{p.name}, Request: request.Name})
		}
	}
}
