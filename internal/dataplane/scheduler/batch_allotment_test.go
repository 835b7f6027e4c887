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

// newFleetScheduler is a scheduler that knows servers of these slots in each of some zones.
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

// However many stores there are, and however uneven their demands, together they run no more items
// on a server than it may have, and each of them may run at least one.
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
		places := int(math.Round(float64(c.zones*c.servers) * exact))
		running, before, shared := map[string]int{}, 0, 0 // shared: stores whose part is less than a place
		for i, demand := range demands {
			sc := newFleetScheduler(c.zones, c.servers, c.slots)
			sc.SetBatchAllotment(BatchAllotment{Offset: before, Size: demand, Total: sum})
			before += demand
			if demand*places < sum {
				shared++
			}
			own := 0
			for name, limit := range sc.batch.ownLimits {
				running[name] += limit
				own += limit
			}
			if own == 0 {
				t.Errorf("%+v: store %d with %d of %d items may run none", c, i, demand, sum)
			}
		}
		sumOfAll := 0
		for name, count := range running {
			if float64(count) > exact+1+float64(shared) {
				t.Errorf("%+v: the stores may run %d items on %s, which may have %.2f", c, count, name, exact)
			}
			sumOfAll += count
		}
		if sumOfAll > places+shared || sumOfAll < places {
			t.Errorf("%+v: the stores may run %d items in %d places", c, sumOfAll, places)
		}
		if len(running) < min(places, c.zones*c.servers) {
			t.Errorf("%+v: %d servers have items", c, len(running))
		}
	}
}

// A store's places are in as few zones as possible, and there on as many servers.
func TestAnAllotmentIsInFewZones(t *testing.T) {
	sc := newFleetScheduler(5, 18, 9)
	sc.SetBatchAllotment(BatchAllotment{Offset: 113, Size: 36, Total: 567})
	if len(sc.batch.ownLimits) != 18 {
		t.Errorf("36 places are on %d servers", len(sc.batch.ownLimits))
	}
	for name, limit := range sc.batch.ownLimits {
		if sc.servers[name].server.Labels[endpoints.LabelZone] != "zone-1" || limit != 2 {
			t.Errorf("%d places on %s", limit, name)
		}
	}
}

// newConnectionLimitedScheduler is a fleet of 5 zones with 10 servers, each of 16 slots, that take 79
// connections each; 49 edges and 9 stores share them, so that a store has 3 connections to a server.
func newConnectionLimitedScheduler() (*Scheduler, connections.DaemonCounts) {
	sc := newFleetScheduler(5, 10, 16)
	sc.SetConfiguration(&config.Configuration{Version: 1, Pools: []config.Pool{{Name: "p", Servers: config.Selector{}, MaxConnections: 79}}}, 1)
	return sc, connections.DaemonCounts{Edges: 49, Stores: 9}
}

// A store with a third of all items had all places of a third of the servers and the connections for a
// quarter of them: its items waited beside free servers.
func TestAPartFitsItsStoresConnections(t *testing.T) {
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
				t.Errorf("size %d: %d places on %s", test.size, limit, name)
			}
			usable += limit
		}
		if usable < test.want {
			t.Errorf("size %d of 614: %d places are usable, not %d", test.size, usable, test.want)
		}
	}
}

// Items that avoid a server, or want certain weights, were sent to servers that the store had no connection to left.
func TestAParticularItemNeedsAConnectionToo(t *testing.T) {
	sc, shares := newConnectionLimitedScheduler()
	sc.SetBatchAllotment(BatchAllotment{Offset: 0, Size: 10, Total: 614, Connections: shares})
	avoiding := &Request{IsBatchItem: true, AvoidedServers: map[string]int{"server-0-00": MaxFailuresPerServer}}
	for _, r := range []*Request{avoiding, {IsBatchItem: true, WantedWeights: 2}} {
		for name, server := range sc.servers {
			if limit := sc.batchUsage(r, server).Limit; limit > 3 || limit < 1 {
				t.Errorf("%d places on %s", limit, name)
			}
		}
	}
}

// Passes over the servers leave no place out and list none twice.
func TestPassesListEachPlaceOnce(t *testing.T) {
	sc, shares := newConnectionLimitedScheduler()
	sc.SetBatchAllotment(BatchAllotment{Size: 1, Total: 1, Connections: shares})
	listed := map[string]int{}
	for _, name := range sc.batch.inOrder {
		listed[name]++
	}
	if !maps.Equal(listed, sc.batch.byServer) {
		t.Errorf("the list has %v, and the servers %v", listed, sc.batch.byServer)
	}
}

// Servers that are draining or removed have no places.
func TestDrainingServersHaveNoPlaces(t *testing.T) {
	sc := newFleetScheduler(1, 3, 4)
	sc.SetServer(endpoints.Server{Name: "server-0-00", Slots: 4, Draining: true})
	sc.SetServer(endpoints.Server{Name: "server-0-01", Slots: 4, Removed: true})
	sc.SetBatchAllotment(BatchAllotment{Size: 1, Total: 1})
	if len(sc.batch.ownLimits) != 1 || sc.batch.ownLimits["server-0-02"] == 0 {
		t.Errorf("the places are %v", sc.batch.ownLimits)
	}
	New(Defaults(), 1).SetBatchAllotment(BatchAllotment{Size: 1, Total: 1}) // a fleet without servers
}

// A server has no more places than its memory holds items, where the configuration names the memory;
// a fraction of a place goes to some servers whole.
func TestPlacesKeepToTheServersMemory(t *testing.T) {
	for name, c := range map[string]struct {
		memory, itemTokens int
		want               int // places of all ten servers
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
			if len(sc.batch.inOrder) != c.want || most-least > 1 {
				t.Errorf("%d places, %d to %d on a server", len(sc.batch.inOrder), least, most)
			}
		})
	}
}

// A store starts nothing where others' items have taken the places.
func TestPlacesThatOthersHaveAreLeft(t *testing.T) {
	sc := newFleetScheduler(1, 2, 10)
	sc.SetBatchAllotment(BatchAllotment{Size: 1, Total: 2})
	first, second := sc.servers["server-0-00"].server, sc.servers["server-0-01"].server
	sc.SetOtherBatchItems(map[string]int{first.Name: 5, second.Name: 9})
	if got := [2]int{sc.batchLimit(first), sc.batchLimit(second)}; got != [2]int{2, 0} {
		t.Errorf("7 places on each, 4 and 3 of them its own, 5 and 9 taken by others: %v are left", got)
	}
}

// An item that failed on a server goes to another one, also where this store's part of the places is on
// that server alone: other stores may have nothing to run, so that the parts stay as they are. (Of ten
// plays of TestAWholeDeployment beside each other about three had such an item, which waited for ever.)
func TestAnItemThatFailedLeavesItsStoresPart(t *testing.T) {
	f := newFixture(t, newServer("one", 4), newServer("two", 4))
	f.route.Forward = &config.Forward{}
	f.SetBatchAllotment(BatchAllotment{Offset: 0, Size: 1, Total: 6})
	if len(f.batch.ownLimits) != 1 || f.batch.ownLimits["one"] != 1 {
		t.Fatalf("this store's part is %v", f.batch.ownLimits)
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
		t.Fatalf("an item that failed on the only server of this store's part: %q", got)
	}
	f.SetOtherBatchItems(map[string]int{"two": f.batch.byServer["two"]})
	if got := submit("failed-too", map[string]int{"one": MaxFailuresPerServer}); got != "" {
		t.Fatalf("the places of the other server are used by other stores: %q", got)
	}
	if got := submit("first", nil); got != "first@one" {
		t.Fatalf("an item that has not failed: %q", got)
	}
}
