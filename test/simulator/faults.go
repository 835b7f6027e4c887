package simulator

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/membership"
)

// Fault is one fault that a run may inject. Names are what cmd/simsweep's -only and the
// recorded runs of digest_test.go pick faults by; they don't change.
type Fault struct {
	Name string
	// Inject brings the fault about. What it returns ends it; nil: it ends by itself.
	Inject            func(w *World) (undo func())
	Duration          clock.Micros
	ReducesRedundancy bool // a disk is lost: only within the fleet's tolerance
	// StoresLost and CoresLost are how many of each lose their disks; both 0 with
	// ReducesRedundancy: the fault needs a fleet that is fully replicated.
	StoresLost, CoresLost int
}

// UntimedFaults are the faults that come at any moment, in a fixed order: seeds pick them by
// it.
func UntimedFaults(shards int) []Fault {
	return slices.Concat(
		storeFaults(shards),
		coreFaults(shards),
		groupFaults(shards),
		serverFaults(shards),
		loadFaults(shards),
		partitionFaults(shards),
		outageFaults(shards),
	)
}

// undoAll ends several faults in their order.
func undoAll(undos []func()) {
	for _, undo := range undos {
		undo()
	}
}

func crash(n *Node, shards int) (boot func()) {
	n.Crash()
	return func() { n.Boot(shards) }
}

func crashAll(nodes []*Node, shards int) (boot func()) {
	var undos []func()
	for _, n := range nodes {
		undos = append(undos, crash(n, shards))
	}
	return func() { undoAll(undos) }
}

// wipe has a node lose its disk.
func wipe(n *Node, shards int) (boot func()) {
	n.Crash()
	n.Wipe()
	return func() { n.Boot(shards) }
}

// wipeAll has nodes lose their disks at once.
func wipeAll(lost []*Node, shards int) (boot func()) {
	var undos []func()
	for _, n := range lost {
		undos = append(undos, wipe(n, shards))
	}
	return func() { undoAll(undos) }
}

// replaceDaemon has a node lose its disk and moves it to a new address.
func replaceDaemon(w *World, n *Node, shards int) (boot func()) {
	boot = wipe(n, shards)
	w.ChangeAddress(n)
	return boot
}

func freeze(n *Node) (thaw func()) {
	n.Freeze()
	return n.Thaw
}

// isolate blocks all links of a node.
func isolate(w *World, n *Node) (heal func()) {
	w.SetIsolated(n.Name, true)
	w.Tracef("%s is isolated", n.Name)
	return func() {
		w.SetIsolated(n.Name, false)
		w.Tracef("%s is connected again", n.Name)
	}
}

// partitionZones blocks the links between some zones and the others.
func partitionZones(w *World, zones map[string]bool) (heal func()) {
	w.SetZonesPartitioned(zones, true)
	return func() { w.SetZonesPartitioned(zones, false) }
}

// blockTwo blocks the link between two nodes of a kind, where it picks different ones.
func blockTwo(w *World, kind string) (heal func()) {
	a, b := w.randomNode(kind), w.randomNode(kind)
	w.SetLinkBlocked(a.Name, b.Name, a != b)
	w.Tracef("the link between %s and %s is blocked", a.Name, b.Name)
	return func() { w.SetLinkBlocked(a.Name, b.Name, false) }
}

func randomStore(w *World) *Node { return w.randomNode(membership.Store) }

func randomCore(w *World) *Node { return w.randomNode(membership.Core) }

func randomEdge(w *World) *Node { return w.randomNode(membership.Edge) }
