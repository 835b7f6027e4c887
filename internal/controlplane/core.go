// Package controlplane is the state machine of a core daemon (DESIGN §5, docs/CONTROL.md).
//
// A Core routes commands (messages, calls, ticks, writes that are done) to its parts and
// holds the control state that a replication group of cores replicates. Each part is a
// package of its own below this one:
//
//	election         which core is primary: votes, terms, leases, voters
//	state            the replicated control state and its entries
//	changequeue      the order of changes, and the decision on operators' requests
//	placement        which stores hold which shard
//	stores           the stores that are heard: who may join, who is evicted
//	durableupdates   updates that outlive a stop of the fleet, kept on disk
//	primaryreport    what other daemons tell the primary of their work
//	usage            the reports of use that are due, from what the edges counted
//	autoscale        how many servers the zones of a pool are to have
//
// Which node performs acts on outside systems is decided by internal/exclusive; permits.go takes
// its decisions through the replication group.
//
// A Core is pure: commands and the time go in, effects come out, and nothing here touches
// a clock, a socket or a file. It is not safe for concurrent use; the daemon's event loop
// owns it.
//
// Invariant: what depends on being primary (confirming and reading a configuration,
// deciding a request, assigning a shard) happens only under the lease (Core.HoldsLease),
// and is acknowledged only once every replica has it on disk (Core.Confirmed).
package controlplane

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/autoscale"
	"tuliprudder/internal/controlplane/changequeue"
	"tuliprudder/internal/controlplane/durableupdates"
	"tuliprudder/internal/controlplane/election"
	"tuliprudder/internal/controlplane/placement"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/controlplane/stores"
	"tuliprudder/internal/controlplane/usage"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/replication"
)

// compactAfterBytes is how many bytes of changes are written before a snapshot replaces
// them; Settings.CompactAfter says after how many changes.
const compactAfterBytes = 1 << 20

// InjectedFaults are faults that tests plant to show that the checks catch them. Set by
// tests only.
type InjectedFaults struct {
	Election          election.InjectedFaults
	SkipRequestTable  bool // a snapshot lacks what recognises repeated requests
	SkipStoreEviction bool // a lost store keeps its vote for updates
	Usage             usage.InjectedFaults
	Acts              exclusive.InjectedFaults
}

// Core is the state machine of a core daemon.
type Core struct {
	machine.Effects
	settings Settings
	faults   InjectedFaults
	self     election.CoreRef

	groups         *replication.Groups
	state          *state.State
	election       *election.Election
	queue          changequeue.Queue
	stores         *stores.Table
	durableUpdates *durableupdates.Table
	arbiter        *exclusive.Arbiter
	permitRequests permitRequests
	actSources     []exclusive.Source
	usage          *usage.Collector   // nil where nothing is reported of use
	autoscale      *autoscale.Planner // nil where no servers are scaled

	placementMemory placement.Memory
	nextReconcileAt clock.Micros
	published       published
	disk            diskProbation

	recordsSinceCompaction int // written since the last snapshot on disk
	bytesSinceCompaction   int // of their bodies

	// Changes and UnknownOutcomes are counters for the operators: changes that were
	// replicated, and calls whose outcome was not known.
	Changes, UnknownOutcomes int64
	// BadRecord is the first damage that was found in what was read back; nil when there is none.
	BadRecord error
}

// New makes a core from what was read back from its disk. incarnation counts the starts of
// this process, seeds are the addresses of the cores that bootstrap the fleet.
func New(self election.CoreRef, incarnation uint64, seeds []string, settings Settings, records []machine.Record) *Core {
	c := &Core{
		settings:       settings,
		self:           self,
		state:          state.New(),
		stores:         stores.New(settings.stores()),
		durableUpdates: durableupdates.New(),
		arbiter:        exclusive.NewArbiter(settings.Acts),
	}
	if settings.Usage.IsEnabled() {
		c.usage = usage.NewCollector(settings.Usage, c.Emit)
		c.AddActSource(c.usage)
	}
	if settings.Autoscale {
		c.autoscale = autoscale.New(c.Emit)
		c.AddActSource(c.autoscale)
	}
	c.groups = replication.NewGroups(&c.Effects, c)
	identity := election.Identity{Core: self, Incarnation: incarnation, Seeds: seeds}
	c.election = election.New(identity, settings.election(), c.groups, &c.Effects, c.startServing)
	for _, record := range records {
		c.restore(record)
	}
	return c
}

// restore reads one record back.
func (c *Core) restore(record machine.Record) {
	if isVote, err := c.election.RestoreVote(record); isVote {
		if err != nil {
			c.haltOnCorruption(err)
		}
		return
	}
	if isEndpoint, err := c.durableUpdates.Restore(record); isEndpoint {
		if err != nil {
			c.BadRecord = err
		}
		return
	}
	c.groups.Recover(record)
}

// Do applies a command and hands over the effects.
func (c *Core) Do(command Command, now clock.Micros) []machine.Effect {
	if !c.rejectWhileUnwritable(command, now) {
		command.Apply(c, now)
	}
	if c.recordsSinceCompaction >= c.settings.CompactAfter || c.bytesSinceCompaction >= compactAfterBytes {
		c.recordsSinceCompaction, c.bytesSinceCompaction = 0, 0
		c.Emit(machine.Compact{Records: c.compactedRecords()})
	}
	effects := c.Drain()
	c.countRecords(effects)
	return effects
}

// compactedRecords are records that say the same as all written so far.
func (c *Core) compactedRecords() []machine.Record {
	records := []machine.Record{c.election.VoteRecord()}
	records = append(records, c.durableUpdates.Records()...)
	return append(records, c.groups.CompactedRecords()...)
}

// countRecords counts what is written towards the next compaction.
func (c *Core) countRecords(effects []machine.Effect) {
	for _, effect := range effects {
		persist, ok := effect.(machine.Persist)
		if !ok {
			continue
		}
		c.recordsSinceCompaction++
		for _, record := range persist.Records {
			c.bytesSinceCompaction += len(record.Body)
		}
	}
}

// InjectFaults plants faults. For tests only.
func (c *Core) InjectFaults(faults InjectedFaults) {
	c.faults = faults
	c.election.InjectFaults(faults.Election)
	if c.usage != nil {
		c.usage.InjectFaults(faults.Usage)
	}
	c.arbiter.InjectFaults(faults.Acts)
}

// group is the replication group that holds the control state.
func (c *Core) group() *replication.Group { return c.groups.Group(election.GroupUnit) }

// Groups is the core's replication group, for tests.
func (c *Core) Groups() *replication.Groups { return c.groups }

// State is the replicated control state; a copy must be taken before it is changed.
func (c *Core) State() *state.State { return c.state }

// Vote is what this core keeps as a voter.
func (c *Core) Vote() election.Vote { return c.election.Vote() }

// IsServing tells whether this core is the primary and may confirm.
func (c *Core) IsServing() bool { return c.election.IsServing() }

// HoldsLease tells whether this core is the primary and holds its lease.
func (c *Core) HoldsLease(now clock.Micros) bool { return c.election.HoldsLease(now) }

// IsNeeded tells whether others still depend on this core; a core that drains stops once
// none does.
func (c *Core) IsNeeded(now clock.Micros) bool { return c.election.IsNeeded(now) }
