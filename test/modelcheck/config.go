// Package modelcheck is a model checker for the state machine of the core daemons
// (internal/controlplane with its replication group). It runs the production code through the
// orders of a bounded set of events: messages delivered, lost, repeated and delayed past leases,
// clocks that advance while a process does not run, crashes that keep any prefix of the unsynced
// writes, wiped disks, replacements, blocked links and operators' requests. After each event it
// checks the properties of the control plane (property.go). A violation comes with a trace that
// can be replayed, one event per line; the spellings of events occur in stored traces and must
// not change.
//
// A World is one state of a run. Apply returns a new World and does not modify the old one, so
// that a search (BreadthFirst, DepthFirst, RandomWalk) can continue from any state. A Config with
// OnEffect set must not be used by several goroutines at a time.
package modelcheck

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/machine"
)

// Limits bounds how often each kind of event may happen in one run.
type Limits struct {
	Crashes       int // of one process or of all
	Wipes         int // wiped disks and replacements
	Partitions    int // partitions and blocked links
	Pauses        int // paused processes and disks that accept no writes
	MessageFaults int // messages dropped, repeated, delayed
	Puts          int // operators' requests
	TimePasses    int // events that let time pass
	Drains        int // members notified that they are about to be removed
}

// Config describes the fleet to explore and the events to explore it with.
type Config struct {
	Voters int
	// MaxLosses is how many members may be permanently lost at one time; if negative, as many
	// as the voters tolerate.
	MaxLosses int
	// Zones is how many zones the processes are spread over; if 0, each has its own.
	Zones int
	// Spares is how many additional processes there are, which are down at first; once started,
	// they request a vote.
	Spares int
	// StartEmpty starts runs with empty processes instead of a serving fleet.
	StartEmpty bool
	// InitialTrace leads to the state in which the search starts.
	InitialTrace Trace
	// FineGrained adds events for single ticks, for clocks that advance without ticks, for single
	// heartbeats and lease messages, and for links that lose one kind of message. Without it,
	// heartbeats and lease messages are delivered only by PassTime and DeliverAll.
	FineGrained bool
	// OnlyEvents are the leading fields of the events to explore ("pass 6s", "crash"); if
	// empty, all events are explored.
	OnlyEvents []string
	Limits     Limits
	// Fault names a planted fault (FaultNames); "" means none.
	Fault string
	// OnEffect, if not nil, receives each effect of a process and the process's index before
	// the effect is applied.
	OnEffect func(now clock.Micros, processIndex int, effect machine.Effect)
}

// DefaultLimits allows a few faults of every kind.
func DefaultLimits() Limits {
	return Limits{Crashes: 3, Wipes: 2, Partitions: 3, Pauses: 2, MessageFaults: 4, Puts: 5, TimePasses: 12, Drains: 1}
}

// Tolerance returns how many members may be permanently lost at one time.
func (c *Config) Tolerance() int {
	if c.MaxLosses >= 0 {
		return c.MaxLosses
	}
	return (c.Voters - 1) / 2
}

// controlSettings returns a core's settings: the defaults, adapted to the number of voters. A
// process may bootstrap the fleet until its disk is wiped.
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
