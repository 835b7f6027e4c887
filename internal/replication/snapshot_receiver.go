package replication

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// incomingSnapshot collects the chunks of the primary's snapshot.
type incomingSnapshot struct {
	// epoch is the epoch whose snapshot is being received or written to disk.
	epoch uint64
	// chunks holds the received chunks by index. It is nil once the snapshot is complete and being
	// written to disk.
	chunks map[int][][]byte
}

func (s *incomingSnapshot) begin(epoch uint64) {
	s.epoch = epoch
	s.chunks = map[int][][]byte{}
}

// join returns the parts of all chunks in order.
func (s *incomingSnapshot) join(count int) [][]byte {
	var parts [][]byte
	for index := range count {
		parts = append(parts, s.chunks[index]...)
	}
	return parts
}

// handleSnapshotChunk collects the chunks of the primary's state and installs it once all have
// arrived. A member that already has the same state adopts it on the first chunk it receives.
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

// hasState reports whether this member's state is the one written up to seq under stateEpoch.
func (g *Group) hasState(stateEpoch, seq uint64) bool {
	return stateEpoch > 0 && g.stateEpoch == stateEpoch && g.Seq == seq
}

// receiveChunk acknowledges a chunk, and installs the snapshot once it is complete.
func (gs *Groups) receiveChunk(g *Group, from string, m SnapshotChunk) {
	gs.effects.Emit(machine.Send{To: from, Body: SnapshotChunkAck{Unit: m.Unit, Epoch: m.Epoch, Index: m.Index}})
	snapshot := &g.asReplica.snapshot
	if snapshot.chunks == nil {
		return // complete; being written to disk
	}
	snapshot.chunks[m.Index] = m.Parts
	if len(snapshot.chunks) == m.Count {
		gs.installSnapshot(g, from, m)
	}
}

// adoptState carries this member's existing state over into the new epoch.
func (gs *Groups) adoptState(g *Group, from string, m SnapshotChunk) {
	g.asReplica.primary = from
	g.asReplica.snapshot.chunks = nil
	g.stateEpoch = m.Epoch
	record := machine.Record{Unit: m.Unit, Kind: KindAdopt, Epoch: m.Epoch, Seq: m.Seq}
	gs.Persist([]machine.Record{record}, gs.snapshotPersisted(g, from, m))
}

// installSnapshot replaces the state with the complete snapshot. m is any of its chunks.
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

// snapshotPersisted returns the callback for the time when the epoch's state is on disk: this member
// becomes Replicating and acknowledges the snapshot.
func (gs *Groups) snapshotPersisted(g *Group, from string, m SnapshotChunk) func(now clock.Micros) {
	return func(_ clock.Micros) {
		if g.Epoch == m.Epoch && g.Role == ReceivingSnapshot {
			g.Role = Replicating
			g.SyncedSeq = m.Seq
			gs.acknowledge(g, from, true)
		}
	}
}
