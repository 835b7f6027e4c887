// Package retryafter estimates when a rejected caller should come back, from the
// rate at which work has lately left a queue (docs/DESIGN.md section 11.3).
//
// An Estimator takes the times at which work left and returns a span. It reads no
// clock and is not safe for concurrent use: the state machine that owns it calls it.
package retryafter

import "tuliprudder/internal/clock"

// Bounds of an estimate. A caller that comes back sooner only finds the same queue;
// one that waits longer misses capacity that was freed meanwhile.
const (
	minEstimate     = clock.Second / 2
	maxEstimate     = 30 * clock.Second
	defaultEstimate = 2 * clock.Second // while too few departures are known
)

const (
	defaultMaxSamples = 32
	minSamples        = 2
)

// Estimator estimates from the latest departures. The zero value is ready for use.
type Estimator struct {
	// MaxSamples is how many of the latest departures count; 0 means 32.
	MaxSamples int

	departures []clock.Micros // oldest first
}

// Record takes the time at which one unit of work left.
func (e *Estimator) Record(now clock.Micros) {
	e.departures = append(e.departures, now)
	if len(e.departures) > e.maxSamples() {
		e.departures = e.departures[1:]
	}
}

// Estimate is the time until so many units will have left, if they go on leaving at
// the present rate. It lies between half a second and 30 seconds.
func (e *Estimator) Estimate(count int, now clock.Micros) clock.Micros {
	if len(e.departures) < minSamples {
		return defaultEstimate
	}
	interval := (now - e.departures[0]) / clock.Micros(len(e.departures))
	estimate := interval * clock.Micros(count)
	return min(maxEstimate, max(minEstimate, estimate))
}

func (e *Estimator) maxSamples() int {
	if e.MaxSamples == 0 {
		return defaultMaxSamples
	}
	return e.MaxSamples
}
