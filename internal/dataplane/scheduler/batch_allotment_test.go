package scheduler

import (
	"fmt"
	"math/rand"
	"testing"

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
				Labels: map[string]string{labelZone: fmt.Sprint("zone-", zone)},
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
		capacity := max(1, int(Defaults().MinUtilizationLimit*float64(c.slots)+0.5))
		places := c.zones * c.servers * capacity
		running, before, shared := map[string]int{}, 0, 0 // shared: stores whose part is less than a place
		for i, demand := range demands {
			sc := newFleetScheduler(c.zones, c.servers, c.slots)
			sc.SetBatchAllotment(BatchAllotment{Offset: before, Size: demand, Total: sum})
			before += demand
			if demand*places < sum {
				shared++
			}
			own := 0
			for name, limit := range sc.batchLimits {
				running[name] += limit
				own += limit
			}
			if own == 0 {
				t.Errorf("%+v: store %d with %d of %d items may run none", c, i, demand, sum)
			}
		}
		for name, count := range running {
			if count > capacity+shared {
				t.Errorf("%+v: the stores may run %d items on %s, which may have %d", c, count, name, capacity)
			}
		}
		if len(running) < min(places, c.zones*c.servers) {
			t.Errorf("%+v: %d servers have items", c, len(running))
		}
	}
}

// A store's places are in as few zones as possible, and there on as many servers.
func TestAnAllotmentIsInFewZones(t *testing.T) {
	sc := newFleetScheduler(5, 18, 9)
	sc.SetBatchAllotment(BatchAllotment{Offset: 108, Size: 36, Total: 540})
	if len(sc.batchLimits) != 18 {
		t.Errorf("36 places are on %d servers", len(sc.batchLimits))
	}
	for name, limit := range sc.batchLimits {
		if sc.servers[name].server.Labels[labelZone] != "zone-1" || limit != 2 {
			t.Errorf("%d places on %s", limit, name)
		}
	}
}

// Servers that are draining or removed have no places.
func TestDrainingServersHaveNoPlaces(t *testing.T) {
	sc := newFleetScheduler(1, 3, 4)
	sc.SetServer(endpoints.Server{Name: "server-0-00", Slots: 4, Draining: true})
	sc.SetServer(endpoints.Server{Name: "server-0-01", Slots: 4, Removed: true})
	sc.SetBatchAllotment(BatchAllotment{Size: 1, Total: 1})
	if len(sc.batchLimits) != 1 || sc.batchLimits["server-0-02"] == 0 {
		t.Errorf("the places are %v", sc.batchLimits)
	}
	New(Defaults(), 1).SetBatchAllotment(BatchAllotment{Size: 1, Total: 1}) // a fleet without servers
}
