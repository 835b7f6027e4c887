package modelcheck

import (
	"slices"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/replication"
)

// Spans of the events that let time go by: a tick, past a lease, past the
// time after which a silent core's seat is given away, and a long cut.
var (
	passSpans    = []clock.Micros{tickInterval, 1500 * clock.Millisecond, 6 * clock.Second, 20 * clock.Second}
	advanceSpans = []clock.Micros{tickInterval, replication.LeaseWait + tickInterval}
)

// EnabledEvents are the events that may come next.
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

// includes tells whether an event is among those to be tried.
func (c *Config) includes(e Event) bool {
	line := e.String() + " "
	return slices.ContainsFunc(c.OnlyEvents, func(fields string) bool { return strings.HasPrefix(line, fields+" ") })
}

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

func (c *eventCollector) addMessages() {
	type messageClass struct {
		from, to int
		kind     string
	}
	w, counts := c.w, map[messageClass]int{}
	for _, m := range w.inFlight {
		from, to := w.indexByAddress(m.from), w.indexByAddress(m.to)
		if from < 0 || to < 0 {
			continue
		}
		s := messageClass{from, to, m.kind()}
		index := counts[s]
		counts[s]++
		if m.isRoutine() && !w.config.FineGrained {
			continue
		}
		e := Event{Processes: []string{w.processes[from].name, w.processes[to].name}, Message: m.kind(), Index: index}
		kinds := []Kind{Deliver}
		if w.faultsUsed.messageFaults < w.config.Limits.MessageFaults {
			kinds = []Kind{Deliver, Drop, Repeat}
			if !m.delayed {
				kinds = append(kinds, Delay)
			}
		}
		for _, kind := range kinds {
			e.Kind = kind
			c.add(e)
		}
	}
}

//revive:disable-next-line:cyclomatic one case for each kind of trouble
func (c *eventCollector) addProcesses() {
	w := c.w
	crashes := w.faultsUsed.crashes < w.config.Limits.Crashes
	wipes := w.faultsUsed.wipes < w.config.Limits.Wipes && len(w.history.lost) < w.config.Tolerance() && w.history.bootstrapped
	maxUnsynced := 0
	for _, p := range w.processes {
		self := []string{p.name}
		if wipes {
			c.add(Event{Kind: Wipe, Processes: self})
			c.add(Event{Kind: Replace, Processes: self})
		}
		if !p.up {
			c.add(Event{Kind: Start, Processes: self})
			continue
		}
		maxUnsynced = max(maxUnsynced, len(p.unsynced))
		if crashes {
			for keep := 0; keep <= len(p.unsynced); keep++ {
				c.add(Event{Kind: Crash, Processes: self, KeepWrites: keep})
			}
		}
		if p.paused {
			c.add(Event{Kind: Resume, Processes: self})
			continue
		}
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
	if crashes {
		for keep := 0; keep <= maxUnsynced; keep++ {
			c.add(Event{Kind: CrashAll, KeepWrites: keep})
		}
	}
}

// addLinks may be cut once at a time: any set of fewer than half of the processes from
// the others, or one process in one direction.
func (c *eventCollector) addLinks() {
	w := c.w
	if len(w.cutLinks) > 0 {
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

// blockableTypes are the types of message that a link may lose while others pass.
var blockableTypes = []string{
	kindHeartbeat, kindVoteRequest, kindVoteResponse, kindCommit, kindCommitAck,
	kindSnapshotChunk, kindAppend, kindAppendAck, kindLeaseRequest, kindLeaseGrant,
}

// addMessageTypeBlocks has one type of message lost on one link.
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
