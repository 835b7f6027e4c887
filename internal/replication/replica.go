package replication

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// BecomeReplica makes this member a replica of the primary at the given address under a new epoch.
// It accepts entries and grants leases once it has the primary's state on disk.
func (gs *Groups) BecomeReplica(unit string, epoch uint64, primary string, now clock.Micros) {
	g := gs.Group(unit)
	g.asReplica.primary = primary
	g.asReplica.reorderBuffer = nil
	gs.changeRole(g, epoch, ReceivingSnapshot, now)
}

// handleAppend applies an entry in order of sequence numbers. An entry that arrives out of order is
// buffered.
func (gs *Groups) handleAppend(from string, m Append) {
	if gs.rejectStaleEpoch(from, m.Unit, m.Epoch) {
		return
	}
	g := gs.Group(m.Unit)
	switch {
	case m.Epoch != g.Epoch || g.Role != Replicating:
		return
	case m.Seq <= g.SyncedSeq:
		gs.acknowledge(g, from, false)
		return
	case m.Seq <= g.Seq:
		return // already applied; its write to disk is in progress
	case m.Seq != g.Seq+1:
		g.asReplica.addToReorderBuffer(m)
		return
	}
	gs.applyEntry(g, from, m)
	for {
		next, ok := g.asReplica.reorderBuffer[g.Seq+1]
		if !ok || next.Epoch != g.Epoch {
			return
		}
		delete(g.asReplica.reorderBuffer, next.Seq)
		gs.applyEntry(g, from, next)
	}
}

// addToReorderBuffer buffers an entry whose predecessors have not arrived. If the buffer is full, the
// entry is dropped; the primary resends it.
func (r *replicaState) addToReorderBuffer(m Append) {
	if r.reorderBuffer == nil {
		r.reorderBuffer = map[uint64]Append{}
	}
	if len(r.reorderBuffer) < maxReorderBuffer {
		r.reorderBuffer[m.Seq] = m
	}
}

// applyEntry applies the next entry and acknowledges it once it is on disk.
func (gs *Groups) applyEntry(g *Group, from string, m Append) {
	g.Seq = m.Seq
	gs.state.ApplyEntry(m.Unit, m.Entry)
	record := machine.Record{Unit: m.Unit, Kind: KindEntry, Epoch: m.Epoch, Seq: m.Seq, Body: m.Entry}
	gs.Persist([]machine.Record{record}, func(_ clock.Micros) {
		if g.Epoch == m.Epoch && g.Role == Replicating {
			g.SyncedSeq = max(g.SyncedSeq, m.Seq)
			gs.acknowledge(g, from, false)
		}
	})
}

// acknowledge reports to the primary what this member has on disk.
func (gs *Groups) acknowledge(g *Group, to string, snapshotInstalled bool) {
	gs.effects.Emit(machine.Send{
		To: to,
		Body: AppendAck{
			Unit:              g.Unit,
			Epoch:             g.Epoch,
			Seq:               g.SyncedSeq,
			SnapshotInstalled: snapshotInstalled,
		},
	})
}
