package batchstore

import "tuliprudder/internal/clock"

// Settings of a store; Defaults has the values that docs/SETTINGS.md gives.
type Settings struct {
	// MaxItems is the limit of items without a result over all shards that the store owns;
	// default 50 000.
	MaxItems int
	// CompactAfter is the number of records between two compactions; default 2000.
	CompactAfter int
	// CompactAfterBytes is the size of the records between two compactions at which the next one
	// comes, however few there are: the next start reads them all; default 16 MiB.
	CompactAfterBytes int
	// RetainFinished is how long, in microseconds from its submission, a finished batch or
	// a claim is kept; default 48 h.
	RetainFinished clock.Micros
	// HeartbeatEvery is the interval of the heartbeats to the cores; default 300 ms.
	HeartbeatEvery clock.Micros
	// AnnounceEvery is the shortest time between two announcements of this store's position to the
	// readers; default 15 ms. Shards that it begins or ceases to serve are announced within 15 ms.
	AnnounceEvery clock.Micros
	// DiskTimeout is how long a write may take before the disk counts as stalled; default
	// 1.5 s.
	DiskTimeout clock.Micros
	// DiskProbation is how long a stalled disk has to keep up before the store takes
	// shards again; default 5 s.
	DiskProbation clock.Micros
}

// Defaults are the default settings.
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
	Name        string // the operator's name of the machine; "" where there is none
}
