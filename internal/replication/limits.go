package replication

import "tuliprudder/internal/clock"

// Durations of leases and repetitions.
const (
	// LeaseDuration is how long a lease runs on the primary's clock, counted from the time at
	// which the primary requested it.
	LeaseDuration = 1000 * clock.Millisecond
	// LeaseWait is how long a replica waits from its last grant, on its own clock, before it may
	// serve as primary. The margin over LeaseDuration covers clocks that run at different rates.
	LeaseWait = LeaseDuration + 200*clock.Millisecond
	// LeaseRenewInterval is how often a serving primary requests its leases again: it is a
	// quarter of LeaseDuration, so that a lost request or two end no lease.
	LeaseRenewInterval = 250 * clock.Millisecond
	// ResendAfter is how long an entry or a report waits for its acknowledgement before it is
	// sent again. Snapshot chunks, which are larger, wait twice as long.
	ResendAfter      = 400 * clock.Millisecond
	resendChunkAfter = 2 * ResendAfter
	// unreachableAfter is how long past the end of its lease a replica may fail to grant another
	// until it counts as unreachable.
	unreachableAfter = 800 * clock.Millisecond
	// snapshotTimeout is how long a replica may acknowledge no further chunk of a snapshot until
	// it counts as unreachable.
	snapshotTimeout = 2 * unreachableAfter
)

// Bounds of what is sent or buffered at a time.
const (
	// maxResent bounds the entries of one unit that are looked at for resending at a tick.
	maxResent = 64
	// maxReorderBuffer bounds the entries of one unit that a replica buffers out of order.
	maxReorderBuffer = 256
	// chunkSize is the size in bytes that a snapshot chunk does not exceed, unless a single part
	// of the snapshot is larger.
	chunkSize = 256 << 10
	// maxChunksPerReplica bounds the chunks of one unit's snapshot in flight to one replica.
	maxChunksPerReplica = 4
	// maxChunksInFlight bounds the chunks of all units' snapshots in flight from one daemon, so
	// that snapshots leave bandwidth to entries.
	maxChunksInFlight = 16
)
