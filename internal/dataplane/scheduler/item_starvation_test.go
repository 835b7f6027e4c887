package scheduler

import (
	"fmt"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// startsUnderLoad runs items on a server of one slot while one item of a high priority arrives per start. It returns
// the number of starts before the awaited item starts, -1 if it is not among the given number of starts.
func (f *fixture) startsUnderLoad(t *testing.T, awaited *Request, starts int, arrive func(i int)) int {
	t.Helper()
	started := -1
	var running *Assignment
	awaited.Start = func(assignment *Assignment, _ clock.Micros) { started, running = 0, assignment }
	f.SetServer(newServer("s", 1))
	for i := range starts {
		arrive(i)
		high := f.submitForwardedItem(fmt.Sprint("high ", i), "p9", 100*clock.Second)
		high.Start = func(assignment *Assignment, _ clock.Micros) { running = assignment }
		f.Match(f.now)
		if running == nil {
			t.Fatalf("nothing starts after %d starts", i)
		}
		if started == 0 {
			return i
		}
		f.now += 10 * clock.Millisecond
		f.AdvanceFreshness(f.now)
		running.Release(10*clock.Millisecond, true, f.now)
		running = nil
	}
	return -1
}

// An item of a route without due times is never overdue, so promoting overdue items does not keep one of a low
// priority from starving. (Issue 40.)
func TestItemWithoutDueTimeIsPromoted(t *testing.T) {
	f := newFixture(t)
	f.useItemRoute(3, 9)
	low := f.submitForwardedItem("low", "p3", 0)
	if at := f.startsUnderLoad(t, low, 100, func(int) {}); at != startsPerPromotion {
		t.Errorf("it starts after %d starts", at)
	}
}

// Overdue items that no server can run must not be promoted in place of those that a server can run. (Issue 40.)
func TestItemsWithoutServersAreNotPromoted(t *testing.T) {
	f := newFixture(t)
	f.useItemRoute(3, 9)
	parked := &config.Route{Name: "parked", Kind: config.Batch, Pools: config.Selector{"u": {"nowhere"}}, Forward: &config.Forward{Authentication: config.AuthenticationRequired, Priority: 5}}
	next := *f.Configuration()
	next.Version++
	next.Routes = append(next.Routes, *parked)
	next.Index()
	f.SetConfiguration(&next, f.now)
	park := func(i int) {
		f.submit(fmt.Sprint("parked ", i), 1, func(r *Request) {
			r.IsBatchItem, r.Route, r.Tenant, r.DueAt = true, parked, "p3", 1
		})
	}
	for i := range 20 {
		park(i)
	}
	low := f.submitForwardedItem("late low", "p3", 1)
	f.now += clock.Millisecond
	if at := f.startsUnderLoad(t, low, 300, func(i int) { park(100 + i) }); at != onTimeStartsPerOverdue {
		t.Errorf("it starts after %d starts", at)
	}
}

// servedShares submits more items than one server can run, most of them of a low priority, and cancels those that have
// waited too long. It returns the fractions of all items and of the low-priority items that were served.
func servedShares(t *testing.T, due clock.Micros) (all, low float64) {
	const (
		itemDuration = 100 * clock.Millisecond
		retention    = 60 * clock.Second
		span         = 10 * 60 * clock.Second
	)
	f := newFixture(t)
	f.useItemRoute(3, 9)
	f.SetServer(newServer("s", 1))
	submitted, served := map[string]float64{}, map[string]float64{}
	var waiting []*Request
	submit := func(tenant string) {
		submitted[tenant]++
		item := f.submitForwardedItem(fmt.Sprint(tenant, submitted[tenant]), tenant, due)
		waiting = append(waiting, item)
		item.Start = func(assignment *Assignment, now clock.Micros) {
			served[tenant]++
			f.now = now + itemDuration
			f.AdvanceFreshness(f.now)
			assignment.Release(itemDuration, true, f.now)
		}
	}
	for until := f.now + span; f.now < until; f.Match(f.now) {
		submit("p9")
		submit("p3")
		if int(submitted["p9"])%2 == 0 {
			submit("p3")
		}
		for len(waiting) > 0 && f.now-waiting[0].queuedAt > retention {
			f.Cancel(waiting[0])
			waiting = waiting[1:]
		}
	}
	low = served["p3"] / submitted["p3"]
	return (served["p3"] + served["p9"]) / (submitted["p3"] + submitted["p9"]), low
}

// Items of a low priority do not starve while items of higher priorities could use all servers. Without promotion the
// fraction of them that is served falls below a quarter of that of all items. (Issue 40.)
func TestLowPriorityItemsAreNotStarved(t *testing.T) {
	for name, due := range map[string]clock.Micros{"due soon": 8 * clock.Second, "due after they are given up": 120 * clock.Second, "never due": 0} {
		all, low := servedShares(t, due)
		t.Logf("%s: served fractions: %.2f of all items, %.2f of those of a low priority", name, all, low)
		if low < all/4 {
			t.Errorf("%s: served fractions: %.2f of all items, %.2f of those of a low priority", name, all, low)
		}
	}
}
