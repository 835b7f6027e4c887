package scheduler

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
)

// Settings configure a scheduler. Each field's default value is given in parentheses.
type Settings struct {
	// MaxQueued is the maximum number of queued requests (20,000).
	MaxQueued int
	// MaxPrefixes is the number of prompt prefixes for which the server that ran them last
	// is remembered (4,096).
	MaxPrefixes int
	// MinUtilizationLimit is the utilization of a server, in requests per slot, up to which
	// requests of the lowest queue level may fill it (0.7).
	MinUtilizationLimit float64
	// BatchMemoryShare is the fraction of a server's memory, in tokens, that batch items may use (0.66).
	// A server that runs out of memory admits no request, or preempts the newest one. The setting
	// applies only where the configuration states the server's memory.
	BatchMemoryShare float64
	// MaxUtilizationLimit is the same for the highest level (1.3). A short queue at the server
	// keeps its slots busy between two load reports.
	MaxUtilizationLimit float64
	// StarvationTimeout is how long a batch item waits, while this daemon runs none, before it
	// may fill a server up to utilization 1 (3 s).
	StarvationTimeout clock.Micros
	// ServerBackoff is how long no request is assigned to a server that rejected a request or
	// failed once (300 ms).
	ServerBackoff clock.Micros
	// MaxStaleness is the age of this daemon's updates above which it assigns no requests
	// (2.5 s). See UnlimitedStaleness.
	MaxStaleness clock.Micros
	// Disabled is the set of disabled mechanisms, used to measure each mechanism's effect (none).
	Disabled mechanism.Set
}

// UnlimitedStaleness as MaxStaleness makes a daemon assign requests by its latest known state,
// however old its updates are. It is for deployments whose guarantees cover only daemons that
// are connected, where availability matters more (docs/DESIGN.md section 3.4).
const UnlimitedStaleness clock.Micros = 1 << 62

// Defaults returns the default settings.
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
