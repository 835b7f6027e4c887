package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// useItemRoute puts a configuration in force with a route "items" of priority 5 that forwards batches, and a tenant
// for each of the given priorities, such as "p3" for 3.
func (f *fixture) useItemRoute(priorities ...int64) {
	configuration := &config.Configuration{Version: 2, ScorerWeights: f.Configuration().ScorerWeights, Pools: f.Configuration().Pools,
		Routes: []config.Route{{Name: "items", Kind: config.Batch, Forward: &config.Forward{Authentication: config.AuthenticationRequired, Priority: 5}}, {Name: "live", Kind: config.OneShot, Forward: &config.Forward{Priority: 1}}}}
	for _, priority := range priorities {
		name := fmt.Sprint("p", priority)
		configuration.Classes = append(configuration.Classes, config.PriorityClass{Name: name, Priority: priority})
		configuration.Tenants = append(configuration.Tenants, config.Tenant{Name: name, Class: name})
	}
	configuration.Index()
	f.SetConfiguration(configuration, f.now)
}

// submitForwardedItem submits a tenant's item that is due after dueAfter; 0: never.
func (f *fixture) submitForwardedItem(name, tenant string, dueAfter clock.Micros) *Request {
	return f.submit(name, 1, func(r *Request) {
		r.IsBatchItem = true
		r.Tenant = tenant
		r.Route, _ = f.Configuration().Route("items")
		if dueAfter > 0 {
			r.DueAt = f.now + dueAfter
		}
	})
}

// startOrder adds a server of one slot that runs the requests one after the other, and returns the order of their starts.
func (f *fixture) startOrder(t *testing.T, requests ...*Request) []string {
	t.Helper()
	var order []string
	var running *Assignment
	for _, r := range requests {
		r.Start = func(assignment *Assignment, _ clock.Micros) {
			order = append(order, r.ID)
			running = assignment
		}
	}
	f.SetServer(newServer("s", 1))
	for range requests {
		f.Match(f.now)
		if running == nil {
			t.Fatalf("nothing starts after %v", order)
		}
		running.Release(0, true, f.now)
		running = nil
	}
	return order
}

// A live request never waits behind a forwarded item, whatever the item's priority, even a promoted one.
func TestLiveRequestsGoBeforeForwardedItems(t *testing.T) {
	f := newFixture(t)
	f.useItemRoute(1000)
	promoted := f.submitForwardedItem("promoted", "p1000", 1)
	item := f.submitForwardedItem("item", "p1000", clock.Second)
	f.demoteOverdue(f.now + 2)
	f.SetServer(newServer("s", 1))
	f.itemPromotion.startsSinceOverdue = onTimeStartsPerOverdue
	f.promoteItemsIfDue(f.now)
	if promoted.dueState != statePromotedOverdue {
		t.Fatal("the overdue item isn't promoted")
	}
	live := f.submit("live", 1, func(r *Request) { r.Route, _ = f.Configuration().Route("live"); r.Tenant = "" })
	if order := f.startOrder(t, item, promoted, live); !slices.Equal(order, []string{"live", "promoted", "item"}) {
		t.Errorf("the order is %v", order)
	}
}

// Forwarded items are ordered by their tenants' priorities, those without a tenant by their route's. Overdue items
// come after all that can be ready in time, also ordered by priority.
func TestForwardedItemsAreOrderedByPriority(t *testing.T) {
	f := newFixture(t)
	f.useItemRoute(3, 9)
	const late, soon = 1, 100 * clock.Second
	items := []*Request{
		f.submitForwardedItem("low", "p3", soon),
		f.submitForwardedItem("late low", "p3", late),
		f.submitForwardedItem("route's", "", soon),
		f.submitForwardedItem("late high", "p9", late),
		f.submitForwardedItem("high", "p9", soon),
		f.submitForwardedItem("second high", "p9", 0),
	}
	f.now += clock.Millisecond
	f.AdvanceFreshness(f.now)
	want := []string{"high", "second high", "route's", "low", "late high", "late low"}
	if order := f.startOrder(t, items...); !slices.Equal(order, want) {
		t.Errorf("the order is %v, not %v", order, want)
	}
}

// An overdue item of a low priority does not starve: it is promoted ahead of the items that can be ready in time.
func TestOverdueLowPriorityItemIsPromoted(t *testing.T) {
	f := newFixture(t)
	f.useItemRoute(3, 9)
	items := []*Request{f.submitForwardedItem("late low", "p3", 1)}
	for i := range 20 {
		items = append(items, f.submitForwardedItem(fmt.Sprint("high ", i), "p9", 100*clock.Second))
	}
	f.now += clock.Millisecond
	f.AdvanceFreshness(f.now)
	if order := f.startOrder(t, items...); slices.Index(order, "late low") != onTimeStartsPerOverdue {
		t.Errorf("the order is %v", order)
	}
}

// Whatever its priority, a forwarded item leaves as much capacity of a server as the lowest level does.
func TestForwardedItemsLeaveCapacityWhateverTheirPriority(t *testing.T) {
	f := newFixture(t)
	f.useItemRoute(1, 1000)
	for _, tenant := range []string{"p1", "p1000"} {
		item := f.submitForwardedItem(tenant, tenant, clock.Second)
		if limit := f.utilizationLimit(item, f.now); limit != f.settings.MinUtilizationLimit {
			t.Errorf("%s may fill a server up to %v", tenant, limit)
		}
	}
}

// An item with server constraints is tried even if there is no batch slot for its route's other items.
func TestConstrainedItemIsTriedAtEachLevel(t *testing.T) {
	f := newFixture(t, newServer("s", 10))
	f.useItemRoute(3, 9)
	f.SetBatchAllotment(BatchAllotment{Offset: 0, Size: 0, Total: 10})
	f.submitForwardedItem("first", "p9", 0)
	if f.Match(f.now); len(f.started) != 1 {
		t.Fatalf("%d items start in a share of one batch slot", len(f.started))
	}
	<-f.started
	f.submitForwardedItem("high", "p9", 0)
	f.submit("low", 1, func(r *Request) {
		r.IsBatchItem, r.Tenant, r.WantedWeights = true, "p3", 1
		r.Route, _ = f.Configuration().Route("items")
	})
	f.Assigned = 0
	f.servers["s"].prefillingBatchItems = 0
	if f.Match(f.now); len(f.started) != 1 {
		t.Fatalf("%d items start", len(f.started))
	}
	if got := <-f.started; got != "low@s" {
		t.Errorf("%s starts", got)
	}
}

// Items of routes whose callers have no tenants are ordered by submission, whatever the routes' priorities are.
func TestItemsWithoutTenantsIgnoreRoutePriority(t *testing.T) {
	f := newFixture(t, newServer("s", 0))
	configuration := &config.Configuration{Version: 2, ScorerWeights: f.Configuration().ScorerWeights, Pools: f.Configuration().Pools,
		Routes: []config.Route{{Name: "low", Kind: config.Batch, Forward: &config.Forward{Priority: 1}}, {Name: "high", Kind: config.Batch, Forward: &config.Forward{Priority: 9}}}}
	configuration.Index()
	f.SetConfiguration(configuration, f.now)
	submit := func(routeName string) *Request {
		return f.submit(routeName, 1, func(r *Request) {
			r.IsBatchItem = true
			r.Route, _ = configuration.Route(routeName)
		})
	}
	order := f.startOrder(t, submit("low"), submit("high"))
	if !slices.Equal(order, []string{"low", "high"}) {
		t.Errorf("the order is %v", order)
	}
}
