package controlplane

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/exclusive"
)

// usageReportingCluster returns a cluster with a configuration and one edge, whose cores report usage in
// windows of 5 s.
func usageReportingCluster(t *testing.T) *testCluster {
	t.Helper()
	settings := smallSettings()
	settings.Usage.Interval = 5 * clock.Second
	b := bootstrappedCluster(t, settings)
	b.advance(10 * clock.Second) // the numbers of the first windows are not valid as numbers of acts
	b.call(b.primary(), putRequest(1, 0, `{}`))
	b.deliverAll()
	for _, core := range b.cores {
		core.Do(EdgeHealth{ID: "edge", Incarnation: 1, IsLive: true}, b.now)
	}
	return b
}

// sendReport sends a core the edge's count for a window.
func (b *testCluster) sendReport(core *Core, window uint64, count int64) uint64 {
	call := b.call(core, primaryreport.Report{
		Daemon: "edge", Incarnation: 1, Epoch: b.primary().group().Epoch, SentAt: b.now,
		Usage: []primaryreport.WindowCounts{{Window: window, Counts: map[string]int64{"t": count}}},
	})
	b.deliverAll()
	return call
}

func (b *testCluster) currentWindow() uint64 { return uint64(b.now / (5 * clock.Second)) }

// awaitUsagePermit advances the time until a node gets a permit for a window's report, and returns
// its content.
func (b *testCluster) awaitUsagePermit(t *testing.T, window uint64) string {
	t.Helper()
	for range 200 {
		b.advance(100 * clock.Millisecond)
		for _, permit := range b.permits(t, nodeA) {
			if permit.Subject == usage.Subject && permit.Number == window {
				return string(permit.Content)
			}
		}
	}
	t.Fatalf("no permit for window %d within 20 s", window)
	return ""
}

func TestDecidedWindowIsReportedToTheEdges(t *testing.T) {
	b := usageReportingCluster(t)
	window := b.currentWindow()
	reply := b.reply(t, b.sendReport(b.primary(), window, 4)).Body.(primaryreport.Reply)
	if reply.Epoch != b.primary().group().Epoch || reply.UsageDecidedUpTo >= window {
		t.Fatalf("reply to the first report: %+v, want the current epoch and the window undecided", reply)
	}
	b.advance(5 * clock.Second)
	b.sendReport(b.primary(), window, 6)
	if content := b.awaitUsagePermit(t, window); content != string(usage.Content{Window: window, Counts: map[string]int64{"t": 6}}.Encode()) {
		t.Errorf("permit content %s, want the latest count", content)
	}
	if reply := b.reply(t, b.sendReport(b.primary(), window+1, 1)).Body.(primaryreport.Reply); reply.UsageDecidedUpTo != window {
		t.Errorf("reply %+v, want the window decided", reply)
	}
}

// An edge discards the counts of windows reported to it as decided, so the decision must be on
// every replica's disk first.
func TestWindowIsDecidedOnlyOnceConfirmed(t *testing.T) {
	b := usageReportingCluster(t)
	window := b.currentWindow()
	b.sendReport(b.primary(), window, 4)
	b.advance(8 * clock.Second)
	b.sendReport(b.primary(), window, 4)
	b.drop = isAppend
	b.call(b.primary(), exclusive.Request{Holder: nodeA})
	b.deliverAll()
	if last := b.primary().State().Acts.Record(usage.Subject).LastNumber; last < window {
		t.Fatalf("window %d is not in flight; the last number is %d", window, last)
	}
	if reply := b.reply(t, b.sendReport(b.primary(), window+1, 1)).Body.(primaryreport.Reply); reply.UsageDecidedUpTo >= window {
		t.Errorf("reply %+v before the replicas have the decision", reply)
	}
	b.drop = nil
	b.advance(500 * clock.Millisecond)
	if reply := b.reply(t, b.sendReport(b.primary(), window+1, 1)).Body.(primaryreport.Reply); reply.UsageDecidedUpTo < window {
		t.Errorf("reply %+v after the replicas have the decision", reply)
	}
}

// A core that isn't primary acknowledges no report, but keeps it and uses it once it is primary.
func TestReportToANonPrimaryCoreIsKept(t *testing.T) {
	b := usageReportingCluster(t)
	window := b.currentWindow()
	for _, core := range b.cores {
		call := b.sendReport(core, window, 4)
		if core != b.primary() && kindOf(b.reply(t, call).Err) != errs.NotReady {
			t.Errorf("a core that isn't primary: reply %+v, want not ready", b.reply(t, call))
		}
	}
	for _, core := range b.cores {
		core.Do(EdgeHealth{ID: "edge", Incarnation: 1}, b.now)
	}
	b.stopPrimary(t)
	if content := b.awaitUsagePermit(t, window); content != string(usage.Content{Window: window, Counts: map[string]int64{"t": 4}}.Encode()) {
		t.Errorf("permit content %s, want the reported count", content)
	}
}

func TestReportsWhileUsageReportingIsDisabled(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	if reply := b.reply(t, b.sendReport(b.primary(), b.currentWindow(), 4)); reply.Err != nil || reply.Body.(primaryreport.Reply).UsageDecidedUpTo != 0 {
		t.Errorf("reply %+v, want no decided window", reply)
	}
}
