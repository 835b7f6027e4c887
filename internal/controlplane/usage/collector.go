package usage

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

const (
	// minDelay is the shortest time from the end of a window to its proposal.
	minDelay = 1500 * clock.Millisecond
	// waitPercent is the part of Settings.Delay for which reports are awaited.
	waitPercent = 60
	// listenTime is how long a new primary waits for reports where a window's wait is over already:
	// the edges have to learn first that it is primary.
	listenTime = 3 * clock.Second
	// maxAge is how old an undecided window may get; older ones are skipped.
	maxAge = 300 * clock.Second
	// maxWindows is how many undecided windows are proposed and kept.
	maxWindows = 64
	// keptWindows is how many decided windows are remembered, to tell late counts from repeated ones.
	keptWindows = 4
	// maxReporters and maxCounts bound what is kept: incarnations of edges, and the counts of all.
	maxReporters = 8192
	maxCounts    = 500_000
	// maxClockError is by how much the clocks of an edge and the primary may differ until the edge's clock counts as skewed.
	maxClockError = clock.Second
)

// InjectedFaults are set by tests only, to show that their checks find such a fault.
type InjectedFaults struct {
	AddRepeatedReports   bool // a report is added to the one before
	ForgetIncarnations   bool // a restarted edge's counts replace those of its former incarnation
	CountByArrival       bool // a count is taken for the window in which it arrives
	ProposeWithoutWait   bool // a window is proposed at its end, whoever has reported
	ProposeAfterElection bool // a new primary does not wait for what was reported to the former one
}

// Collector sums the counts of the edges.
type Collector struct {
	settings Settings
	faults   InjectedFaults
	emit     func(machine.Effect)

	now          clock.Micros
	epoch        uint64 // of the term that this core serves in
	servingSince clock.Micros
	// configuredAt is when the control state first had a configuration, as far as it is known; 0: it
	// has none.
	configuredAt  clock.Micros
	decidedUpTo   uint64 // the last window that is durably decided; 0: none is
	skippedBefore uint64 // the windows before this one are skipped

	edges     map[string]uint64 // the incarnations of the edges that live, by id
	reporters map[reporter]*reporterState
	counts    int // of all reporters, windows and tenants

	// Late, Skipped and Misdated are for the operators, since the start: requests that were reported after
	// their window was decided, windows that were skipped, and counts whose window is too far off.
	Late, Skipped, Misdated int64
}

// reporter is one incarnation of an edge.
type reporter struct {
	id          string
	incarnation uint64
}

// reporterState is what one reporter reported.
type reporterState struct {
	windows map[uint64]map[string]int64
	// completeUntil is up to when all that began was reported to this primary, by the edge's clock;
	// 0: nothing was.
	completeUntil clock.Micros
	clockError    clock.Micros // of its last report, and the time on the way
}

// NewCollector makes a collector; Start is called before its first proposal. What it logs is emitted.
func NewCollector(settings Settings, emit func(machine.Effect)) *Collector {
	return &Collector{settings: settings, emit: emit, edges: map[string]uint64{}, reporters: map[reporter]*reporterState{}}
}

// InjectFaults plants faults. For tests only.
func (c *Collector) InjectFaults(faults InjectedFaults) { c.faults = faults }

// Start begins a term of this core as primary. Counts that were reported before remain true, but more may
// have been reported to another primary since.
func (c *Collector) Start(epoch uint64, now clock.Micros) {
	c.epoch, c.servingSince, c.now = epoch, now, now
	c.decidedUpTo = 0
	for _, known := range c.reporters {
		known.completeUntil = 0
	}
}

// SetConfiguredAt sets when the control state first had a configuration; the first window is the one then.
func (c *Collector) SetConfiguredAt(at clock.Micros) { c.configuredAt = at }

// SetEdge sets whether an incarnation of an edge is alive.
func (c *Collector) SetEdge(id string, incarnation uint64, isLive bool) {
	switch {
	case isLive:
		c.edges[id] = incarnation
	case c.edges[id] <= incarnation:
		delete(c.edges, id)
	}
}

// SetDecided sets the last window that is decided on every member of the control state's group.
func (c *Collector) SetDecided(window uint64) {
	if window > c.decidedUpTo {
		c.decidedUpTo = window
		c.prune()
	}
}

// Advance sets the time. With each new window the oldest ones are dropped.
func (c *Collector) Advance(now clock.Micros) {
	before := c.now
	c.now = now
	if c.settings.window(now) != c.settings.window(before) {
		c.prune()
	}
}

// Receive takes an edge's report, and gives the reply.
func (c *Collector) Receive(report primaryreport.Report, now clock.Micros) primaryreport.Reply {
	c.now = now
	known := c.reporterOf(report)
	for _, entry := range report.Usage {
		c.receiveWindow(known, entry)
	}
	if known != nil {
		known.clockError = report.SentAt - now
		if report.Epoch == c.epoch {
			known.completeUntil = max(known.completeUntil, report.SentAt)
		}
	}
	return primaryreport.Reply{Epoch: c.epoch, UsageDecidedUpTo: c.decidedUpTo}
}

// reporterOf finds or adds who sent a report; nil where there are too many already.
func (c *Collector) reporterOf(report primaryreport.Report) *reporterState {
	key := reporter{report.Daemon, report.Incarnation}
	if c.faults.ForgetIncarnations {
		key.incarnation = 0
	}
	known := c.reporters[key]
	if known == nil && len(c.reporters) < maxReporters {
		known = &reporterState{windows: map[uint64]map[string]int64{}}
		c.reporters[key] = known
	}
	return known
}

// receiveWindow takes the counts of one window. They only grow, so of two reports the higher count is
// the later one.
func (c *Collector) receiveWindow(known *reporterState, entry primaryreport.WindowCounts) {
	number := entry.Window
	if c.faults.CountByArrival {
		number = c.settings.window(c.now)
	}
	if known == nil || !c.isNear(number) {
		c.Misdated += sumOf(entry.Counts)
		return
	}
	counts := known.windows[number]
	if counts == nil {
		if number <= c.decidedUpTo {
			c.Late += sumOf(entry.Counts)
			return
		}
		counts = map[string]int64{}
		known.windows[number] = counts
	}
	before := sumOf(counts)
	c.merge(counts, entry.Counts)
	if number <= c.decidedUpTo {
		c.Late += sumOf(counts) - before
	}
}

// merge takes the higher of each tenant's counts.
func (c *Collector) merge(counts, entry map[string]int64) {
	for tenant, count := range entry {
		before, isKnown := counts[tenant]
		switch {
		case !isKnown && c.counts >= maxCounts:
			c.Misdated += count
			continue
		case !isKnown:
			c.counts++
		}
		counts[tenant] = max(before, count)
		if c.faults.AddRepeatedReports || c.faults.CountByArrival {
			counts[tenant] = before + count
		}
	}
}

// isNear tells whether a window is neither too old to be reported nor too far ahead of the clock.
func (c *Collector) isNear(window uint64) bool {
	present := c.settings.window(c.now)
	return window+maxWindows >= present && window <= present+maxWindows
}

func sumOf(counts map[string]int64) int64 {
	sum := int64(0)
	for _, count := range counts {
		sum += count
	}
	return sum
}

// Due are the acts of the windows that are over and that are not decided in the table yet
// (exclusive.Source).
func (c *Collector) Due(table *exclusive.Table) []exclusive.Act {
	if c.configuredAt == 0 || c.epoch == 0 {
		return nil
	}
	var acts []exclusive.Act
	window := c.nextWindow(table.Record(Subject).LastNumber)
	for len(acts) < maxWindows/2 && c.isReady(window) {
		acts = append(acts, exclusive.Act{Subject: Subject, Number: window, Content: c.content(window).Encode()})
		window++
	}
	return acts
}

// nextWindow is the first window that is to be reported after the last one that was.
func (c *Collector) nextWindow(last uint64) uint64 {
	oldest := c.oldestWindow()
	if last == 0 {
		return max(oldest, c.settings.window(c.configuredAt))
	}
	next := max(last+1, c.skippedBefore)
	if next >= oldest {
		return next
	}
	c.skippedBefore = oldest
	c.Skipped += int64(oldest - next)
	c.emit(machine.LogEvent{Event: WindowsSkipped{First: next, Last: oldest - 1}})
	return oldest
}

// oldestWindow is the oldest window that is still reported.
func (c *Collector) oldestWindow() uint64 {
	byAge := c.settings.window(c.now - max(maxAge, 2*c.settings.Delay))
	present := c.settings.window(c.now)
	if present > maxWindows {
		return max(byAge, present-maxWindows)
	}
	return byAge
}

// isReady tells whether a window may be proposed: it is over, and every edge has reported all of it or has
// been awaited for long enough.
func (c *Collector) isReady(window uint64) bool {
	end := c.settings.end(window)
	if c.faults.ProposeWithoutWait {
		return c.now >= end
	}
	waitUntil := end + c.settings.Delay*waitPercent/100
	if !c.faults.ProposeAfterElection {
		waitUntil = max(waitUntil, c.servingSince+listenTime)
	}
	earliest := min(end+minDelay, waitUntil)
	return c.now >= earliest && (c.now >= waitUntil || c.isComplete(end))
}

// isComplete tells whether every live edge has reported to this primary all that began before a time. A
// primary that knows of no edge has not learnt of them yet.
func (c *Collector) isComplete(until clock.Micros) bool {
	if c.faults.ProposeAfterElection {
		return true
	}
	for id, incarnation := range c.edges {
		known := c.reporters[reporter{id, incarnation}]
		if known == nil || known.completeUntil < until {
			return false
		}
	}
	return len(c.edges) > 0
}

// content is what is known of a window now.
func (c *Collector) content(window uint64) Content {
	content := Content{Window: window, Counts: map[string]int64{}}
	for _, known := range c.reporters {
		for tenant, count := range known.windows[window] {
			content.Counts[tenant] += count
		}
	}
	return content
}

// prune drops what is not needed any more: windows that were decided, or are skipped, and edges that
// are gone and have reported no other window.
func (c *Collector) prune() {
	oldest := c.oldestWindow()
	for key, known := range c.reporters {
		for number, counts := range known.windows {
			if number+keptWindows <= c.decidedUpTo || number < oldest {
				c.counts -= len(counts)
				delete(known.windows, number)
			}
		}
		if len(known.windows) == 0 && c.edges[key.id] != key.incarnation {
			delete(c.reporters, key)
		}
	}
}

// Status is the collector's part of a core's figures.
type Status struct {
	Edges, UnreportedEdges int64 // live ones, and of them those that have reported nothing to this primary yet
	SkewedClocks           int64 // edges whose clocks differ from this core's
	DecidedUpTo            uint64
}

// Status gives what is known of the edges.
func (c *Collector) Status() Status {
	status := Status{Edges: int64(len(c.edges)), DecidedUpTo: c.decidedUpTo}
	for _, id := range slices.Sorted(maps.Keys(c.edges)) {
		known := c.reporters[reporter{id, c.edges[id]}]
		switch {
		case known == nil || known.completeUntil == 0:
			status.UnreportedEdges++
		case max(known.clockError, -known.clockError) > maxClockError:
			status.SkewedClocks++
		}
	}
	return status
}
