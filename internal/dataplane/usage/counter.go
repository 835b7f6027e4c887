// Package usage counts the requests that started to run, for each wall-clock window and tenant
// (docs/notes/duties.md). A Counter is part of an edge's state machine and of its reports to the
// primary core (primaryreport.Part). It keeps a window until the primary replies that the counts of the
// window are decided, so that all of them can be reported again to a new primary.
//
// Nothing here reads a clock, and nothing is safe for concurrent use.
package usage

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/machine"
)

const (
	// maxWindows is the number of undecided windows that are kept; a new one displaces the oldest.
	maxWindows = 64
	// maxCounts limits the total number of counts in all kept windows; beyond it the oldest window is dropped.
	maxCounts = 32_768
)

// Settings configures a Counter.
type Settings struct {
	// Interval is the length of a window; window k starts k intervals after the Unix epoch. 0, the
	// default, disables counting.
	Interval clock.Micros
}

// Counter counts the requests that start at one edge.
type Counter struct {
	settings Settings
	calls    *machine.Calls
	windows  map[uint64]*window
	counts   int // over all windows
	// decidedUpTo is the last decided window according to the primary's replies.
	decidedUpTo uint64
	// reportedUpTo is the window in which the last acknowledged report was sent; 0: no report yet.
	reportedUpTo uint64

	// Counted and Dropped are metrics: the number of requests that started since the start of the
	// edge, and the number of those in windows that were dropped before they were decided.
	Counted, Dropped int64
}

// window holds the counts of one window.
type window struct {
	counts       map[string]int64 // by tenant
	acknowledged map[string]int64 // the counts that the primary has acknowledged
}

// NewCounter returns an empty counter.
func NewCounter(settings Settings, calls *machine.Calls) *Counter {
	return &Counter{settings: settings, calls: calls, windows: map[uint64]*window{}}
}

// IsEnabled reports whether requests are counted.
func (c *Counter) IsEnabled() bool { return c.settings.Interval > 0 }

// windowAt returns the number of the window that contains a time.
func (c *Counter) windowAt(now clock.Micros) uint64 { return uint64(now / c.settings.Interval) }

// RecordStart counts a request that has just started to run. A request without a tenant (tenant is "")
// is not counted.
func (c *Counter) RecordStart(tenant string, now clock.Micros) {
	if !c.IsEnabled() || tenant == "" {
		return
	}
	number := c.windowAt(now)
	known := c.windows[number]
	if known == nil {
		known = &window{counts: map[string]int64{}, acknowledged: map[string]int64{}}
		c.windows[number] = known
	}
	if known.counts[tenant] == 0 {
		c.counts++
	}
	known.counts[tenant]++
	c.Counted++
	c.dropExcess()
}

// dropExcess drops the oldest windows while maxWindows or maxCounts is exceeded.
func (c *Counter) dropExcess() {
	for len(c.windows) > maxWindows || (c.counts > maxCounts && len(c.windows) > 1) {
		oldest := slices.Min(slices.Collect(maps.Keys(c.windows)))
		requests := c.windows[oldest].total()
		c.Dropped += requests
		c.remove(oldest)
		c.calls.Emit(machine.LogEvent{Event: WindowDropped{Window: oldest, Requests: requests}})
	}
}

func (c *Counter) remove(number uint64) {
	c.counts -= len(c.windows[number].counts)
	delete(c.windows, number)
}

// total returns the number of requests counted in the window.
func (w *window) total() int64 {
	sum := int64(0)
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

// unacknowledged returns the counts that the primary has not acknowledged; nil if there are none.
func (w *window) unacknowledged() map[string]int64 {
	var unacknowledged map[string]int64
	for tenant, count := range w.counts {
		if count == w.acknowledged[tenant] {
			continue
		}
		if unacknowledged == nil {
			unacknowledged = map[string]int64{}
		}
		unacknowledged[tenant] = count
	}
	return unacknowledged
}

// Add adds the counts that changed to a report. If none changed, a report is still due once a window has ended:
// it shows the primary that the counts of that window are complete.
func (c *Counter) Add(report *primaryreport.Report, now clock.Micros) bool {
	if !c.IsEnabled() {
		return false
	}
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		if unacknowledged := c.windows[number].unacknowledged(); unacknowledged != nil {
			report.Usage = append(report.Usage, primaryreport.WindowCounts{Window: number, Counts: unacknowledged})
		}
	}
	return len(report.Usage) > 0 || c.windowAt(now) > c.reportedUpTo
}

// Acknowledged records the counts that the primary has received, and removes the windows that are decided.
func (c *Counter) Acknowledged(report primaryreport.Report, reply primaryreport.Reply) {
	if !c.IsEnabled() {
		return
	}
	c.reportedUpTo = max(c.reportedUpTo, c.windowAt(report.SentAt))
	for _, entry := range report.Usage {
		if known := c.windows[entry.Window]; known != nil {
			maps.Copy(known.acknowledged, entry.Counts)
		}
	}
	c.decidedUpTo = max(c.decidedUpTo, reply.UsageDecidedUpTo)
	for number := range c.windows {
		if number <= c.decidedUpTo {
			c.remove(number)
		}
	}
}

// Reset discards the acknowledgements of the former primary.
func (c *Counter) Reset() {
	c.reportedUpTo = 0
	for _, known := range c.windows {
		clear(known.acknowledged)
	}
}

// Undecided returns the number of requests in the kept windows, which are not decided yet.
func (c *Counter) Undecided() int64 {
	sum := int64(0)
	for _, known := range c.windows {
		sum += known.total()
	}
	return sum
}
