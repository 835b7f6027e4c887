package replication

import (
	"math"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// BecomePrimary makes this member the primary under a new epoch, with replicas at the given
// addresses. It serves only after every member has this member's state on disk and the authority
// that assigns groups has recorded the group as complete (CommitGroup). If it served earlier, a
// successor might lack confirmed entries.
func (gs *Groups) BecomePrimary(unit string, epoch uint64, replicas []string, now clock.Micros) {
	gs.recordStart(now)
	g := gs.Group(unit)
	p := &g.asPrimary
	p.formerLeaseEnd = gs.grantedLeaseEnd(g) // from the previous role
	p.adoptedLocally = false
	p.readyReportedAt = 0
	p.log.recordAllSynced() // the adopt record is written after them
	g.Epoch = epoch
	g.Role = SendingSnapshot
	g.asReplica.primary = ""
	g.asReplica.reorderBuffer = nil
	g.asReplica.snapshot.chunks = nil

	p.snapshot = newOutgoingSnapshot(g.stateEpoch, g.Seq, gs.state.Snapshot(unit))
	g.stateEpoch = epoch
	p.replicas = nil
	for _, peer := range replicas {
		p.replicas = append(p.replicas, newReplicaProgress(peer, len(p.snapshot.chunks)))
	}
	gs.adoptLocally(g)
	gs.sendSnapshot(g, now)
}

func newReplicaProgress(peer string, chunks int) *replicaProgress {
	return &replicaProgress{peer: peer, transfer: newSnapshotTransfer(chunks)}
}

// adoptLocally writes a record to this member's own disk that carries its state over into the new
// epoch.
func (gs *Groups) adoptLocally(g *Group) {
	epoch, seq := g.Epoch, g.Seq
	record := machine.Record{Unit: g.Unit, Kind: KindAdopt, Epoch: epoch, Seq: seq}
	gs.Persist([]machine.Record{record}, func(now clock.Micros) {
		if g.Epoch == epoch && g.IsPrimary() {
			g.asPrimary.adoptedLocally = true
			g.SyncedSeq = max(g.SyncedSeq, seq)
			gs.checkSnapshotsInstalled(g, now)
		}
	})
}

// reportReadyAgain repeats the GroupReady report every ResendAfter until CommitGroup.
func (gs *Groups) reportReadyAgain(g *Group, now clock.Micros) {
	if now-g.asPrimary.readyReportedAt >= ResendAfter {
		g.asPrimary.readyReportedAt = now
		gs.state.GroupReady(g.Unit, g.Epoch, now)
	}
}

// CommitGroup makes the primary serve, because the authority that assigns groups has recorded the
// group of this epoch as complete. It returns false if this member is not AwaitingCommit in that
// epoch.
func (gs *Groups) CommitGroup(unit string, epoch uint64, now clock.Micros) bool {
	g := gs.Group(unit)
	if g.Epoch != epoch || g.Role != AwaitingCommit {
		return false
	}
	g.Role = Serving
	g.asPrimary.servingSince = now
	for _, replica := range g.asPrimary.replicas {
		gs.requestLeases(replica.peer, []*Group{g}, now)
	}
	gs.confirmEntries(g, now)
	return true
}

// Append assigns a sequence number to an entry, persists the entry and sends it to the replicas. The
// caller has already applied it. Append returns false if this member is not serving.
func (gs *Groups) Append(unit string, body []byte, now clock.Micros) (uint64, bool) {
	g := gs.Group(unit)
	if g.Role != Serving {
		return 0, false
	}
	g.Seq++
	seq, epoch := g.Seq, g.Epoch
	g.asPrimary.log.append(seq, body, now)
	record := machine.Record{Unit: unit, Kind: KindEntry, Epoch: epoch, Seq: seq, Body: body}
	gs.Persist([]machine.Record{record}, func(now clock.Micros) {
		if g.Epoch == epoch {
			gs.persistedLocally(g, seq, now)
		}
	})
	if gs.InjectedFaults.SkipReplicas {
		return seq, true
	}
	for _, replica := range g.asPrimary.replicas {
		gs.sendEntry(g, replica, seq, body)
	}
	return seq, true
}

func (gs *Groups) sendEntry(g *Group, replica *replicaProgress, seq uint64, body []byte) {
	gs.effects.Emit(machine.Send{
		To:   replica.peer,
		Body: Append{Unit: g.Unit, Epoch: g.Epoch, Seq: seq, Entry: body},
	})
}

func (gs *Groups) persistedLocally(g *Group, seq uint64, now clock.Micros) {
	g.SyncedSeq = max(g.SyncedSeq, seq)
	g.asPrimary.log.recordSynced(seq)
	gs.confirmEntries(g, now)
}

// confirmEntries confirms, in order, the entries that every member has on disk.
// StateMachine.Confirmed may append further entries or end this member's role.
func (gs *Groups) confirmEntries(g *Group, now clock.Micros) {
	for g.Role == Serving {
		seq, ok := g.asPrimary.log.takeConfirmed(gs.replicatedSeq(g))
		if !ok {
			return
		}
		gs.state.Confirmed(g.Unit, seq, now)
	}
}

// replicatedSeq returns the last sequence number that counts as replicated, subject to injected
// faults.
func (gs *Groups) replicatedSeq(g *Group) uint64 {
	switch {
	case gs.InjectedFaults.SkipReplicas:
		return g.Seq
	case gs.InjectedFaults.SkipLastReplica:
		return g.syncedByAny()
	}
	return g.syncedByAll()
}

// syncedByAll returns the last sequence number that is on the disk of every replica, or the maximum
// value if there are no replicas.
func (g *Group) syncedByAll() uint64 {
	lowest := uint64(math.MaxUint64)
	for _, replica := range g.asPrimary.replicas {
		lowest = min(lowest, replica.syncedSeq)
	}
	return lowest
}

// syncedByAny returns the last sequence number that is on the disk of at least one replica.
func (g *Group) syncedByAny() uint64 {
	highest := uint64(0)
	for _, replica := range g.asPrimary.replicas {
		highest = max(highest, replica.syncedSeq)
	}
	return highest
}

// resendEntries resends entries to the replicas that have not acknowledged them.
func (gs *Groups) resendEntries(g *Group, now clock.Micros) {
	if gs.InjectedFaults.SkipReplicas {
		return
	}
	for _, e := range g.asPrimary.log.takeDue(now) {
		for _, replica := range g.asPrimary.replicas {
			if e.seq > replica.syncedSeq {
				gs.sendEntry(g, replica, e.seq, e.body)
			}
		}
	}
}

// handleAppendAck records what a replica has on disk and confirms entries accordingly.
func (gs *Groups) handleAppendAck(from string, m AppendAck, now clock.Micros) {
	g := gs.Group(m.Unit)
	replica := g.replicaAt(from)
	if g.Epoch != m.Epoch || !g.IsPrimary() || replica == nil {
		return
	}
	replica.syncedSeq = max(replica.syncedSeq, m.Seq)
	if m.SnapshotInstalled && !replica.snapshotInstalled {
		replica.snapshotInstalled = true
		replica.syncedSeq = max(replica.syncedSeq, g.asPrimary.snapshot.seq)
		gs.checkSnapshotsInstalled(g, now)
	}
	gs.confirmEntries(g, now)
}
