package replication

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// Messages between the members of a group. Each one carries its epoch, and a receiver that knows
// a higher epoch rejects it with StaleEpoch. The names of the types and fields are part of the wire
// format.
type (
	// SnapshotChunk is one chunk of the primary's state at the start of an epoch. StateEpoch and
	// Seq identify that state: a replica that already has it adopts it and needs no more chunks.
	SnapshotChunk struct {
		Unit         string
		Epoch        uint64
		StateEpoch   uint64
		Seq          uint64
		Index, Count int
		Parts        [][]byte
	}
	// SnapshotChunkAck acknowledges the receipt of a chunk. The snapshot is on disk only once an
	// AppendAck has SnapshotInstalled set.
	SnapshotChunkAck struct {
		Unit  string
		Epoch uint64
		Index int
	}
	// Append replicates one entry.
	Append struct {
		Unit  string
		Epoch uint64
		Seq   uint64
		Entry []byte
	}
	// AppendAck reports the sequence number up to which the replica's disk has the log without a
	// gap, and whether the epoch's snapshot is on that disk.
	AppendAck struct {
		Unit              string
		Epoch             uint64
		Seq               uint64
		SnapshotInstalled bool
	}
	// StaleEpoch rejects a message of a stale epoch. Epoch is the higher epoch that the receiver
	// knows.
	StaleEpoch struct {
		Unit  string
		Epoch uint64
	}
	// LeaseRequest requests leases from a replica on the units that it replicates for this primary.
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
	// UnitEpoch identifies a unit's group in one epoch.
	UnitEpoch struct {
		Unit  string
		Epoch uint64
	}
	// LeaseRelease gives up a lease before it expires: the primary of that epoch has stopped
	// serving.
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
