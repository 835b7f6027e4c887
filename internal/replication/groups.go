package replication

import (
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// StateMachine is the replicated state of the units, implemented by the daemon's machine.
type StateMachine interface {
	// Snapshot gives the whole state of a unit, to be sent to other members.
	Snapshot(unit string) Snapshot
	// LocalSnapshot gives the whole state for this daemon's own disk: it may refer to archives
	// that are on that disk.
	LocalSnapshot(unit string) [][]byte
	// Install replaces the state of a unit by another member's snapshot. It gives the parts from
	// which Restore makes the same state on this daemon: they may refer to archives whose writes
	// Install has emitted, and which are durable before what is written next.
	Install(unit string, parts [][]byte) (localParts [][]byte)
	// Restore replaces the state of a unit by a snapshot of this daemon's own (LocalSnapshot,
	// Install); no parts are the empty state.
	Restore(unit string, parts [][]byte)
	// ApplyEntry applies an entry at a replica, or when it is read back from disk. The primary
	// applies its entries before it appends them.
	ApplyEntry(unit string, entry []byte)
	// Confirmed is called at the primary once an entry is on every member's disk, in order.
	Confirmed(unit string, seq uint64, now clock.Micros)
	// GroupReady is called at the primary once every member has the epoch's state on disk, and
	// again every ResendAfter until CommitGroup. It reports to the authority that assigns groups.
	GroupReady(unit string, epoch uint64, now clock.Micros)
	// Deposed is called at a primary that its group no longer follows under this epoch.
	Deposed(unit string, epoch uint64, now clock.Micros)
}

// Groups is all replication groups of a daemon, which share its disk and its connections.
type Groups struct {
	effects *machine.Effects
	state   StateMachine
	groups  map[string]*Group
	// pendingWrites are called with the time once the write of their token is on disk.
	pendingWrites map[uint64]func(now clock.Micros)
	lastToken     uint64
	// startedAt is the first time that this incarnation was given.
	startedAt clock.Micros
	// InjectedFaults is set by tests only.
	InjectedFaults InjectedFaults
}

// NewGroups makes the groups of a daemon; their effects are emitted to effects.
func NewGroups(effects *machine.Effects, state StateMachine) *Groups {
	return &Groups{
		effects:       effects,
		state:         state,
		groups:        map[string]*Group{},
		pendingWrites: map[uint64]func(clock.Micros){},
	}
}

// Group gives the group of a unit; an unknown one is made and Idle.
func (gs *Groups) Group(unit string) *Group {
	g := gs.groups[unit]
	if g == nil {
		g = &Group{Unit: unit}
		gs.groups[unit] = g
	}
	return g
}

// All lists the groups in the order of their units.
func (gs *Groups) All() []*Group {
	out := make([]*Group, 0, len(gs.groups))
	for _, g := range gs.groups {
		out = append(out, g)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Unit < out[j].Unit })
	return out
}

// Persist writes records and calls done, which may be nil, once they are on disk.
func (gs *Groups) Persist(records []machine.Record, done func(now clock.Micros)) {
	token := gs.RegisterWrite(done)
	gs.effects.Emit(machine.Persist{Token: token, Records: records})
}

// RegisterWrite gives the token for a write that the caller emits itself; done, which may be nil,
// is called once it is on disk.
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

// StepDown ends this member's role under a higher epoch. What is on disk stays until Drop.
func (gs *Groups) StepDown(unit string, epoch uint64, now clock.Micros) {
	g := gs.Group(unit)
	gs.changeRole(g, max(g.Epoch, epoch), Idle, now)
}

// changeRole ends this member's role and gives it another one that is not a primary's.
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

// Drop deletes the state of a unit whose complete group is elsewhere.
func (gs *Groups) Drop(unit string, epoch uint64, now clock.Micros) {
	gs.StepDown(unit, epoch, now)
	g := gs.Group(unit)
	g.Seq = 0
	g.SyncedSeq = 0
	g.stateEpoch = epoch
	gs.state.Restore(unit, nil)
	gs.Persist([]machine.Record{{Unit: unit, Kind: KindDrop, Epoch: epoch}}, nil)
}

// Tick renews leases and repeats what was not acknowledged. It is called every few tens of
// milliseconds.
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

// HandleMessage handles a message between members; false when the body is none.
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

// recordStart records when this incarnation began: leases that an earlier incarnation granted end
// LeaseWait after it at the latest.
func (gs *Groups) recordStart(now clock.Micros) {
	if gs.startedAt == 0 {
		gs.startedAt = now
	}
}

// rejectStaleEpoch reports whether a message's epoch is stale, and if so tells its sender.
func (gs *Groups) rejectStaleEpoch(from, unit string, epoch uint64) bool {
	g := gs.Group(unit)
	if epoch >= g.Epoch || gs.InjectedFaults.SkipEpochCheck {
		return false
	}
	gs.effects.Emit(machine.Send{To: from, Body: StaleEpoch{Unit: unit, Epoch: g.Epoch}})
	return true
}

// handleStaleEpoch ends the role of a primary that another member knows to be succeeded.
func (gs *Groups) handleStaleEpoch(m StaleEpoch, now clock.Micros) {
	g := gs.Group(m.Unit)
	if m.Epoch > g.Epoch && g.IsPrimary() {
		gs.StepDown(m.Unit, g.Epoch, now)
	}
}
