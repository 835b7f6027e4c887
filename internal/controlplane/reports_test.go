package controlplane

import (
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/exclusive"
)

// usageReportingCluster is a cluster with a configuration whose cores report use in windows of 5 s, and one edge.
func usageReportingCluster(t *testing.T) *testCluster {
	t.Helper()
	settings := smallSettings()
	settings.Usage.Interval = 5 * clock.Second
	b := bootstrappedCluster(t, settings)
	b.advance(10 * clock.Second) // the first windows have no numbers that an act may have
	b.call(b.primary(), putRequest(1, 0, `{}`))
	b.deliverAll()
	for _, core := range b.cores {
		core.Do(EdgeHealth{ID: "edge", Incarnation: 1, IsLive: true}, b.now)
	}
	return b
}

// sendReport has the edge tell a core what began in a window.
func (b *testCluster) sendReport(core *Core, window uint64, count int64) uint64 {
	call := b.call(core, primaryreport.Report{
		Daemon: "edge", Incarnation: 1, Epoch: b.primary().group().Epoch, SentAt: b.now,
		Usage: []primaryreport.WindowCounts{{Window: window, Counts: map[string]int64{"t": count}}},
	})
	b.deliverAll()
	return call
}

func (b *testCluster) currentWindow() uint64 { return uint64(b.now / (5 * clock.Second)) }

// awaitUsagePermit advances until a node gets a permit for a window's report, and gives its content.
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
	t.Fatalf("no permit for window %d", window)
	return ""
}

func TestDecidedWindowIsReportedToTheEdges(t *testing.T) {
	b := usageReportingCluster(t)
	window := b.currentWindow()
	reply := b.reply(t, b.sendReport(b.primary(), window, 4)).Body.(primaryreport.Reply)
	if reply.Epoch != b.primary().group().Epoch || reply.UsageDecidedUpTo >= window {
		t.Fatalf("the reply is %+v", reply)
	}
	b.advance(5 * clock.Second)
	b.sendReport(b.primary(), window, 6)
	if content := b.awaitUsagePermit(t, window); content != string(usage.Content{Window: window, Counts: map[string]int64{"t": 6}}.Encode()) {
		t.Errorf("the content is %s", content)
	}
	if reply := b.reply(t, b.sendReport(b.primary(), window+1, 1)).Body.(primaryreport.Reply); reply.UsageDecidedUpTo != window {
		t.Errorf("the reply is %+v", reply)
	}
}

// An edge forgets what it is told to be decided, so that it must be on every replica's disk.
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
		t.Fatalf("window %d isn't on its way, the last is %d", window, last)
	}
	if reply := b.reply(t, b.sendReport(b.primary(), window+1, 1)).Body.(primaryreport.Reply); reply.UsageDecidedUpTo >= window {
		t.Errorf("the reply is %+v before the replicas have it", reply)
	}
	b.drop = nil
	b.advance(500 * clock.Millisecond)
	if reply := b.reply(t, b.sendReport(b.primary(), window+1, 1)).Body.(primaryreport.Reply); reply.UsageDecidedUpTo < window {
		t.Errorf("the reply is %+v once they have", reply)
	}
}

// A core that isn't primary acknowledges nothing, and still knows what it was told once it is.
func TestReportToANonPrimaryCoreIsKept(t *testing.T) {
	b := usageReportingCluster(t)
	window := b.currentWindow()
	for _, core := range b.cores {
		call := b.sendReport(core, window, 4)
		if core != b.primary() && kindOf(b.reply(t, call).Err) != errs.NotReady {
			t.Errorf("a core that isn't primary replies %+v", b.reply(t, call))
		}
	}
	for _, core := range b.cores {
		core.Do(EdgeHealth{ID: "edge", Incarnation: 1}, b.now)
	}
	b.stopPrimary(t)
	if content := b.awaitUsagePermit(t, window); content != string(usage.Content{Window: window, Counts: map[string]int64{"t": 4}}.Encode()) {
		t.Errorf("the content is %s", content)
	}
}

func TestReportsWhileUsageReportingIsDisabled(t *testing.T) {
	b := bootstrappedCluster(t, smallSettings())
	if reply := b.reply(t, b.sendReport(b.primary(), b.currentWindow(), 4)); reply.Err != nil || reply.Body.(primaryreport.Reply).UsageDecidedUpTo != 0 {
		t.Errorf("the reply is %+v", reply)
	}
}
