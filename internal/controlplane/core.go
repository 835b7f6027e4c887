// Package controlplane is the state machine of a core daemon (DESIGN §5, docs/CONTROL.md).
//
// A Core dispatches commands (messages, calls, ticks, completed writes) to its parts and
// holds the control state, which a replication group of cores replicates. Each part is a
// package below this one:
//
//	election         which core is primary: votes, terms, leases, voters
//	state            the replicated control state and its entries
//	changequeue      the queue of changes, and the decisions on operators' requests
//	placement        which stores hold which shard
//	stores           the stores that send heartbeats: which may join, which are evicted
//	durableupdates   updates that survive a stop of the fleet, kept on disk
//	primaryreport    the reports of other daemons to the primary
//	usage            the usage reports that are due, from the counts of the edges
//	autoscale        how many servers each zone of a pool should have
//
// Package internal/exclusive decides which node performs acts on external systems; permits.go
// replicates its decisions through the replication group.
//
// A Core does no I/O: it takes commands and the current time and returns effects, and never
// uses a clock, a socket or a file. It is not safe for concurrent use; the daemon's event
// loop owns it.
//
// Invariant: whatever requires this core to be primary (confirming or reading a configuration,
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

// compactAfterBytes is the size of the changes on disk after which a snapshot replaces them;
// Settings.CompactAfter limits their number.
const compactAfterBytes = 1 << 20

// InjectedFaults are faults that tests inject to verify that the checks detect them. Set by
// tests only.
type InjectedFaults struct {
	Election          election.InjectedFaults
	SkipRequestTable  bool // snapshots lack the table that recognises repeated requests
	SkipStoreEviction bool // lost stores are not evicted and keep their votes for updates
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
	usage          *usage.Collector   // nil if usage is not reported
	autoscale      *autoscale.Planner // nil if autoscaling is disabled

	plannerState    placement.PlannerState
	nextReconcileAt clock.Micros
	published       published
	disk            diskProbation

	recordsSinceCompaction int // records written since the last snapshot on disk
	bytesSinceCompaction   int // bytes in their bodies

	// Changes and UnknownOutcomes are counters for operators: changes that were
	// replicated, and calls that were answered with an unknown outcome.
	Changes, UnknownOutcomes int64
	// BadRecord is the first error found in stored data; nil if there is none.
	BadRecord error
}

// New creates a core from the records read from its disk. incarnation counts the starts of
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

// restore restores the state from one record.
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

// Do applies a command and returns its effects.
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

// compactedRecords returns records that are equivalent to all records written so far.
func (c *Core) compactedRecords() []machine.Record {
	records := []machine.Record{c.election.VoteRecord()}
	records = append(records, c.durableUpdates.Records()...)
	return append(records, c.groups.CompactedRecords()...)
}

// countRecords counts the written records and bytes towards the next compaction.
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

// InjectFaults injects faults. For tests only.
func (c *Core) InjectFaults(faults InjectedFaults) {
	c.faults = faults
	c.election.InjectFaults(faults.Election)
	if c.usage != nil {
		c.usage.InjectFaults(faults.Usage)
	}
	c.arbiter.InjectFaults(faults.Acts)
}

// group returns the replication group that holds the control state.
func (c *Core) group() *replication.Group { return c.groups.Group(election.GroupUnit) }

// Groups gives tests access to the core's replication group.
func (c *Core) Groups() *replication.Groups { return c.groups }

// State returns the replicated control state; callers must copy it before they change it.
func (c *Core) State() *state.State { return c.state }

// Vote returns the state that this core keeps as a voter.
func (c *Core) Vote() election.Vote { return c.election.Vote() }

// IsServing reports whether this core is the primary and may confirm changes.
func (c *Core) IsServing() bool { return c.election.IsServing() }

// HoldsLease reports whether this core is the primary and holds its lease.
func (c *Core) HoldsLease(now clock.Micros) bool { return c.election.HoldsLease(now) }

// IsNeeded reports whether other cores still depend on this one; a draining core stops once
// none does.
func (c *Core) IsNeeded(now clock.Micros) bool { return c.election.IsNeeded(now) }
