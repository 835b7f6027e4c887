package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// Shape is the shape of a simulated fleet.
type Shape struct {
	Zones, Cores, Stores, Edges, Shards, Servers int
	// Tolerance is how many daemons of a kind may lose their disks before the
	// fleet has restored its replicas; 0 counts as 1.
	Tolerance int
	// CoreZones and StoreZones say how many daemons are in each zone, where
	// they are not spread evenly.
	CoreZones, StoreZones []int
}

// Shapes are the fleets that the sweeps are run on, by name.
var Shapes = map[string]Shape{
	"three":  {Zones: 3, Cores: 3, Stores: 3, Edges: 3, Shards: 8},
	"five":   {Zones: 5, Cores: 5, Stores: 5, Edges: 3, Shards: 8, Tolerance: 2},
	"uneven": {Zones: 3, Cores: 3, Stores: 4, Edges: 3, Shards: 8, CoreZones: []int{2, 1}, StoreZones: []int{2, 1, 1}},
	"seven":  {Zones: 4, Cores: 7, Stores: 5, Edges: 3, Shards: 8, Tolerance: 2},
	"one":    {Zones: 3, Cores: 1, Stores: 3, Edges: 2, Shards: 8},
}

// Validate returns what is wrong with a shape, or nil.
func (s Shape) Validate() error {
	for name, perZone := range map[string][]int{"core": s.CoreZones, "store": s.StoreZones} {
		sum := 0
		for _, count := range perZone {
			sum += count
		}
		if want := s.daemonCount(name); len(perZone) > 0 && sum != want {
			return fmt.Errorf("the zones have %d daemons of kind %s; there are %d", sum, name, want)
		}
		if len(perZone) > s.Zones {
			return fmt.Errorf("%d zones for daemons of kind %s; there are %d", len(perZone), name, s.Zones)
		}
	}
	if s.Stores <= s.tolerance() {
		return fmt.Errorf("%d stores don't tolerate the loss of %d", s.Stores, s.tolerance())
	}
	return nil
}

func (s Shape) daemonCount(kind string) int {
	if kind == "core" {
		return s.Cores
	}
	return s.Stores
}

func (s Shape) tolerance() int { return max(1, s.Tolerance) }

// replicas is how many replicas there have to be among so many daemons.
func (s Shape) replicas(daemons int) int { return min(s.tolerance()+1, daemons) }

// zoneOf is the zone of the daemon of a kind with a number from 0.
func (s Shape) zoneOf(kind string, number int) string {
	spread := map[string][]int{membership.Core: s.CoreZones, membership.Store: s.StoreZones}[kind]
	for zone, count := range spread {
		if number < count {
			return fmt.Sprintf("zone-%d", 1+zone)
		}
		number -= count
	}
	return fmt.Sprintf("zone-%d", 1+number%s.Zones)
}

// repairTimeout is how long the fleet may take to restore its replicas after a loss.
const repairTimeout = 20 * clock.Second

// checkFullyReplicated records when the fleet was last seen to have all its replicas.
func (w *World) checkFullyReplicated() bool {
	if !w.FullyReplicated() {
		return false
	}
	w.fullyReplicatedAt = w.Now
	return true
}

// countLost counts the daemons of a kind that count as lost: those that are down,
// and those that were down, isolated, frozen or wiped since the fleet was last seen to have
// all its replicas.
func (w *World) countLost(kind string) int {
	count := 0
	for _, name := range w.Names(kind) {
		if !w.Nodes[name].healthySince(w.fullyReplicatedAt) {
			count++
		}
	}
	return count
}

// canLose says whether so many more daemons of a kind may lose their disks now
// within the fleet's tolerance.
func (w *World) canLose(kind string, count int) bool {
	return count == 0 || w.countLost(kind)+count <= w.Shape.tolerance()
}
