package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
)

// runItems submits batch items that are due after the given times, runs them one at a time, one second
// each, until none is left, and returns the order in which they started.
func runItems(t *testing.T, f *fixture, dueAfter []clock.Micros) []string {
	t.Helper()
	var order []string
	var running *Assignment
	begin := f.now
	for i, due := range dueAfter {
		name := fmt.Sprint(i)
		f.submit(name, 1, func(r *Request) {
			r.IsBatchItem = true
			if due > 0 {
				r.DueAt = begin + due
			}
			r.Start = func(assignment *Assignment, _ clock.Micros) {
				order = append(order, name)
				running = assignment
			}
		})
	}
	for range dueAfter {
		f.Match(f.now)
		if running == nil {
			t.Fatalf("nothing starts after %v", order)
		}
		f.now += clock.Second
		running.Release(clock.Second, true, f.now)
		running = nil
		f.AdvanceFreshness(f.now)
	}
	if f.queue.length != 0 || f.OverdueBatchItems() != 0 {
		t.Errorf("%d queued, %d overdue at the end", f.queue.length, f.OverdueBatchItems())
	}
	return order
}

// Items that can't be ready in time come after those that can, in submission order. Items without a due
// time are ordered by submission.
func TestOverdueItemsGoLast(t *testing.T) {
	const s = clock.Second
	for name, c := range map[string]struct {
		dueAfter []clock.Micros
		order    []string
	}{
		"all in time":         {[]clock.Micros{10 * s, 11 * s, 12 * s}, []string{"0", "1", "2"}},
		"too late at once":    {[]clock.Micros{s / 2, s / 2, 10 * s, 11 * s}, []string{"0", "2", "3", "1"}}, // the first item's duration shows that the second will be late
		"late while it waits": {[]clock.Micros{10 * s, 2 * s, 2 * s, 2 * s, 10 * s}, []string{"0", "1", "4", "2", "3"}},
		"none is due":         {[]clock.Micros{0, 0, s / 2}, []string{"0", "1", "2"}},
	} {
		f := newFixture(t, newServer("s", 1))
		if got := runItems(t, f, c.dueAfter); !slices.Equal(got, c.order) {
			t.Errorf("%s: the order is %v, not %v", name, got, c.order)
		}
	}
}

// One of nine started items is an overdue one, so that overdue items don't starve.
func TestOverdueItemsAreNotStarved(t *testing.T) {
	f := newFixture(t, newServer("s", 1))
	dueAfter := []clock.Micros{1, 1, 1}
	for range 30 {
		dueAfter = append(dueAfter, 100*clock.Second)
	}
	order := runItems(t, f, dueAfter)
	if at := []int{slices.Index(order, "1"), slices.Index(order, "2")}; !slices.Equal(at, []int{8, 17}) {
		t.Errorf("the overdue items start at %v: %v", at, order)
	}
}

// Overdue items stay behind the others after a change of configuration.
func TestOverdueItemsStayLastUnderANewConfiguration(t *testing.T) {
	f := newFixture(t)
	f.Scheduler.batch.itemDuration = clock.Second
	for i, due := range []clock.Micros{1, 100 * clock.Second} {
		f.submit(fmt.Sprint(i), 1, func(r *Request) { r.IsBatchItem, r.DueAt = true, f.now+due })
	}
	f.Match(f.now)
	next := *f.Configuration()
	next.Version++
	f.SetConfiguration(&next, f.now)
	if f.OverdueBatchItems() != 1 {
		t.Fatalf("%d items are overdue, not 1", f.OverdueBatchItems())
	}
	f.SetServer(newServer("s", 1))
	f.Match(f.now)
	if got := <-f.started; got != "1@s" {
		t.Errorf("started %s", got)
	}
}

// With the mechanism disabled, items start in submission order.
func TestOverdueItemsKeepTheirOrderWhenDisabled(t *testing.T) {
	f := newFixture(t, newServer("s", 1))
	disable(t, f.Scheduler, mechanism.OverdueLast)
	if got := runItems(t, f, []clock.Micros{1, 1, 100 * clock.Second}); !slices.Equal(got, []string{"0", "1", "2"}) {
		t.Errorf("the order is %v", got)
	}
}

// disable disables mechanisms of a scheduler.
func disable(t *testing.T, sc *Scheduler, names ...mechanism.Name) {
	t.Helper()
	text := ""
	for i, name := range names {
		if i > 0 {
			text += ","
		}
		text += string(name)
	}
	set, err := mechanism.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	sc.AdjustSettings(func(settings *Settings) { settings.Disabled = set })
}
