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
	// minProposalDelay is the shortest time from the end of a window to its proposal.
	minProposalDelay = 1500 * clock.Millisecond
	// reportWaitPercent is the part of Settings.Delay for which reports are awaited.
	reportWaitPercent = 60
	// postElectionWait is how long a new primary waits for reports where a window's wait is over already:
	// the edges have to learn first that it is primary.
	postElectionWait = 3 * clock.Second
	// maxWindowAge is how old an undecided window may get; older ones are skipped.
	maxWindowAge = 300 * clock.Second
	// maxWindows is how many undecided windows are proposed and kept.
	maxWindows = 64
	// retainedWindows is how many decided windows are remembered, to tell late counts from repeated ones.
	retainedWindows = 4
	// maxReporters and maxCounts bound what is kept: incarnations of edges, and the counts of all.
	maxReporters = 8192
	maxCounts    = 500_000
	// maxClockSkew is by how much the clocks of an edge and the primary may differ until the edge's clock counts as skewed.
	maxClockSkew = clock.Second
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

	liveEdges map[string]uint64 // the incarnations of the edges that live, by id
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
	clockOffset   clock.Micros // of its last report, and the time on the way
}

// NewCollector makes a collector; Start is called before its first proposal. What it logs is emitted.
func NewCollector(settings Settings, emit func(machine.Effect)) *Collector {
	return &Collector{settings: settings, emit: emit, liveEdges: map[string]uint64{}, reporters: map[reporter]*reporterState{}}
}

// InjectFaults plants faults. For tests only.
func (c *Collector) InjectFaults(faults InjectedFaults) { c.faults = faults }

// Start begins a term of this core as primary. Counts that were reported before remain true, but more may
// have been reported to another primary since.
func (c *Collector) Start(epoch uint64, now clock.Micros) {
	c.epoch, c.servingSince, c.now = epoch, now, now
	c.decidedUpTo = 0
	for _, state := range c.reporters {
		state.completeUntil = 0
	}
}

// SetConfiguredAt sets when the control state first had a configuration; the first window is the one then.
func (c *Collector) SetConfiguredAt(at clock.Micros) { c.configuredAt = at }

// SetEdge sets whether an incarnation of an edge is alive.
func (c *Collector) SetEdge(id string, incarnation uint64, isLive bool) {
	switch {
	case isLive:
		c.liveEdges[id] = incarnation
	case c.liveEdges[id] <= incarnation:
		delete(c.liveEdges, id)
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
	state := c.reporterStateFor(report)
	for _, entry := range report.Usage {
		c.receiveWindow(state, entry)
	}
	if state != nil {
		state.clockOffset = report.SentAt - now
		if report.Epoch == c.epoch {
			state.completeUntil = max(state.completeUntil, report.SentAt)
		}
	}
	return primaryreport.Reply{Epoch: c.epoch, UsageDecidedUpTo: c.decidedUpTo}
}

// reporterStateFor finds or adds who sent a report; nil where there are too many already.
func (c *Collector) reporterStateFor(report primaryreport.Report) *reporterState {
	key := reporter{report.Daemon, report.Incarnation}
	if c.faults.ForgetIncarnations {
		key.incarnation = 0
	}
	state := c.reporters[key]
	if state == nil && len(c.reporters) < maxReporters {
		state = &reporterState{windows: map[uint64]map[string]int64{}}
		c.reporters[key] = state
	}
	return state
}

// receiveWindow takes the counts of one window. They only grow, so of two reports the higher count is
// the later one.
func (c *Collector) receiveWindow(state *reporterState, entry primaryreport.WindowCounts) {
	number := entry.Window
	if c.faults.CountByArrival {
		number = c.settings.window(c.now)
	}
	if state == nil || !c.isInRange(number) {
		c.Misdated += sumCounts(entry.Counts)
		return
	}
	counts := state.windows[number]
	if counts == nil {
		if number <= c.decidedUpTo {
			c.Late += sumCounts(entry.Counts)
			return
		}
		counts = map[string]int64{}
		state.windows[number] = counts
	}
	before := sumCounts(counts)
	c.merge(counts, entry.Counts)
	if number <= c.decidedUpTo {
		c.Late += sumCounts(counts) - before
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

// isInRange tells whether a window is neither too old to be reported nor too far ahead of the clock.
func (c *Collector) isInRange(window uint64) bool {
	currentWindow := c.settings.window(c.now)
	return window+maxWindows >= currentWindow && window <= currentWindow+maxWindows
}

func sumCounts(counts map[string]int64) int64 {
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
	oldest := c.oldestReportableWindow()
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

// oldestReportableWindow is the oldest window that is still reported.
func (c *Collector) oldestReportableWindow() uint64 {
	byAge := c.settings.window(c.now - max(maxWindowAge, 2*c.settings.Delay))
	currentWindow := c.settings.window(c.now)
	if currentWindow > maxWindows {
		return max(byAge, currentWindow-maxWindows)
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
	waitUntil := end + c.settings.Delay*reportWaitPercent/100
	if !c.faults.ProposeAfterElection {
		waitUntil = max(waitUntil, c.servingSince+postElectionWait)
	}
	earliest := min(end+minProposalDelay, waitUntil)
	return c.now >= earliest && (c.now >= waitUntil || c.isComplete(end))
}

// isComplete tells whether every live edge has reported to this primary all that began before a time. A
// primary that knows of no edge has not learnt of them yet.
func (c *Collector) isComplete(until clock.Micros) bool {
	if c.faults.ProposeAfterElection {
		return true
	}
	for id, incarnation := range c.liveEdges {
		state := c.reporters[reporter{id, incarnation}]
		if state == nil || state.completeUntil < until {
			return false
		}
	}
	return len(c.liveEdges) > 0
}

// content is what is known of a window now.
func (c *Collector) content(window uint64) Content {
	content := Content{Window: window, Counts: map[string]int64{}}
	for _, state := range c.reporters {
		for tenant, count := range state.windows[window] {
			content.Counts[tenant] += count
		}
	}
	return content
}

// prune drops what is not needed any more: windows that were decided, or are skipped, and edges that
// are gone and have reported no other window.
func (c *Collector) prune() {
	oldest := c.oldestReportableWindow()
	for key, state := range c.reporters {
		for number, counts := range state.windows {
			if number+retainedWindows <= c.decidedUpTo || number < oldest {
				c.counts -= len(counts)
				delete(state.windows, number)
			}
		}
		if len(state.windows) == 0 && c.liveEdges[key.id] != key.incarnation {
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
	status := Status{Edges: int64(len(c.liveEdges)), DecidedUpTo: c.decidedUpTo}
	for _, id := range slices.Sorted(maps.Keys(c.liveEdges)) {
		state := c.reporters[reporter{id, c.liveEdges[id]}]
		switch {
		case state == nil || state.completeUntil == 0:
			status.UnreportedEdges++
		case max(state.clockOffset, -state.clockOffset) > maxClockSkew:
			status.SkewedClocks++
		}
	}
	return status
}
