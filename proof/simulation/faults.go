package simulation

import (
	"slices"

	"tuliprudder/kernel/clock"
)

// Act is one failure of a day.
type Act struct {
	Name string
	Do   func(w *World) (undo func())
	Span clock.Micros
	Disk bool // takes a disk: only within the fleet's tolerance
	// Stores and Cores are how many of each lose their disks; both 0 with Disk: the
	// act needs a fleet that has all its copies.
	Stores, Cores int
}

// Acts are the failures that strike at any moment, in a fixed order: seeds pick them by it.
func Acts(slots int) []Act {
	return slices.Concat(storeFaults(slots), coreFaults(slots), groupFaults(slots), serverFaults(slots), loadFaults(slots), partitions(slots), outages(slots))
}
