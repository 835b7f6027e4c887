package replication

import "tuliprudder/internal/machine"

// Recover replays one record read from disk. Records must be replayed in the order in which they
// were written. The group stays Idle: only a new epoch gives it a role.
func (gs *Groups) Recover(record machine.Record) {
	g := gs.Group(record.Unit)
	g.asReplica.granted.unknownAfterRestart = true
	switch record.Kind {
	case KindSnapshot:
		gs.state.Restore(record.Unit, decodeParts(record.Body))
		g.Epoch = record.Epoch
		g.Seq = record.Seq
	case KindAdopt:
		if record.Seq == g.Seq {
			g.Epoch = record.Epoch
		}
	case KindEntry:
		if record.Epoch == g.Epoch && record.Seq == g.Seq+1 {
			g.Seq = record.Seq
			gs.state.ApplyEntry(record.Unit, record.Body)
		}
	case KindDrop:
		gs.state.Restore(record.Unit, nil)
		g.Epoch = record.Epoch
		g.Seq = 0
	}
	g.stateEpoch = g.Epoch
	g.SyncedSeq = g.Seq
}

// CompactedRecords returns one snapshot record for each group that has state. They replace all
// records that the groups have persisted so far (machine.Compact).
func (gs *Groups) CompactedRecords() []machine.Record {
	var out []machine.Record
	for _, g := range gs.All() {
		if g.stateEpoch == 0 {
			continue
		}
		out = append(out, machine.Record{
			Unit:  g.Unit,
			Kind:  KindSnapshot,
			Epoch: g.stateEpoch,
			Seq:   g.Seq,
			Body:  encodeParts(gs.state.LocalSnapshot(g.Unit)),
		})
	}
	return out
}
