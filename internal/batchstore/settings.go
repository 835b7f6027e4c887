package batchstore

import "tuliprudder/internal/clock"

// Settings are the settings of a store. Defaults returns the values documented in docs/SETTINGS.md.
type Settings struct {
	// MaxItems is the maximum number of items without a result in all shards that the store owns;
	// default 50 000.
	MaxItems int
	// CompactAfter is the number of writes after which a compaction is due; default 2000.
	CompactAfter int
	// CompactAfterBytes is the total size of the records since the last compaction at which the next
	// one is due, however few they are, because the next start reads them all; default 16 MiB.
	CompactAfterBytes int
	// RetainFinished is the retention of finished batches and claims, in microseconds from the
	// submission of the batch or the start of the claim; default 48 h.
	RetainFinished clock.Micros
	// HeartbeatEvery is the interval of the heartbeats to the cores; default 300 ms.
	HeartbeatEvery clock.Micros
	// AnnounceEvery is the minimum interval between announcements of this store's position to the
	// readers; default 15 ms. Shards that the store starts or stops serving are announced within 15 ms.
	AnnounceEvery clock.Micros
	// DiskTimeout is how long a write may take before the disk is considered stalled; default
	// 1.5 s.
	DiskTimeout clock.Micros
	// DiskProbation is how long a stalled disk has to keep up before the store accepts shards
	// again; default 5 s.
	DiskProbation clock.Micros
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		MaxItems:          50_000,
		CompactAfter:      2000,
		CompactAfterBytes: 16 << 20,
		RetainFinished:    48 * 3600 * clock.Second,
		HeartbeatEvery:    300 * clock.Millisecond,
		AnnounceEvery:     15 * clock.Millisecond,
		DiskTimeout:       1500 * clock.Millisecond,
		DiskProbation:     5 * clock.Second,
	}
}

// Self identifies the store.
type Self struct {
	ID, Zone    string
	Peer        string // its address among the daemons
	Incarnation uint64
	Name        string // the operator's name for the machine; "" if there is none
}
