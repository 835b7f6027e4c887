package replication

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/machine"
)

// outgoingSnapshot is the primary's state at the start of an epoch, divided into chunks.
type outgoingSnapshot struct {
	source Snapshot    // nil once every replica has it
	chunks []partRange // the parts of each chunk
	// baseEpoch and seq identify the state: a replica with the same stateEpoch and Seq already
	// has it.
	baseEpoch uint64
	seq       uint64
}

func newOutgoingSnapshot(baseEpoch, seq uint64, source Snapshot) outgoingSnapshot {
	return outgoingSnapshot{
		source:    source,
		chunks:    splitIntoChunks(source.Sizes()),
		baseEpoch: baseEpoch,
		seq:       seq,
	}
}

// snapshotTransfer is the progress of the primary's snapshot at one replica.
type snapshotTransfer struct {
	sentAt []clock.Micros // by chunk: when it was last sent, 0 if never
	acked  []bool         // by chunk
	// awaitingInstalledSince is when a chunk was last acknowledged, or the first chunk was resent
	// to find out whether the snapshot is on disk.
	awaitingInstalledSince clock.Micros
	// progressAt is when the transfer began or a chunk was last acknowledged; 0 before the start.
	progressAt clock.Micros
}

func newSnapshotTransfer(chunks int) snapshotTransfer {
	return snapshotTransfer{sentAt: make([]clock.Micros, chunks), acked: make([]bool, chunks)}
}

// isStalled reports whether the replica has acknowledged nothing for snapshotTimeout.
func (t *snapshotTransfer) isStalled(now clock.Micros) bool {
	return t.progressAt > 0 && now-t.progressAt > snapshotTimeout
}

// isInFlight reports whether a chunk was sent and is neither acknowledged nor due for resending.
func (t *snapshotTransfer) isInFlight(chunk int, now clock.Micros) bool {
	return !t.acked[chunk] && t.sentAt[chunk] > 0 && now-t.sentAt[chunk] < resendChunkAfter
}

// isComplete reports whether the replica has acknowledged every chunk.
func (t *snapshotTransfer) isComplete() bool {
	for _, acked := range t.acked {
		if !acked {
			return false
		}
	}
	return true
}

// dueChunks returns the chunks to send now, at most budget. Chunks in flight count towards
// maxChunksPerReplica. The first chunk is sent alone, because a replica that already has the same
// state needs no more.
func (t *snapshotTransfer) dueChunks(budget int, now clock.Micros) []int {
	var due []int
	unacked := 0
	for chunk := range t.acked {
		if t.acked[chunk] {
			continue
		}
		unacked++
		awaitsFirst := chunk > 0 && !t.acked[0]
		if unacked > maxChunksPerReplica || awaitsFirst {
			break
		}
		if t.isInFlight(chunk, now) {
			continue
		}
		if len(due) >= budget {
			break
		}
		due = append(due, chunk)
	}
	return due
}

// ChunksLeft returns the number of snapshot chunks that the replicas of this primary have not
// acknowledged yet.
func (g *Group) ChunksLeft() int {
	count := 0
	for _, replica := range g.asPrimary.replicas {
		if replica.snapshotInstalled {
			continue
		}
		for _, acked := range replica.transfer.acked {
			if !acked {
				count++
			}
		}
	}
	return count
}

// sendSnapshot keeps a few chunks in flight to each replica and resends those that were not
// acknowledged. It does nothing before the former primary's lease has expired.
func (gs *Groups) sendSnapshot(g *Group, now clock.Micros) {
	if g.Role != SendingSnapshot || now < g.asPrimary.formerLeaseEnd {
		return
	}
	if len(g.asPrimary.replicas) == 0 {
		gs.checkSnapshotsInstalled(g, now)
	}
	for _, replica := range g.asPrimary.replicas {
		if !replica.snapshotInstalled {
			gs.sendSnapshotTo(g, replica, now)
		}
	}
}

func (gs *Groups) sendSnapshotTo(g *Group, replica *replicaProgress, now clock.Micros) {
	transfer := &replica.transfer
	if transfer.progressAt == 0 {
		transfer.progressAt = now
	}
	budget := maxChunksInFlight - gs.chunksInFlight(now)
	for _, chunk := range transfer.dueChunks(budget, now) {
		transfer.sentAt[chunk] = now
		gs.sendChunk(g, replica, chunk)
	}
	if transfer.isComplete() && now-transfer.awaitingInstalledSince >= resendChunkAfter {
		// The acknowledgement that the snapshot is on disk was lost, or the write is still in
		// progress. Once the snapshot is on disk, the replica answers any chunk with it.
		transfer.awaitingInstalledSince = now
		gs.sendChunk(g, replica, 0)
	}
}

// chunksInFlight returns the number of chunks in flight over all units' snapshots.
func (gs *Groups) chunksInFlight(now clock.Micros) int {
	count := 0
	for _, g := range gs.groups {
		if g.Role != SendingSnapshot {
			continue
		}
		for _, replica := range g.asPrimary.replicas {
			count += replica.chunksInFlight(now)
		}
	}
	return count
}

func (p *replicaProgress) chunksInFlight(now clock.Micros) int {
	if p.snapshotInstalled {
		return 0
	}
	count := 0
	for chunk := range p.transfer.sentAt {
		if p.transfer.isInFlight(chunk, now) {
			count++
		}
	}
	return count
}

func (gs *Groups) sendChunk(g *Group, replica *replicaProgress, chunk int) {
	snapshot := &g.asPrimary.snapshot
	gs.effects.Emit(machine.Send{
		To: replica.peer,
		Body: SnapshotChunk{
			Unit:       g.Unit,
			Epoch:      g.Epoch,
			StateEpoch: snapshot.baseEpoch,
			Seq:        snapshot.seq,
			Index:      chunk,
			Count:      len(snapshot.chunks),
			Parts:      makeParts(snapshot.source, snapshot.chunks[chunk]),
		},
	})
}

// handleSnapshotChunkAck records that a replica has received a chunk and sends further chunks: of
// this unit first, then of the others, which share the budget.
func (gs *Groups) handleSnapshotChunkAck(from string, m SnapshotChunkAck, now clock.Micros) {
	g := gs.Group(m.Unit)
	replica := g.replicaAt(from)
	if g.Epoch != m.Epoch || g.Role != SendingSnapshot || replica == nil {
		return
	}
	transfer := &replica.transfer
	isKnownChunk := m.Index >= 0 && m.Index < len(transfer.acked)
	if !isKnownChunk || transfer.acked[m.Index] {
		return
	}
	transfer.acked[m.Index] = true
	transfer.awaitingInstalledSince = now
	transfer.progressAt = now
	gs.sendSnapshot(g, now)
	for _, other := range gs.All() {
		gs.sendSnapshot(other, now)
	}
}

// checkSnapshotsInstalled reports the group as ready once every member has the epoch's state on
// disk and the former primary's lease has expired.
func (gs *Groups) checkSnapshotsInstalled(g *Group, now clock.Micros) {
	p := &g.asPrimary
	if g.Role != SendingSnapshot || !p.adoptedLocally || now < p.formerLeaseEnd {
		return
	}
	servedBefore := p.servingSince > 0
	for _, replica := range p.replicas {
		if !replica.snapshotInstalled && !(gs.InjectedFaults.SkipSnapshot && servedBefore) {
			return
		}
	}
	g.Role = AwaitingCommit
	p.snapshot.source = nil
	p.snapshot.chunks = nil
	gs.state.GroupReady(g.Unit, g.Epoch, now)
}

// SnapshotBytes returns the size in bytes of the snapshot chunks from other members that are
// buffered in memory.
func (gs *Groups) SnapshotBytes() int64 {
	size := int64(0)
	for _, g := range gs.groups {
		for _, chunk := range g.asReplica.snapshot.chunks {
			size += chunkBytes(chunk)
		}
	}
	return size
}

func chunkBytes(parts [][]byte) int64 {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return int64(size)
}
