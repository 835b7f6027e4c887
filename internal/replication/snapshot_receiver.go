package replication

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// incomingSnapshot gathers the chunks of the primary's snapshot.
type incomingSnapshot struct {
	// epoch is the one whose snapshot is gathered or being written.
	epoch uint64
	// chunks are those that arrived, by index. It is nil once the snapshot is complete and being
	// written.
	chunks map[int][][]byte
}

func (s *incomingSnapshot) begin(epoch uint64) {
	s.epoch = epoch
	s.chunks = map[int][][]byte{}
}

// join gives the parts of all chunks in order.
func (s *incomingSnapshot) join(count int) [][]byte {
	var parts [][]byte
	for index := range count {
		parts = append(parts, s.chunks[index]...)
	}
	return parts
}

// handleSnapshotChunk gathers the primary's state and installs it once every chunk is there. A
// member that has the same state already adopts it with the first chunk.
func (gs *Groups) handleSnapshotChunk(from string, m SnapshotChunk, now clock.Micros) {
	if gs.rejectStaleEpoch(from, m.Unit, m.Epoch) {
		return
	}
	g := gs.Group(m.Unit)
	switch {
	case m.Epoch == g.Epoch && g.Role == Replicating:
		gs.acknowledge(g, from, true)
		return
	case m.Epoch == g.Epoch && g.Role != ReceivingSnapshot:
		return
	case m.Epoch > g.Epoch:
		// The primary's message arrived before the assignment that makes this member a replica.
		gs.BecomeReplica(m.Unit, m.Epoch, from, now)
	}
	if g.asReplica.snapshot.epoch != m.Epoch {
		g.asReplica.snapshot.begin(m.Epoch)
		if g.hasState(m.StateEpoch, m.Seq) {
			gs.adoptState(g, from, m)
			return
		}
	}
	gs.receiveChunk(g, from, m)
}

// hasState reports whether this member's state is the one that was written up to seq under an
// epoch.
func (g *Group) hasState(stateEpoch, seq uint64) bool {
	return stateEpoch > 0 && g.stateEpoch == stateEpoch && g.Seq == seq
}

// receiveChunk acknowledges a chunk, and installs the snapshot once it is complete.
func (gs *Groups) receiveChunk(g *Group, from string, m SnapshotChunk) {
	gs.effects.Emit(machine.Send{To: from, Body: SnapshotChunkAck{Unit: m.Unit, Epoch: m.Epoch, Index: m.Index}})
	snapshot := &g.asReplica.snapshot
	if snapshot.chunks == nil {
		return // complete, and being written
	}
	snapshot.chunks[m.Index] = m.Parts
	if len(snapshot.chunks) == m.Count {
		gs.installSnapshot(g, from, m)
	}
}

// adoptState continues the state that this member has under the new epoch.
func (gs *Groups) adoptState(g *Group, from string, m SnapshotChunk) {
	g.asReplica.primary = from
	g.asReplica.snapshot.chunks = nil
	g.stateEpoch = m.Epoch
	record := machine.Record{Unit: m.Unit, Kind: KindAdopt, Epoch: m.Epoch, Seq: m.Seq}
	gs.Persist([]machine.Record{record}, gs.snapshotPersisted(g, from, m))
}

// installSnapshot replaces the state by the complete snapshot. m is any of its chunks.
func (gs *Groups) installSnapshot(g *Group, from string, m SnapshotChunk) {
	parts := g.asReplica.snapshot.join(m.Count)
	g.asReplica.primary = from
	g.asReplica.snapshot.chunks = nil
	g.asReplica.reorderBuffer = nil
	g.stateEpoch = m.Epoch
	localParts := gs.state.Install(m.Unit, parts)
	g.Seq = m.Seq
	g.SyncedSeq = 0
	record := machine.Record{Unit: m.Unit, Kind: KindSnapshot, Epoch: m.Epoch, Seq: m.Seq, Body: encodeParts(localParts)}
	gs.Persist([]machine.Record{record}, gs.snapshotPersisted(g, from, m))
}

// snapshotPersisted is called once the epoch's state is on disk: from then on this member
// replicates.
func (gs *Groups) snapshotPersisted(g *Group, from string, m SnapshotChunk) func(now clock.Micros) {
	return func(_ clock.Micros) {
		if g.Epoch == m.Epoch && g.Role == ReceivingSnapshot {
			g.Role = Replicating
			g.SyncedSeq = m.Seq
			gs.acknowledge(g, from, true)
		}
	}
}
