package usage

import (
	"fmt"
	"maps"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/machine"
)

const testInterval = 5 * clock.Second

// at returns a time within a window.
func at(window int64) clock.Micros { return window*testInterval + clock.Second }

func newTestCounter() (*Counter, *machine.Calls) {
	calls := machine.NewCalls()
	return NewCounter(Settings{Interval: testInterval}, calls), calls
}

// report returns the report that the counter has due; nil if there is none.
func report(c *Counter, now clock.Micros) *primaryreport.Report {
	out := &primaryreport.Report{SentAt: now}
	if !c.Add(out, now) {
		return nil
	}
	return out
}

func TestOnlyChangedCountsAreReported(t *testing.T) {
	c, _ := newTestCounter()
	c.RecordStart("a", at(7))
	c.RecordStart("a", at(7))
	c.RecordStart("b", at(7))
	c.RecordStart("", at(7))
	first := report(c, at(7))
	if first == nil || len(first.Usage) != 1 || first.Usage[0].Window != 7 || !maps.Equal(first.Usage[0].Counts, map[string]int64{"a": 2, "b": 1}) {
		t.Fatalf("first report: %+v", first)
	}
	c.RecordStart("a", at(7))
	c.Acknowledged(*first, primaryreport.Reply{})
	second := report(c, at(7))
	if second == nil || !maps.Equal(second.Usage[0].Counts, map[string]int64{"a": 3}) {
		t.Fatalf("second report: %+v", second)
	}
	c.Acknowledged(*second, primaryreport.Reply{})
	if again := report(c, at(7)); again != nil {
		t.Errorf("report without changes: %+v", again)
	}
	c.Reset()
	if afterReset := report(c, at(7)); afterReset == nil || !maps.Equal(afterReset.Usage[0].Counts, map[string]int64{"a": 3, "b": 1}) {
		t.Errorf("report to another primary: %+v", afterReset)
	}
}

// The primary waits for each edge to report that a window has ended, even if the edge counted nothing.
func TestEndOfWindowIsReported(t *testing.T) {
	c, _ := newTestCounter()
	idle := report(c, at(7))
	if idle == nil || len(idle.Usage) > 0 {
		t.Fatalf("report of an idle edge: %+v", idle)
	}
	c.Acknowledged(*idle, primaryreport.Reply{})
	if again := report(c, at(7)+1); again != nil {
		t.Errorf("second report in one window: %+v", again)
	}
	if next := report(c, at(8)); next == nil {
		t.Error("no report at the start of the next window")
	}
}

func TestDecidedWindowsAreRemoved(t *testing.T) {
	c, _ := newTestCounter()
	for window := int64(7); window < 10; window++ {
		c.RecordStart("a", at(window))
	}
	c.Acknowledged(primaryreport.Report{SentAt: at(9)}, primaryreport.Reply{UsageDecidedUpTo: 8})
	if left := report(c, at(9)); len(left.Usage) != 1 || left.Usage[0].Window != 9 || c.Undecided() != 1 {
		t.Errorf("reported %+v", left)
	}
}

func TestKeptWindowsAndCountsAreBounded(t *testing.T) {
	c, calls := newTestCounter()
	for window := int64(1); window <= maxWindows+3; window++ {
		c.RecordStart("a", at(window))
	}
	events := calls.Drain()
	if len(c.windows) != maxWindows || c.Dropped != 3 || len(events) != 3 {
		t.Fatalf("%d windows, %d dropped, %d events", len(c.windows), c.Dropped, len(events))
	}
	if first := events[0].(machine.LogEvent).Event.(WindowDropped); first.Window != 1 || first.Requests != 1 {
		t.Errorf("first event: %+v", first)
	}
	for tenant := range maxCounts + 10 {
		c.RecordStart(fmt.Sprint("t", tenant), at(maxWindows+4))
	}
	if len(c.windows) != 1 || c.counts < maxCounts {
		t.Errorf("%d windows with %d counts", len(c.windows), c.counts)
	}
}

// An edge without usage reporting counts and reports nothing.
func TestZeroIntervalDisablesCounting(t *testing.T) {
	c := NewCounter(Settings{}, machine.NewCalls())
	c.RecordStart("a", at(1))
	c.Acknowledged(primaryreport.Report{}, primaryreport.Reply{UsageDecidedUpTo: 3})
	if c.Counted != 0 || report(c, at(2)) != nil {
		t.Error("counted")
	}
}
