package replication

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// Messages between the members of a group. Each one carries its epoch, and a receiver that knows
// a higher one rejects it with StaleEpoch. The names of the types and fields are on the wire.
type (
	// SnapshotChunk is one chunk of the primary's state at the start of an epoch. StateEpoch and
	// Seq identify that state: a replica that has the same one adopts it and needs no more chunks.
	SnapshotChunk struct {
		Unit         string
		Epoch        uint64
		StateEpoch   uint64
		Seq          uint64
		Index, Count int
		Parts        [][]byte
	}
	// SnapshotChunkAck acknowledges that a chunk was received. The snapshot is not on disk before
	// an AppendAck says SnapshotInstalled.
	SnapshotChunkAck struct {
		Unit  string
		Epoch uint64
		Index int
	}
	// Append is one entry.
	Append struct {
		Unit  string
		Epoch uint64
		Seq   uint64
		Entry []byte
	}
	// AppendAck says up to which entry the replica's disk has the log without a gap, and whether
	// it has the epoch's snapshot.
	AppendAck struct {
		Unit              string
		Epoch             uint64
		Seq               uint64
		SnapshotInstalled bool
	}
	// StaleEpoch tells a former primary that its epoch is stale, and the higher one.
	StaleEpoch struct {
		Unit  string
		Epoch uint64
	}
	// LeaseRequest asks a replica for leases on the units that it replicates for this primary.
	// Stamp is the time of the request on the primary's clock.
	LeaseRequest struct {
		Units []UnitEpoch
		Stamp clock.Micros
	}
	// LeaseGrant grants leases of LeaseDuration from Stamp, the request's time on the primary's
	// clock.
	LeaseGrant struct {
		Units []UnitEpoch
		Stamp clock.Micros
	}
	// UnitEpoch is a unit under an epoch.
	UnitEpoch struct {
		Unit  string
		Epoch uint64
	}
	// LeaseRelease gives a lease back before it ends: the primary of that epoch serves no more.
	LeaseRelease struct {
		Unit  string
		Epoch uint64
	}
)

func init() {
	transport.Register(
		SnapshotChunk{},
		SnapshotChunkAck{},
		Append{},
		AppendAck{},
		StaleEpoch{},
		LeaseRequest{},
		LeaseGrant{},
		LeaseRelease{},
	)
}
