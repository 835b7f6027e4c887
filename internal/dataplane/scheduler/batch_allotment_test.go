package scheduler

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"testing"

	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/connections"
	"tuliprudder/internal/dataplane/endpoints"
)

// newFleetScheduler returns a scheduler with serversPerZone servers in each zone.
func newFleetScheduler(zones, serversPerZone, slots int) *Scheduler {
	sc := New(Defaults(), 1)
	for zone := range zones {
		for i := range serversPerZone {
			sc.SetServer(endpoints.Server{
				Name:   fmt.Sprintf("server-%d-%02d", zone, i),
				Slots:  slots,
				Labels: map[string]string{endpoints.LabelZone: fmt.Sprint("zone-", zone)},
			})
		}
	}
	return sc
}

// For any number of stores with uneven demands, the stores' limits add up to no more items on a server
// than it may run, and each store may run at least one item.
func TestAllotmentsOfAllStoresAddUp(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for _, c := range []struct{ stores, zones, servers, slots int }{
		{1, 1, 12, 16}, {3, 3, 4, 16}, {4, 4, 3, 32}, {14, 5, 18, 9}, {60, 5, 18, 9}, {40, 1, 3, 1},
	} {
		demands, sum := make([]int, c.stores), 0
		for i := range demands {
			demands[i] = 1 + random.Intn(300)
			sum += demands[i]
		}
		exact := max(1, Defaults().MinUtilizationLimit*float64(c.slots))
		batchSlots := int(math.Round(float64(c.zones*c.servers) * exact))
		running, before, shared := map[string]int{}, 0, 0 // shared: stores whose share is less than one batch slot
		for i, demand := range demands {
			sc := newFleetScheduler(c.zones, c.servers, c.slots)
			sc.SetBatchAllotment(BatchAllotment{Offset: before, Size: demand, Total: sum})
			before += demand
			if demand*batchSlots < sum {
				shared++
			}
			own := 0
			for name, limit := range sc.batch.ownLimits {
				running[name] += limit
				own += limit
			}
			if own == 0 {
				t.Errorf("%+v: store %d with %d of %d items may not run any", c, i, demand, sum)
			}
		}
		sumOfAll := 0
		for name, count := range running {
			if float64(count) > exact+1+float64(shared) {
				t.Errorf("%+v: the stores may run %d items on %s, which may run %.2f", c, count, name, exact)
			}
			sumOfAll += count
		}
		if sumOfAll > batchSlots+shared || sumOfAll < batchSlots {
			t.Errorf("%+v: the stores may run %d items in %d batch slots", c, sumOfAll, batchSlots)
		}
		if len(running) < min(batchSlots, c.zones*c.servers) {
			t.Errorf("%+v: only %d servers have batch slots", c, len(running))
		}
	}
}

// A store's batch slots are in as few zones as possible, and within these on as many servers as possible.
func TestAllotmentSpansFewZones(t *testing.T) {
	sc := newFleetScheduler(5, 18, 9)
	sc.SetBatchAllotment(BatchAllotment{Offset: 113, Size: 36, Total: 567})
	if len(sc.batch.ownLimits) != 18 {
		t.Errorf("36 batch slots are on %d servers, not 18", len(sc.batch.ownLimits))
	}
	for name, limit := range sc.batch.ownLimits {
		if sc.servers[name].server.Labels[endpoints.LabelZone] != "zone-1" || limit != 2 {
			t.Errorf("%d batch slots on %s", limit, name)
		}
	}
}

// newConnectionLimitedScheduler returns a scheduler with 5 zones of 10 servers. Each server has 16 slots
// and accepts 79 connections; 49 edges and 9 stores share them, so that a store has 3 connections to a server.
func newConnectionLimitedScheduler() (*Scheduler, connections.DaemonCounts) {
	sc := newFleetScheduler(5, 10, 16)
	sc.SetConfiguration(&config.Configuration{Version: 1, Pools: []config.Pool{{Name: "p", Servers: config.Selector{}, MaxConnections: 79}}}, 1)
	return sc, connections.DaemonCounts{Edges: 49, Stores: 9}
}

// A store's share must not have more batch slots on a server than the store has connections to it. Otherwise
// a store with a third of all items has all slots of a third of the servers, but connections for only a
// quarter of these slots, and its items wait although servers are free.
func TestAllotmentFitsStoreConnections(t *testing.T) {
	for _, test := range []struct{ size, want int }{
		{size: 10, want: 6},
		{size: 230, want: 150},
		{size: 614, want: 150},
	} {
		sc, shares := newConnectionLimitedScheduler()
		sc.SetBatchAllotment(BatchAllotment{Offset: 0, Size: test.size, Total: 614, Connections: shares})
		usable := 0
		for name, limit := range sc.batch.ownLimits {
			if limit > 3 {
				t.Errorf("size %d: %d batch slots on %s", test.size, limit, name)
			}
			usable += limit
		}
		if usable < test.want {
			t.Errorf("size %d of 614: %d batch slots are usable, not %d", test.size, usable, test.want)
		}
	}
}

// The connection limit also applies to items that avoid a server or want certain weights. Otherwise they are sent to
// servers to which the store has no connection left.
func TestConstrainedItemsRespectConnectionLimit(t *testing.T) {
	sc, shares := newConnectionLimitedScheduler()
	sc.SetBatchAllotment(BatchAllotment{Offset: 0, Size: 10, Total: 614, Connections: shares})
	avoiding := &Request{IsBatchItem: true, AvoidedServers: map[string]int{"server-0-00": MaxFailuresPerServer}}
	for _, r := range []*Request{avoiding, {IsBatchItem: true, WantedWeights: 2}} {
		for name, server := range sc.servers {
			if limit := sc.batchUsage(r, server).Limit; limit > 3 || limit < 1 {
				t.Errorf("%d batch slots on %s", limit, name)
			}
		}
	}
}

// The passes over the servers list each batch slot exactly once.
func TestPassesListEachBatchSlotOnce(t *testing.T) {
	sc, shares := newConnectionLimitedScheduler()
	sc.SetBatchAllotment(BatchAllotment{Size: 1, Total: 1, Connections: shares})
	listed := map[string]int{}
	for _, name := range sc.batch.sequence {
		listed[name]++
	}
	if !maps.Equal(listed, sc.batch.byServer) {
		t.Errorf("slots in the list by server: %v; slots of the servers: %v", listed, sc.batch.byServer)
	}
}

// Servers that are draining or removed have no batch slots.
func TestDrainingServersHaveNoBatchSlots(t *testing.T) {
	sc := newFleetScheduler(1, 3, 4)
	sc.SetServer(endpoints.Server{Name: "server-0-00", Slots: 4, Draining: true})
	sc.SetServer(endpoints.Server{Name: "server-0-01", Slots: 4, Removed: true})
	sc.SetBatchAllotment(BatchAllotment{Size: 1, Total: 1})
	if len(sc.batch.ownLimits) != 1 || sc.batch.ownLimits["server-0-02"] == 0 {
		t.Errorf("the batch slots are %v", sc.batch.ownLimits)
	}
	New(Defaults(), 1).SetBatchAllotment(BatchAllotment{Size: 1, Total: 1}) // a fleet without servers
}

// A server has no more batch slots than its memory has capacity for items, if the configuration states the
// memory. Fractional slots are rounded so that the total is right and servers differ by at most one.
func TestServerMemoryLimitsBatchSlots(t *testing.T) {
	for name, c := range map[string]struct {
		memory, itemTokens int
		want               int // batch slots of all ten servers
	}{
		"the slots are fewer":    {1_000_000, 1000, 63},
		"the memory is fewer":    {7_000, 1000, 46},
		"it holds less than one": {1000, 1000, 10},
		"the memory is unknown":  {0, 1000, 63},
		"items are unknown":      {10_000, 0, 63},
	} {
		t.Run(name, func(t *testing.T) {
			sc := newFleetScheduler(2, 5, 9)
			sc.SetConfiguration(&config.Configuration{Version: 1, Pools: []config.Pool{{Name: "p", Servers: config.Selector{}, MemoryTokens: int64(c.memory)}}}, 1)
			sc.SetBatchAllotment(BatchAllotment{Size: 1, Total: 1, ItemTokens: c.itemTokens})
			least, most := 1<<30, 0
			for _, limit := range sc.batch.byServer {
				least, most = min(least, limit), max(most, limit)
			}
			if len(sc.batch.sequence) != c.want || most-least > 1 {
				t.Errorf("%d batch slots, %d to %d on a server", len(sc.batch.sequence), least, most)
			}
		})
	}
}

// A store starts no items in batch slots that other stores' items use.
func TestBatchLimitExcludesSlotsUsedByOthers(t *testing.T) {
	sc := newFleetScheduler(1, 2, 10)
	sc.SetBatchAllotment(BatchAllotment{Size: 1, Total: 2})
	first, second := sc.servers["server-0-00"].server, sc.servers["server-0-01"].server
	sc.SetOtherBatchItems(map[string]int{first.Name: 5, second.Name: 9})
	if got := [2]int{sc.batchLimit(first), sc.batchLimit(second)}; got != [2]int{2, 0} {
		t.Errorf("7 batch slots on each, 4 and 3 of them its own, 5 and 9 used by others: the limits are %v", got)
	}
}

// An item that failed on a server is assigned to another one even if this store's batch slots are all on the
// first server. Otherwise it waits forever if the other stores have nothing to run, because then the shares
// don't change. (About three of ten concurrent runs of TestAWholeDeployment had such an item.)
func TestFailedItemRunsOutsideItsStoresAllotment(t *testing.T) {
	f := newFixture(t, newServer("one", 4), newServer("two", 4))
	f.route.Forward = &config.Forward{}
	f.SetBatchAllotment(BatchAllotment{Offset: 0, Size: 1, Total: 6})
	if len(f.batch.ownLimits) != 1 || f.batch.ownLimits["one"] != 1 {
		t.Fatalf("this store's batch slots are %v", f.batch.ownLimits)
	}
	submit := func(name string, avoided map[string]int) string {
		f.submit(name, 1, func(r *Request) { r.IsBatchItem, r.AvoidedServers = true, avoided })
		f.MatchUntilStable(f.now)
		select {
		case started := <-f.started:
			return started
		default:
			return ""
		}
	}
	if got := submit("failed", map[string]int{"one": MaxFailuresPerServer}); got != "failed@two" {
		t.Fatalf("an item that failed on the only server with batch slots of this store: %q", got)
	}
	f.SetOtherBatchItems(map[string]int{"two": f.batch.byServer["two"]})
	if got := submit("failed-too", map[string]int{"one": MaxFailuresPerServer}); got != "" {
		t.Fatalf("other stores use the batch slots of the other server, and the item starts: %q", got)
	}
	if got := submit("first", nil); got != "first@one" {
		t.Fatalf("an item that has not failed: %q", got)
	}
}
