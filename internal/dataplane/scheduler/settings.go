package scheduler

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
)

// Settings of a scheduler. Defaults gives the value named at each field.
type Settings struct {
	// MaxQueued is how many requests may be queued (20,000).
	MaxQueued int
	// MaxPrefixes is how many prompt prefixes are remembered with the server that
	// ran them last (4,096).
	MaxPrefixes int
	// MinUtilizationLimit is the utilization of a server, requests per slot, up to
	// which the lowest queue level may fill it (0.7).
	MinUtilizationLimit float64
	// BatchMemoryShare is which part of a server's memory, in tokens, batch items may take (0.66):
	// a server that runs out of it takes up no request, or puts the newest one back. It counts only
	// where the configuration names the memory.
	BatchMemoryShare float64
	// MaxUtilizationLimit is the same for the highest level (1.3): a little queueing
	// at the server keeps its slots busy between two load reports.
	MaxUtilizationLimit float64
	// StarvationTimeout is how long a batch item waits, where none runs, before it
	// may fill a server completely (3 s).
	StarvationTimeout clock.Micros
	// ServerBackoff is how long a server that rejected a request, or failed once, is
	// left alone (300 ms).
	ServerBackoff clock.Micros
	// MaxStaleness is the age of this daemon's updates from which on it assigns
	// nothing (2.5 s). See UnlimitedStaleness.
	MaxStaleness clock.Micros
	// Disabled are the mechanisms that are switched off, to measure what they are worth (none).
	Disabled mechanism.Set
}

// UnlimitedStaleness as MaxStaleness has a daemon assign by its last knowledge however
// old its updates are. Where the guarantees bind only daemons that are in touch,
// serving on is worth more (docs/DESIGN.md section 3.4).
const UnlimitedStaleness clock.Micros = 1 << 62

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{
		MaxQueued:           20_000,
		MaxPrefixes:         4096,
		MinUtilizationLimit: 0.7,
		MaxUtilizationLimit: 1.3,
		BatchMemoryShare:    0.66,
		StarvationTimeout:   3 * clock.Second,
		ServerBackoff:       300 * clock.Millisecond,
		MaxStaleness:        2500 * clock.Millisecond,
	}
}
