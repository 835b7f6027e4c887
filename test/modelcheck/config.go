// Package modelcheck runs the real machine of the core daemons (internal/controlplane, with
// the replication group inside it) through all orders of a bounded set of events: messages
// delivered, lost, repeated and delayed past leases, clocks that move on without a process,
// crashes that keep any prefix of the unsynced writes, wiped disks, replacements, blocked
// links and operators' requests. After each event it checks the properties of the control
// plane (property.go). A violation comes with a run that can be replayed, one event a line;
// the spellings of events are in kept traces and don't change.
//
// A World is one state of a run. Apply returns another one and leaves the first as it is, so
// that a search (BreadthFirst, DepthFirst, RandomWalk) can go on from any state. Nothing here
// is for use by several goroutines at a time on one Config with OnEffect set.
package modelcheck

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/machine"
)

// Limits is how often each kind of fault may come in one run.
type Limits struct {
	Crashes       int // of one process or of all
	Wipes         int // wiped disks and replacements
	Partitions    int // partitions and blocked links
	Pauses        int // paused processes and disks that take no writes
	MessageFaults int // messages dropped, repeated, delayed
	Puts          int // operators' requests
	TimePasses    int // times that time goes by
	Drains        int // members notified that they are about to be removed
}

// Config is what is explored.
type Config struct {
	Voters int
	// MaxLosses is how many members may be lost for good at one time; below 0: what the
	// voters tolerate.
	MaxLosses int
	// Zones are how many zones the processes are spread over; 0: each has its own.
	Zones int
	// Spares are further processes that are down at first; started, they request a vote.
	Spares int
	// StartEmpty begins runs with empty processes instead of a fleet that serves.
	StartEmpty bool
	// InitialTrace is a run that leads to where the search begins.
	InitialTrace Trace
	// FineGrained has each message, sync and tick as an event of its own; without
	// it heartbeats and leases travel only while time goes by fairly.
	FineGrained bool
	// OnlyEvents are the first fields of the events to be explored ("pass 6s", "crash"); all
	// when empty.
	OnlyEvents []string
	Limits     Limits
	// Fault names a planted fault (FaultNames), "" for none.
	Fault string
	// OnEffect receives each effect of a process, known by its index, just before it is
	// carried out. May be nil.
	OnEffect func(now clock.Micros, processIndex int, effect machine.Effect)
}

// DefaultLimits allows a few faults of every kind.
func DefaultLimits() Limits {
	return Limits{Crashes: 3, Wipes: 2, Partitions: 3, Pauses: 2, MessageFaults: 4, Puts: 5, TimePasses: 12, Drains: 1}
}

// Tolerance is how many members may be lost for good at one time.
func (c *Config) Tolerance() int {
	if c.MaxLosses >= 0 {
		return c.MaxLosses
	}
	return (c.Voters - 1) / 2
}

// controlSettings are those of a core: the defaults, for this many voters. A process may
// bootstrap the fleet until its disk is wiped.
func (c *Config) controlSettings(b bootState) controlplane.Settings {
	set := controlplane.Defaults()
	set.Shards = 1
	set.Founders = 0
	set.Bootstrap = b.bootstrap
	set.Tolerance = (c.Voters - 1) / 2
	return set
}

func (c *Config) seeds() []string {
	seeds := make([]string, c.Voters)
	for i := range seeds {
		seeds[i] = processName(i)
	}
	return seeds
}
