package replication

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// This file is a replica's part of a group.

// BecomeReplica makes this member a replica under a new epoch; the primary's copy fills it.
func (g *Groups) BecomeReplica(unit string, epoch uint64, primary string, now clock.Micros) {
	r := g.Group(unit)
	led, old := r.IsPrimary(), r.Epoch
	g.releaseGrantedLeases(r)
	r.Epoch, r.Role, r.primary = epoch, ReceivingSnapshot, primary
	r.unconfirmed, r.earlyEntries, r.replicas = nil, nil, nil
	if led {
		g.state.Deposed(unit, old, now)
	}
}

// VoidGrantedLease ends the lease that this replica granted: the life it was granted to is over.
func (g *Groups) VoidGrantedLease(unit string) {
	r := g.Group(unit)
	r.grantedLeaseUntil, r.recoveredFromDisk = 0, false
}

// rejectStaleEpoch tells a sender of an old epoch that it is fenced.
func (g *Groups) rejectStaleEpoch(unit string, epoch uint64, from string) bool {
	r := g.Group(unit)
	if epoch >= r.Epoch || g.SkipEpochCheck {
		return false
	}
	g.effects.Emit(machine.Send{To: from, Body: StaleEpoch{Unit: unit, Epoch: r.Epoch}})
	return true
}

// handleLeaseRequest gives the leases that a primary asks for.
func (g *Groups) handleLeaseRequest(from string, m LeaseRequest, now clock.Micros) {
	granted := LeaseGrant{Stamp: m.Stamp}
	for _, requested := range m.Units {
		if g.rejectStaleEpoch(requested.Unit, requested.Epoch, from) {
			continue
		}
		r := g.Group(requested.Unit)
		if requested.Epoch == r.Epoch && r.Role == Replicating && from == r.primary {
			r.grantedLeaseUntil, r.grantedLeaseEpoch = max(r.grantedLeaseUntil, now+LeaseWait), requested.Epoch
			granted.Units = append(granted.Units, requested)
		}
	}
	if len(granted.Units) > 0 {
		g.effects.Emit(machine.Send{To: from, Body: granted})
	}
}

// handleLeaseRelease takes a lease back that a deposed primary gives up.
func (g *Groups) handleLeaseRelease(m LeaseRelease, now clock.Micros) {
	r := g.Group(m.Unit)
	if m.Epoch < r.grantedLeaseEpoch {
		return
	}
	r.grantedLeaseUntil = 0
	if r.Role == SendingSnapshot && r.formerLeaseEnd > now && m.Epoch < r.Epoch {
		r.formerLeaseEnd = 0
		g.sendSnapshot(r, now)
	}
}

// handleSnapshotChunk takes a piece of the primary's state, adopts it where this member holds
// the same state already, and restores it once every piece is there.
func (g *Groups) handleSnapshotChunk(from string, m SnapshotChunk, now clock.Micros) {
	if g.rejectStaleEpoch(m.Unit, m.Epoch, from) {
		return
	}
	r := g.Group(m.Unit)
	switch {
	case m.Epoch == r.Epoch && r.Role == Replicating:
		g.acknowledge(r, from, true)
		return
	case m.Epoch == r.Epoch && r.Role != ReceivingSnapshot:
		return
	case m.Epoch > r.Epoch:
		// The primary's word came before the updates of the assignment.
		g.BecomeReplica(m.Unit, m.Epoch, from, now)
	}
	if r.receivingEpoch != m.Epoch {
		r.receivingEpoch, r.receivedChunks = m.Epoch, map[int][][]byte{}
		if m.StateEpoch > 0 && r.stateEpoch == m.StateEpoch && r.Seq == m.Seq {
			g.adoptState(r, from, m)
			return
		}
	}
	g.effects.Emit(machine.Send{To: from, Body: SnapshotChunkAck{Unit: m.Unit, Epoch: m.Epoch, Index: m.Index}})
	if r.receivedChunks == nil {
		return // whole, and being written
	}
	r.receivedChunks[m.Index] = m.Parts
	if len(r.receivedChunks) == m.Count {
		g.installSnapshot(r, from, m)
	}
}

// adoptState carries the state that this member holds over into the epoch.
func (g *Groups) adoptState(r *Group, from string, m SnapshotChunk) {
	r.receivedChunks, r.primary, r.stateEpoch = nil, from, m.Epoch
	g.Persist([]machine.Record{{Unit: m.Unit, Kind: KindAdopt, Epoch: m.Epoch, Seq: m.Seq}}, g.snapshotPersisted(r, from, m))
}

// installSnapshot takes the whole copy over.
func (g *Groups) installSnapshot(r *Group, from string, m SnapshotChunk) {
	var parts [][]byte
	for at := 0; at < m.Count; at++ {
		parts = append(parts, r.receivedChunks[at]...)
	}
	r.receivedChunks, r.primary, r.earlyEntries, r.stateEpoch = nil, from, nil, m.Epoch
	g.state.Restore(m.Unit, parts)
	r.Seq, r.SyncedSeq = m.Seq, 0
	g.Persist([]machine.Record{{Unit: m.Unit, Kind: KindSnapshot, Epoch: m.Epoch, Seq: m.Seq, Body: encodeParts(parts)}}, g.snapshotPersisted(r, from, m))
}

func (g *Groups) snapshotPersisted(r *Group, from string, m SnapshotChunk) func(now clock.Micros) {
	return func(_ clock.Micros) {
		if r.Epoch == m.Epoch && r.Role == ReceivingSnapshot {
			r.Role, r.SyncedSeq = Replicating, m.Seq
			g.acknowledge(r, from, true)
		}
	}
}

// handleAppend takes an entry in its turn.
func (g *Groups) handleAppend(from string, m Append, _ clock.Micros) {
	if g.rejectStaleEpoch(m.Unit, m.Epoch, from) {
		return
	}
	r := g.Group(m.Unit)
	switch {
	case m.Epoch != r.Epoch || r.Role != Replicating:
		return
	case m.Seq <= r.SyncedSeq:
		g.acknowledge(r, from, false)
		return
	case m.Seq <= r.Seq:
		return // taken, and not yet synced
	case m.Seq != r.Seq+1:
		r.bufferEarly(m)
		return
	}
	g.applyInOrder(r, from, m)
	for next, ok := r.earlyEntries[r.Seq+1]; ok && next.Epoch == r.Epoch; next, ok = r.earlyEntries[r.Seq+1] {
		delete(r.earlyEntries, next.Seq)
		g.applyInOrder(r, from, next)
	}
}

// bufferEarly keeps an entry aside for when its turn comes; the primary repeats what
// finds no room.
func (r *Group) bufferEarly(m Append) {
	if r.earlyEntries == nil {
		r.earlyEntries = map[uint64]Append{}
	}
	if len(r.earlyEntries) < maxEarlyEntries {
		r.earlyEntries[m.Seq] = m
	}
}

func (g *Groups) applyInOrder(r *Group, from string, m Append) {
	r.Seq = m.Seq
	g.state.ApplyEntry(m.Unit, m.Entry)
	g.Persist([]machine.Record{{Unit: m.Unit, Kind: KindEntry, Epoch: m.Epoch, Seq: m.Seq, Body: m.Entry}}, func(_ clock.Micros) {
		if r.Epoch == m.Epoch && r.Role == Replicating {
			r.SyncedSeq = max(r.SyncedSeq, m.Seq)
			g.acknowledge(r, from, false)
		}
	})
}

func (g *Groups) acknowledge(r *Group, to string, copied bool) {
	g.effects.Emit(machine.Send{To: to, Body: AppendAck{Unit: r.Unit, Epoch: r.Epoch, Seq: r.SyncedSeq, SnapshotInstalled: copied}})
}
