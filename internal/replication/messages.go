// Package replication is the fenced replication group (DESIGN §4): a primary and its
// replicas hold the same records under an epoch. An entry is confirmed once it is on
// the disk of every member. The package serves the control state on the cores and the
// shards on the stores alike; who the members are is decided elsewhere (Assignment).
//
// A Groups is a pure state machine: inputs are messages, ticks and the disk's
// words, outputs are effects. It is not safe for concurrent use.
package replication

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// Messages between the members of a group. Every one carries its epoch, and a
// receiver that knows a higher one refuses it (fencing).
type (
	// SnapshotChunk is one piece of the primary's whole state at the start of an epoch; a few
	// pieces are under way at a time. StateEpoch and Seq say which state it is: a
	// replica that holds the same one adopts it without a copy.
	SnapshotChunk struct {
		Unit         string
		Epoch        uint64
		StateEpoch   uint64
		Seq          uint64
		Index, Count int
		Parts        [][]byte
	}
	// SnapshotChunkAck acknowledges a piece; it is not on disk before Ack says Copied.
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
	// AppendAck says up to which entry the replica has synced; Copied that the copy is.
	AppendAck struct {
		Unit              string
		Epoch             uint64
		Seq               uint64
		SnapshotInstalled bool
	}
	// StaleEpoch tells a deposed primary of the higher epoch.
	StaleEpoch struct {
		Unit  string
		Epoch uint64
	}
	// LeaseRequest asks a replica for leases on the units it replicates for this primary.
	LeaseRequest struct {
		Units []UnitEpoch
		Stamp clock.Micros
	}
	// LeaseGrant grants leases, counted from the time of asking on the primary's clock.
	LeaseGrant struct {
		Units []UnitEpoch
		Stamp clock.Micros
	}
	// UnitEpoch is a unit under an epoch.
	UnitEpoch struct {
		Unit  string
		Epoch uint64
	}
	// LeaseRelease gives a lease back: the primary of that epoch starts nothing more.
	LeaseRelease struct {
		Unit  string
		Epoch uint64
	}
)

func init() {
	transport.Register(SnapshotChunk{}, SnapshotChunkAck{}, Append{}, AppendAck{}, StaleEpoch{}, LeaseRequest{}, LeaseGrant{}, LeaseRelease{})
}

// Spans of a group. A replica's wait is longer than the primary's lease by a margin
// for clocks that run unevenly.
const (
	LeaseDuration      = 1000 * clock.Millisecond
	LeaseWait          = LeaseDuration + 200*clock.Millisecond
	LeaseRenewInterval = 250 * clock.Millisecond
	ResendAfter        = 400 * clock.Millisecond
	// unreachableAfter is how long past its lease a replica may stay without an answer
	// until it counts as silent.
	unreachableAfter = 800 * clock.Millisecond
	// snapshotTimeout is how long a replica may take without headway in a copy.
	snapshotTimeout = 2 * unreachableAfter
)

// Bounds of what is under way.
const (
	maxResent           = 64
	maxEarlyEntries     = 256
	chunkSize           = 256 << 10 // bytes
	maxChunksPerReplica = 4         // pieces of one copy under way at a time
	maxChunksInFlight   = 16        // pieces of all copies of a daemon
)
