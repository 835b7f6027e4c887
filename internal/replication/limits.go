package replication

import "tuliprudder/internal/clock"

// Durations of leases, resend intervals and time-outs.
const (
	// LeaseDuration is how long a lease is valid on the primary's clock, counted from the time of
	// the primary's request.
	LeaseDuration = 1000 * clock.Millisecond
	// LeaseWait is how long a replica waits from its last grant, on its own clock, before it may
	// serve as primary. The margin over LeaseDuration covers clocks that run at different rates.
	LeaseWait = LeaseDuration + 200*clock.Millisecond
	// LeaseRenewInterval is how often a serving primary renews its leases. It is a quarter of
	// LeaseDuration, so that the loss of one or two requests does not let a lease expire.
	LeaseRenewInterval = 250 * clock.Millisecond
	// ResendAfter is how long an entry or a report waits for its acknowledgement before it is
	// sent again. Snapshot chunks, which are larger, wait twice as long.
	ResendAfter      = 400 * clock.Millisecond
	resendChunkAfter = 2 * ResendAfter
	// unreachableAfter is how long after its lease has expired a replica may go without granting
	// another before it counts as unreachable.
	unreachableAfter = 800 * clock.Millisecond
	// snapshotTimeout is how long a replica may go without acknowledging a further snapshot chunk
	// before it counts as unreachable.
	snapshotTimeout = 2 * unreachableAfter
)

// Bounds on what is sent or buffered at a time.
const (
	// maxResent bounds the entries of one unit that are considered for resending in one tick.
	maxResent = 64
	// maxReorderBuffer bounds the out-of-order entries of one unit that a replica buffers.
	maxReorderBuffer = 256
	// chunkSize is the maximum size of a snapshot chunk in bytes. A single part that is larger
	// makes a larger chunk.
	chunkSize = 256 << 10
	// maxChunksPerReplica bounds the chunks of one unit's snapshot in flight to one replica.
	maxChunksPerReplica = 4
	// maxChunksInFlight bounds the chunks of all units' snapshots in flight from one daemon, so
	// that snapshots leave bandwidth to entries.
	maxChunksInFlight = 16
)
