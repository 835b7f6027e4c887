// Package usage counts, for each window of the wall clock and each tenant, the requests that began to
// run (docs/notes/duties.md). A Counter is a part of an edge's state machine, and a part of its
// reports to the primary core (primaryreport.Part): it keeps a window until the primary replies that its
// counts are decided, so that all of it can be reported again to a new primary.
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
	// maxWindows is how many undecided windows are kept; the oldest is dropped for a new one.
	maxWindows = 64
	// maxCounts bounds the counts of all kept windows together; the oldest window is dropped.
	maxCounts = 32_768
)

// Settings of a Counter.
type Settings struct {
	// Interval is the length of a window; window k starts k intervals after 1970. 0, the default:
	// nothing is counted.
	Interval clock.Micros
}

// Counter counts the requests that begin at one edge.
type Counter struct {
	settings Settings
	calls    *machine.Calls
	windows  map[uint64]*window
	counts   int // over all windows
	// decidedUpTo is the last window that the primary replied to be decided.
	decidedUpTo uint64
	// reportedUpTo is the window in which the last acknowledged report was sent; 0 for none.
	reportedUpTo uint64

	// Counted and Dropped count requests since the start, for the operators: those that began, and
	// those of windows that were dropped undecided.
	Counted, Dropped int64
}

// window is what is kept of one window.
type window struct {
	counts       map[string]int64 // by tenant
	acknowledged map[string]int64 // what of them the primary has
}

// NewCounter makes a counter that has counted nothing.
func NewCounter(settings Settings, calls *machine.Calls) *Counter {
	return &Counter{settings: settings, calls: calls, windows: map[uint64]*window{}}
}

// IsEnabled tells whether requests are counted.
func (c *Counter) IsEnabled() bool { return c.settings.Interval > 0 }

// windowAt is the window that a time is in.
func (c *Counter) windowAt(now clock.Micros) uint64 { return uint64(now / c.settings.Interval) }

// RecordStart counts a request of a tenant that has just begun to run; tenant is "" where it has none.
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

// dropExcess drops the oldest windows while there is too much to keep.
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

// total is how many requests of a window were counted.
func (w *window) total() int64 {
	sum := int64(0)
	for _, count := range w.counts {
		sum += count
	}
	return sum
}

// unacknowledged are the counts that the primary doesn't have.
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

// Add adds the counts that changed. Where none did, a report is due once a window has ended: it shows the primary
// that the counts of the window are complete.
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

// Acknowledged records what the primary has, and forgets the windows that are decided.
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

// Reset forgets what the former primary has.
func (c *Counter) Reset() {
	c.reportedUpTo = 0
	for _, known := range c.windows {
		clear(known.acknowledged)
	}
}

// Undecided is how many requests are in the windows that are kept.
func (c *Counter) Undecided() int64 {
	sum := int64(0)
	for _, known := range c.windows {
		sum += known.total()
	}
	return sum
}
