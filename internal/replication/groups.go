package replication

import (
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// StateMachine is the replicated state of the units, implemented by the daemon's machine.
type StateMachine interface {
	// Snapshot returns the full state of a unit, to be sent to other members.
	Snapshot(unit string) Snapshot
	// LocalSnapshot returns the full state for this daemon's own disk. It may refer to archives on
	// that disk.
	LocalSnapshot(unit string) [][]byte
	// Install replaces the state of a unit with another member's snapshot. It returns the parts
	// from which Restore rebuilds the same state on this daemon. They may refer to archives whose
	// writes Install has emitted; these are durable before any later write.
	Install(unit string, parts [][]byte) (localParts [][]byte)
	// Restore replaces the state of a unit with a snapshot made by this daemon (LocalSnapshot,
	// Install). No parts stand for the empty state.
	Restore(unit string, parts [][]byte)
	// ApplyEntry applies an entry on a replica or during recovery from disk. The primary applies
	// its entries before it appends them.
	ApplyEntry(unit string, entry []byte)
	// Confirmed is called on the primary once an entry is on every member's disk, in order of
	// sequence numbers.
	Confirmed(unit string, seq uint64, now clock.Micros)
	// GroupReady is called on the primary once every member has the epoch's state on disk, and
	// again every ResendAfter until CommitGroup. It must report this to the authority that assigns
	// groups.
	GroupReady(unit string, epoch uint64, now clock.Micros)
	// Deposed is called on a primary that has lost its role in the group of this epoch.
	Deposed(unit string, epoch uint64, now clock.Micros)
}

// Groups holds all replication groups of a daemon, which share its disk and its connections.
type Groups struct {
	effects *machine.Effects
	state   StateMachine
	groups  map[string]*Group
	// pendingWrites holds the callbacks of writes by token, to be called once the write is on disk.
	pendingWrites map[uint64]func(now clock.Micros)
	lastToken     uint64
	// startedAt is the earliest time passed to this incarnation.
	startedAt clock.Micros
	// InjectedFaults is set only by tests.
	InjectedFaults InjectedFaults
}

// NewGroups returns a daemon's Groups, which emits its effects to effects.
func NewGroups(effects *machine.Effects, state StateMachine) *Groups {
	return &Groups{
		effects:       effects,
		state:         state,
		groups:        map[string]*Group{},
		pendingWrites: map[uint64]func(clock.Micros){},
	}
}

// Group returns the group of a unit. It creates an Idle one if the unit is unknown.
func (gs *Groups) Group(unit string) *Group {
	g := gs.groups[unit]
	if g == nil {
		g = &Group{Unit: unit}
		gs.groups[unit] = g
	}
	return g
}

// All returns the groups ordered by unit.
func (gs *Groups) All() []*Group {
	out := make([]*Group, 0, len(gs.groups))
	for _, g := range gs.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Unit < out[j].Unit })
	return out
}

// Persist writes records and calls done, if not nil, once they are on disk.
func (gs *Groups) Persist(records []machine.Record, done func(now clock.Micros)) {
	token := gs.RegisterWrite(done)
	gs.effects.Emit(machine.Persist{Token: token, Records: records})
}

// RegisterWrite returns the token for a write that the caller emits itself. done, if not nil, is
// called once the write is on disk.
func (gs *Groups) RegisterWrite(done func(now clock.Micros)) uint64 {
	gs.lastToken++
	if done != nil {
		gs.pendingWrites[gs.lastToken] = done
	}
	return gs.lastToken
}

// Persisted handles the completion of a write.
func (gs *Groups) Persisted(token uint64, now clock.Micros) {
	if done := gs.pendingWrites[token]; done != nil {
		delete(gs.pendingWrites, token)
		done(now)
	}
}

// StepDown makes this member Idle and raises its epoch to epoch if that is higher. The state on disk
// stays until Drop.
func (gs *Groups) StepDown(unit string, epoch uint64, now clock.Micros) {
	g := gs.Group(unit)
	gs.changeRole(g, max(g.Epoch, epoch), Idle, now)
}

// changeRole ends this member's current role and gives it a non-primary role. It releases the leases
// of a serving primary and reports a primary as deposed.
func (gs *Groups) changeRole(g *Group, epoch uint64, role Role, now clock.Micros) {
	wasPrimary, formerEpoch := g.IsPrimary(), g.Epoch
	gs.releaseLeases(g)
	g.Epoch = epoch
	g.Role = role
	g.asPrimary.log.clear()
	g.asPrimary.replicas = nil
	if wasPrimary {
		gs.state.Deposed(g.Unit, formerEpoch, now)
	}
}

// Drop deletes the state of a unit whose complete group consists of other daemons.
func (gs *Groups) Drop(unit string, epoch uint64, now clock.Micros) {
	gs.StepDown(unit, epoch, now)
	g := gs.Group(unit)
	g.Seq = 0
	g.SyncedSeq = 0
	g.stateEpoch = epoch
	gs.state.Restore(unit, nil)
	gs.Persist([]machine.Record{{Unit: unit, Kind: KindDrop, Epoch: epoch}}, nil)
}

// Tick renews leases and resends whatever was not acknowledged. It is to be called every few tens
// of milliseconds.
func (gs *Groups) Tick(now clock.Micros) {
	gs.recordStart(now)
	gs.renewLeases(now)
	for _, g := range gs.All() {
		switch g.Role {
		case SendingSnapshot:
			gs.sendSnapshot(g, now)
		case AwaitingCommit:
			gs.reportReadyAgain(g, now)
		case Serving:
			gs.resendEntries(g, now)
		}
	}
}

// HandleMessage handles a message between members. It returns false if the body is not one.
func (gs *Groups) HandleMessage(from string, body any, now clock.Micros) bool {
	gs.recordStart(now)
	switch m := body.(type) {
	case SnapshotChunk:
		gs.handleSnapshotChunk(from, m, now)
	case SnapshotChunkAck:
		gs.handleSnapshotChunkAck(from, m, now)
	case Append:
		gs.handleAppend(from, m)
	case AppendAck:
		gs.handleAppendAck(from, m, now)
	case StaleEpoch:
		gs.handleStaleEpoch(m, now)
	case LeaseRequest:
		gs.handleLeaseRequest(from, m, now)
	case LeaseRelease:
		gs.handleLeaseRelease(m, now)
	case LeaseGrant:
		gs.handleLeaseGrant(from, m)
	default:
		return false
	}
	return true
}

// recordStart records when this incarnation started. Leases that an earlier incarnation granted
// expire at most LeaseWait later.
func (gs *Groups) recordStart(now clock.Micros) {
	if gs.startedAt == 0 {
		gs.startedAt = now
	}
}

// rejectStaleEpoch reports whether a message's epoch is stale, and if so notifies its sender.
func (gs *Groups) rejectStaleEpoch(from, unit string, epoch uint64) bool {
	g := gs.Group(unit)
	if epoch >= g.Epoch || gs.InjectedFaults.SkipEpochCheck {
		return false
	}
	gs.effects.Emit(machine.Send{To: from, Body: StaleEpoch{Unit: unit, Epoch: g.Epoch}})
	return true
}

// handleStaleEpoch makes a primary step down when another member reports a higher epoch.
func (gs *Groups) handleStaleEpoch(m StaleEpoch, now clock.Micros) {
	g := gs.Group(m.Unit)
	if m.Epoch > g.Epoch && g.IsPrimary() {
		gs.StepDown(m.Unit, g.Epoch, now)
	}
}
