// Package modelcheck runs the real machine of the core daemons (internal/controlplane, with the
// replication group inside it) through all orders of a bounded set of events:
// messages delivered, lost, repeated and held back past leases, clocks that move on
// without a process, crashes that keep any prefix of the unsynced writes, wiped
// disks, replacements, cut links and operators' orders. After each event it checks
// the properties of the control plane (check.go). A violation comes with a run that
// can be replayed, one event a line.
package modelcheck

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/machine"
)

// Request is one change that an operator sends: the same each time it is sent again.
type Request struct {
	Name    string
	Number  uint64
	Base    uint64
	HasBase bool
	Body    string
}

// The orders of the runs: two documents under one number, another number on the
// same base, one that builds on the first, and one that builds on the second number.
var operatorRequests = []Request{
	{Name: "A", Number: 1, Base: 0, HasBase: true, Body: `{"doc":"A"}`},
	{Name: "B", Number: 1, Base: 0, HasBase: true, Body: `{"doc":"B"}`},
	{Name: "C", Number: 2, Base: 0, HasBase: true, Body: `{"doc":"C"}`},
	{Name: "D", Number: 2, Base: 1, HasBase: true, Body: `{"doc":"D"}`},
	{Name: "E", Number: 3, Base: 2, HasBase: true, Body: `{"doc":"E"}`},
	{Name: finalRequest, Number: 1000, Body: `{"doc":"final"}`},
}

// finalRequest is put once all trouble has ended; it gives no base, so that it can't be
// refused.
const finalRequest = "final"

// requestTimeout is how long an operator's order waits for its answer.
const requestTimeout = 3 * clock.Second

// Limits is how often each kind of trouble may come in one run.
type Limits struct {
	Crashes       int // crashes and blackouts
	Wipes         int // wiped disks and replacements
	Partitions    int // cut, mute, deafen, starve
	Pauses        int // frozen processes and disks that take no writes
	MessageFaults int // messages dropped, repeated, held
	Puts          int // orders handed in
	TimePasses    int // times that time goes by
	Drains        int // members told that they are about to go
}

// Config is what is explored.
type Config struct {
	Voters int
	// MaxLosses is how many members may be lost for good at one time; below 0: what the
	// voters tolerate.
	MaxLosses int
	// Zones are how many zones the processes are spread over; 0: each has its own.
	Zones int
	// Spares are further processes that are down at first; started, they ask for a vote.
	Spares int
	// StartEmpty begins runs with empty processes instead of a fleet that serves.
	StartEmpty bool
	// InitialTrace is a run that leads to where the search begins.
	InitialTrace Trace
	// FineGrained has each message, sync and tick as an event of its own; without
	// it heartbeats and leases travel only while time goes by fairly.
	FineGrained bool
	// OnlyEvents are the first words of the events to be tried ("pass 6s", "crash"); all when
	// empty.
	OnlyEvents []string
	Limits     Limits
	// Fault names a planted fault, "" for none.
	Fault string
	// OnEffect sees each effect of a process, known by its place, just before it is
	// carried out. May be nil.
	OnEffect func(now clock.Micros, processIndex int, effect machine.Effect)
}

// DefaultLimits is a little of every trouble.
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

// controlSettings are those of a core: the defaults, for this many voters. A process says that
// the fleet may be founded until its disk is wiped.
func (c *Config) controlSettings(b bootState) controlplane.Settings {
	set := controlplane.Defaults()
	set.Shards = 1
	set.Founders, set.Bootstrap, set.Tolerance = 0, b.bootstrap, (c.Voters-1)/2
	return set
}

func processName(i int) string { return fmt.Sprint("c", i+1) }

func (c *Config) seeds() []string {
	seeds := make([]string, c.Voters)
	for i := range seeds {
		seeds[i] = processName(i)
	}
	return seeds
}

// newProcess is a process with an empty disk.
func (c *Config) newProcess(i, generation int, address string) *process {
	name := processName(i)
	id := "core-" + name
	if generation > 0 {
		id = fmt.Sprintf("%s-%d", id, generation)
	}
	zone := i
	if c.Zones > 0 {
		zone = i % c.Zones
	}
	self := election.CoreRef{ID: id, Peer: address, Zone: fmt.Sprint("zone-", zone)}
	return &process{name: name, generation: generation, boot: bootState{self: self, bootstrap: generation == 0}}
}

// configPrefix begins the line of a trace's file that tells what it runs on.
const configPrefix = "# config:"

// ParseConfig reads what a trace runs on from the line of its file that begins with
// "# config:", in the words of cmd/controlcheck's flags.
func ParseConfig(text string) (*Config, error) {
	c := &Config{Voters: 3, MaxLosses: -1, Limits: DefaultLimits()}
	for line := range strings.Lines(text) {
		fields, found := strings.CutPrefix(strings.TrimSpace(line), configPrefix)
		if !found {
			continue
		}
		flags := flag.NewFlagSet("config", flag.ContinueOnError)
		flags.SetOutput(io.Discard)
		flags.IntVar(&c.Voters, "voters", c.Voters, "")
		flags.IntVar(&c.MaxLosses, "losses", c.MaxLosses, "")
		flags.IntVar(&c.Spares, "spares", c.Spares, "")
		flags.IntVar(&c.Zones, "zones", c.Zones, "")
		flags.BoolVar(&c.StartEmpty, "empty", c.StartEmpty, "")
		flags.BoolVar(&c.FineGrained, "fine", c.FineGrained, "")
		flags.StringVar(&c.Fault, "fault", c.Fault, "")
		if err := flags.Parse(strings.Fields(fields)); err != nil {
			return nil, fmt.Errorf("reading %q: %w", line, err)
		}
	}
	return c, nil
}
