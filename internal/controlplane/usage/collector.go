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
	// minProposalDelay is the minimum time from the end of a window to its proposal.
	minProposalDelay = 1500 * clock.Millisecond
	// reportWaitPercent is the percentage of Settings.Delay to wait for missing reports.
	reportWaitPercent = 60
	// postElectionWait is how long a new primary waits for reports of windows whose wait is already
	// over: the edges must first learn that it is primary.
	postElectionWait = 3 * clock.Second
	// maxWindowAge is the maximum age of an undecided window; older ones are skipped.
	maxWindowAge = 300 * clock.Second
	// maxWindows is the maximum number of undecided windows that are proposed and retained.
	maxWindows = 64
	// retainedWindows is how many decided windows are retained, to distinguish late counts from repeated ones.
	retainedWindows = 4
	// maxReporters and maxCounts bound memory use: edge incarnations, and counts across all of them.
	maxReporters = 8192
	maxCounts    = 500_000
	// maxClockSkew is the maximum difference between an edge's clock and the primary's before the
	// edge's clock is reported as skewed.
	maxClockSkew = clock.Second
)

// InjectedFaults are set only by tests, to show that their checks detect such a fault.
type InjectedFaults struct {
	AddRepeatedReports   bool // counts of a report are added to those of earlier reports
	ForgetIncarnations   bool // a restarted edge shares the counts of its previous incarnation
	CountByArrival       bool // a count is attributed to the window in which it arrives
	ProposeWithoutWait   bool // a window is proposed at its end without waiting for reports
	ProposeAfterElection bool // a new primary does not wait for reports that went to the previous one
}

// Collector aggregates the request counts that the edges report, and proposes an act for each window.
type Collector struct {
	settings Settings
	faults   InjectedFaults
	emit     func(machine.Effect)

	now          clock.Micros
	epoch        uint64 // of the term in which this core is primary
	servingSince clock.Micros
	// configuredAt is when the control state first had a configuration, as far as known; 0 if it
	// has none.
	configuredAt  clock.Micros
	decidedUpTo   uint64 // the last window that is durably decided; 0 if none is
	skippedBefore uint64 // windows before this one are skipped

	liveEdges map[string]uint64 // incarnations of the live edges, by ID
	reporters map[reporter]*reporterState
	counts    int // entries across all reporters, windows and tenants

	// Late, Skipped and Misdated are counters for operators, since the start: requests reported after
	// their window was decided, windows that were skipped, and requests whose count was dropped
	// because its window is too far from the current one or a limit was reached.
	Late, Skipped, Misdated int64
}

// reporter is one incarnation of an edge.
type reporter struct {
	id          string
	incarnation uint64
}

// reporterState holds what one reporter has reported.
type reporterState struct {
	windows map[uint64]map[string]int64
	// completeUntil is the time, by the edge's clock, before which every request that began has been
	// reported to this primary; 0 if nothing has been.
	completeUntil clock.Micros
	clockOffset   clock.Micros // seen in its last report; includes the network delay
}

// NewCollector returns a collector. Start must be called before its first proposal. Log events go to emit.
func NewCollector(settings Settings, emit func(machine.Effect)) *Collector {
	return &Collector{settings: settings, emit: emit, liveEdges: map[string]uint64{}, reporters: map[reporter]*reporterState{}}
}

// InjectFaults sets the faults to simulate. For tests only.
func (c *Collector) InjectFaults(faults InjectedFaults) { c.faults = faults }

// Start begins a term with this core as primary. Counts reported earlier remain valid, but more may
// have been reported to another primary since.
func (c *Collector) Start(epoch uint64, now clock.Micros) {
	c.epoch, c.servingSince, c.now = epoch, now, now
	c.decidedUpTo = 0
	for _, state := range c.reporters {
		state.completeUntil = 0
	}
}

// SetConfiguredAt sets when the control state first had a configuration. The first window reported is
// the one that contains this time.
func (c *Collector) SetConfiguredAt(at clock.Micros) { c.configuredAt = at }

// SetEdge records whether an incarnation of an edge is alive.
func (c *Collector) SetEdge(id string, incarnation uint64, isLive bool) {
	switch {
	case isLive:
		c.liveEdges[id] = incarnation
	case c.liveEdges[id] <= incarnation:
		delete(c.liveEdges, id)
	}
}

// SetDecided sets the last window that is decided on every member of the control state's replication
// group.
func (c *Collector) SetDecided(window uint64) {
	if window > c.decidedUpTo {
		c.decidedUpTo = window
		c.prune()
	}
}

// Advance sets the time. When a new window begins, windows that are no longer needed are dropped.
func (c *Collector) Advance(now clock.Micros) {
	before := c.now
	c.now = now
	if c.settings.window(now) != c.settings.window(before) {
		c.prune()
	}
}

// Receive processes an edge's report and returns the reply.
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

// reporterStateFor returns the state of a report's sender, and creates it if needed. It returns nil if
// there are too many reporters.
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

// receiveWindow merges the counts of one window. Counts only grow, so of two reports the one with the
// higher count is the later.
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

// merge keeps the higher count of each tenant.
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

// isInRange reports whether a window is neither too old to be reported nor too far ahead of the clock.
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

// Due implements exclusive.Source. It returns the acts of the windows that have ended and are not yet
// decided in the table.
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

// nextWindow returns the first window to report after the last decided one, and logs the windows that
// it skips because they are too old.
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

// oldestReportableWindow returns the oldest window that may still be reported.
func (c *Collector) oldestReportableWindow() uint64 {
	byAge := c.settings.window(c.now - max(maxWindowAge, 2*c.settings.Delay))
	currentWindow := c.settings.window(c.now)
	if currentWindow > maxWindows {
		return max(byAge, currentWindow-maxWindows)
	}
	return byAge
}

// isReady reports whether a window may be proposed: it has ended, and either every live edge has reported
// all of it or the wait for missing reports is over.
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

// isComplete reports whether every live edge has reported to this primary all requests that began before
// a time. It is false if no edge is known, since the primary has then not learned of the edges yet.
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

// content returns the counts of a window as known now.
func (c *Collector) content(window uint64) Content {
	content := Content{Window: window, Counts: map[string]int64{}}
	for _, state := range c.reporters {
		for tenant, count := range state.windows[window] {
			content.Counts[tenant] += count
		}
	}
	return content
}

// prune drops what is no longer needed: windows that were decided more than retainedWindows ago or are
// too old, and edge incarnations that are no longer alive and have no windows left.
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

// Status is the collector's part of a core's metrics.
type Status struct {
	Edges, UnreportedEdges int64 // live edges, and those of them that have not yet reported to this primary
	SkewedClocks           int64 // edges whose clocks differ from this core's by more than maxClockSkew
	DecidedUpTo            uint64
}

// Status returns the state of the live edges' reports.
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
