package usage

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/primaryreport"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

// collectorFixture is a collector in term 3, with the log events that it emitted.
type collectorFixture struct {
	*Collector
	t      *testing.T
	table  exclusive.Table
	events []machine.Effect
}

const firstWindow = 100

func newCollectorFixture(t *testing.T, edges ...string) *collectorFixture {
	b := &collectorFixture{t: t}
	b.Collector = NewCollector(Settings{Interval: 5 * clock.Second, Delay: 10 * clock.Second}, func(effect machine.Effect) { b.events = append(b.events, effect) })
	for _, id := range edges {
		b.SetEdge(id, 1, true)
	}
	b.SetConfiguredAt(timeInWindow(firstWindow, 0))
	b.Start(3, timeInWindow(firstWindow, 0))
	return b
}

// timeInWindow returns the time at an offset after the start of a window.
func timeInWindow(window int64, after clock.Micros) clock.Micros {
	return window*5*clock.Second + after
}

// report delivers an edge's report of a window's counts, complete up to now.
func (b *collectorFixture) report(id string, window uint64, counts map[string]int64, now clock.Micros) primaryreport.Reply {
	report := primaryreport.Report{Daemon: id, Incarnation: 1, Epoch: 3, SentAt: now}
	if counts != nil {
		report.Usage = []primaryreport.WindowCounts{{Window: window, Counts: counts}}
	}
	return b.Receive(report, now)
}

// due returns the concatenated contents of the acts that are due at a time.
func (b *collectorFixture) due(now clock.Micros) string {
	b.Advance(now)
	out := ""
	for _, act := range b.Due(&b.table) {
		if act.Subject != Subject {
			b.t.Errorf("act on subject %q", act.Subject)
		}
		out += string(act.Content)
	}
	return out
}

// recordDecided records acts as decided in the table.
func (b *collectorFixture) recordDecided(acts []exclusive.Act) {
	grant := exclusive.Grant{Subject: Subject, Holder: exclusive.Holder{Name: "h"}, Fence: 1, Acts: acts}
	b.table.Apply(exclusive.Update{Grants: []exclusive.Grant{grant}})
}

func (b *collectorFixture) expectDue(now clock.Micros, want string) {
	b.t.Helper()
	if got := b.due(now); got != want {
		b.t.Errorf("%.1f s after the start of window %d: due %q, want %q", float64(now-timeInWindow(firstWindow, 0))/1e6, firstWindow, got, want)
	}
}

func TestWindowIsProposedOnceAllEdgesReported(t *testing.T) {
	b := newCollectorFixture(t, "e1", "e2")
	b.report("e1", firstWindow, map[string]int64{"b": 2, "a": 1}, timeInWindow(firstWindow, clock.Second))
	b.report("e2", firstWindow, map[string]int64{"a": 4}, timeInWindow(firstWindow, 2*clock.Second))
	b.report("e1", firstWindow, map[string]int64{"a": 3}, timeInWindow(firstWindow+1, 200*clock.Millisecond))
	b.expectDue(timeInWindow(firstWindow+1, 3*clock.Second), "")
	b.report("e2", 0, nil, timeInWindow(firstWindow+1, 3*clock.Second))
	b.expectDue(timeInWindow(firstWindow+1, 3*clock.Second), `{"window":100,"counts":{"a":7,"b":2}}`)
}

func TestWaitForUnresponsiveEdgeIsBounded(t *testing.T) {
	b := newCollectorFixture(t, "e1", "silent")
	b.report("e1", firstWindow, map[string]int64{"a": 1}, timeInWindow(firstWindow+1, clock.Second))
	b.expectDue(timeInWindow(firstWindow+1, 5900*clock.Millisecond), "")
	b.expectDue(timeInWindow(firstWindow+1, 6*clock.Second), `{"window":100,"counts":{"a":1}}`)
	b.SetEdge("silent", 1, false)
	b.report("e1", 0, nil, timeInWindow(firstWindow+2, clock.Second))
	b.expectDue(timeInWindow(firstWindow+2, 1500*clock.Millisecond), `{"window":100,"counts":{"a":1}}{"window":101,"counts":{}}`)
}

// Guards against treating a window as complete because an edge reported it in full to another primary,
// whose counts this primary does not have.
func TestReportToFormerPrimaryDoesNotCompleteWindow(t *testing.T) {
	b := newCollectorFixture(t, "e1")
	b.Start(4, timeInWindow(firstWindow, 4*clock.Second))
	if reply := b.report("e1", firstWindow, map[string]int64{"a": 1}, timeInWindow(firstWindow+1, clock.Second)); reply.Epoch != 4 {
		t.Errorf("reply has term %d, want 4", reply.Epoch)
	}
	b.expectDue(timeInWindow(firstWindow+1, 2*clock.Second), "")
}

func TestNewPrimaryWaitsForReports(t *testing.T) {
	b := newCollectorFixture(t, "e1")
	b.Start(4, timeInWindow(firstWindow+2, 4*clock.Second))
	b.expectDue(timeInWindow(firstWindow+2, 6900*clock.Millisecond), "")
	b.expectDue(timeInWindow(firstWindow+2, 7*clock.Second), `{"window":100,"counts":{}}{"window":101,"counts":{}}`)
}

func TestDecidedWindowsAreNotProposedAgain(t *testing.T) {
	b := newCollectorFixture(t, "e1")
	b.report("e1", firstWindow, map[string]int64{"a": 1}, timeInWindow(firstWindow+1, clock.Second))
	now := timeInWindow(firstWindow+1, 2*clock.Second)
	b.Advance(now)
	b.recordDecided(b.Due(&b.table))
	b.expectDue(now, "")
	b.SetDecided(firstWindow)
	reply := b.report("e1", firstWindow, map[string]int64{"a": 3}, now)
	if reply.UsageDecidedUpTo != firstWindow || b.Late != 2 {
		t.Errorf("reply %+v, %d late; want the window decided and 2 late", reply, b.Late)
	}
}

func TestOldWindowsAreSkipped(t *testing.T) {
	b := newCollectorFixture(t, "e1")
	b.recordDecided([]exclusive.Act{{Subject: Subject, Number: firstWindow, Content: []byte("{}")}})
	now := timeInWindow(firstWindow+100, 0)
	b.Advance(now)
	due := b.Due(&b.table)
	oldest := uint64(firstWindow + 100 - int64(maxWindowAge/(5*clock.Second)))
	if len(due) != maxWindows/2 || due[0].Number != oldest || b.Skipped != int64(oldest-firstWindow-1) {
		t.Fatalf("%d due, the first is window %d; %d skipped", len(due), due[0].Number, b.Skipped)
	}
	if b.Due(&b.table); len(b.events) != 1 {
		t.Errorf("want one log event, got %+v", b.events)
	}
}

func TestNothingIsDueWithoutConfiguration(t *testing.T) {
	b := newCollectorFixture(t, "e1")
	b.SetConfiguredAt(0)
	b.expectDue(timeInWindow(firstWindow+9, 0), "")
}

// The counts of an edge whose clock is far off are dropped, and other edges' counts are not affected.
func TestCountsOfDistantWindowsAreDropped(t *testing.T) {
	b := newCollectorFixture(t, "e1", "e2")
	now := timeInWindow(firstWindow+1, 2*clock.Second)
	b.report("e1", firstWindow, map[string]int64{"a": 1}, now)
	b.Receive(primaryreport.Report{Daemon: "e2", Incarnation: 1, Epoch: 3, SentAt: 2 * now, Usage: []primaryreport.WindowCounts{{Window: 2 * firstWindow, Counts: map[string]int64{"a": 9}}}}, now)
	b.expectDue(now, `{"window":100,"counts":{"a":1}}`)
	if status := b.Status(); b.Misdated != 9 || status.SkewedClocks != 1 || status.Edges != 2 || status.UnreportedEdges != 0 {
		t.Errorf("%d misdated (want 9), status %+v", b.Misdated, status)
	}
}

func TestReportersOfRemovedEdgesArePruned(t *testing.T) {
	b := newCollectorFixture(t)
	for i := range 50 {
		b.report(fmt.Sprint("e", i), firstWindow, map[string]int64{"a": 1}, timeInWindow(firstWindow, clock.Second))
	}
	b.SetDecided(firstWindow + retainedWindows)
	if len(b.reporters) != 0 {
		t.Errorf("%d reporters retained, want none", len(b.reporters))
	}
}

// The number of counts is bounded across all edges, and capacity is freed once windows are decided.
func TestCountsAreBounded(t *testing.T) {
	b := newCollectorFixture(t)
	tenants := map[string]int64{}
	for i := range maxCounts/10 + 10 {
		tenants[fmt.Sprint("t", i)] = 1
	}
	for i := range 10 {
		b.report(fmt.Sprint("e", i), firstWindow, tenants, timeInWindow(firstWindow, clock.Second))
	}
	if b.counts != maxCounts || b.Misdated != 100 {
		t.Errorf("%d counts retained, %d dropped", b.counts, b.Misdated)
	}
	b.SetDecided(firstWindow + retainedWindows)
	if b.counts != 0 {
		t.Errorf("%d counts of a decided window retained, want none", b.counts)
	}
}

func TestContentEncodingIsDeterministic(t *testing.T) {
	content := Content{Window: 7, Counts: map[string]int64{"b": 2, "a": 1}}
	if got := string(content.Encode()); got != `{"window":7,"counts":{"a":1,"b":2}}` {
		t.Errorf("encoded as %s", got)
	}
	if got := string(Content{Window: 7}.Encode()); got != `{"window":7,"counts":{}}` {
		t.Errorf("nil counts encoded as %s", got)
	}
	decoded, err := DecodeContent(content.Encode())
	if err != nil || decoded.Window != 7 || decoded.Counts["b"] != 2 {
		t.Errorf("decoded as %+v, %v", decoded, err)
	}
	if _, err := DecodeContent([]byte("{")); err == nil {
		t.Error("decoding truncated JSON did not fail")
	}
}
