// Package replication is the fenced replication group (DESIGN §4): a primary and its
// replicas hold the same records under an epoch. An entry is confirmed once it is on
// the disk of every member. The package serves the control state on the cores and the
// shards on the stores alike; who the members are is decided elsewhere (Assignment).
//
// A Groups is a pure state machine: inputs are messages, clock events and the disk's
// words, outputs are effects. It is not safe for concurrent use.
package replication

import (
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/transport"
)

// Messages between the members of a group. Every one carries its epoch, and a
// receiver that knows a higher one refuses it (fencing).
type (
	// Copy is one piece of the primary's whole state at the start of an epoch; a few
	// pieces are under way at a time. StateEpoch and Seq say which state it is: a
	// replica that holds the same one adopts it without a copy.
	Copy struct {
		Unit       string
		Epoch      uint64
		StateEpoch uint64
		Seq        uint64
		At, Count  int
		Parts      [][]byte
	}
	// Took acknowledges a piece; it is not on disk before Ack says Copied.
	Took struct {
		Unit  string
		Epoch uint64
		At    int
	}
	// Append is one entry.
	Append struct {
		Unit  string
		Epoch uint64
		Seq   uint64
		Entry []byte
	}
	// Ack says up to which entry the replica has synced; Copied that the copy is.
	Ack struct {
		Unit   string
		Epoch  uint64
		Seq    uint64
		Copied bool
	}
	// Fenced tells a deposed primary of the higher epoch.
	Fenced struct {
		Unit  string
		Epoch uint64
	}
	// Beat asks a replica for leases on the units it replicates for this primary.
	Beat struct {
		Units []Tenancy
		Stamp clock.Micros
	}
	// Leased grants leases, counted from the time of asking on the primary's clock.
	Leased struct {
		Units []Tenancy
		Stamp clock.Micros
	}
	// Tenancy is a unit under an epoch.
	Tenancy struct {
		Unit  string
		Epoch uint64
	}
	// Yield gives a lease back: the primary of that epoch starts nothing more.
	Yield struct {
		Unit  string
		Epoch uint64
	}
)

func init() {
	transport.Register(Copy{}, Took{}, Append{}, Ack{}, Fenced{}, Beat{}, Leased{}, Yield{})
}

// Spans of a group. A replica's wait is longer than the primary's lease by a margin
// for clocks that run unevenly.
const (
	Lease     = 1000 * clock.Millisecond
	LeaseWait = Lease + 200*clock.Millisecond
	BeatEvery = 250 * clock.Millisecond
	ResendAt  = 400 * clock.Millisecond
	// silentAfter is how long past its lease a replica may stay without an answer
	// until it counts as silent.
	silentAfter = 800 * clock.Millisecond
	// copyPatience is how long a replica may take without headway in a copy.
	copyPatience = 2 * silentAfter
)

// Bounds of what is under way.
const (
	resendCap  = 64
	earlyCap   = 256
	pieceSize  = 256 << 10 // bytes
	pieceRun   = 4         // pieces of one copy under way at a time
	copyBudget = 16        // pieces of all copies of a daemon
)
