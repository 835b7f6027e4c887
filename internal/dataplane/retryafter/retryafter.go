// Package retryafter estimates when a rejected caller should retry, from the rate at
// which work has recently left a queue (docs/DESIGN.md section 11.3).
//
// An Estimator records the times at which work left and returns a duration. It reads no
// clock and is not safe for concurrent use: only the state machine that owns it calls it.
package retryafter

import "tuliprudder/internal/clock"

// Bounds of an estimate. A caller that retries sooner only finds the same queue;
// one that waits longer misses capacity freed in the meantime.
const (
	minEstimate     = clock.Second / 2
	maxEstimate     = 30 * clock.Second
	defaultEstimate = 2 * clock.Second // with fewer than minSamples departures
)

const (
	defaultMaxSamples = 32
	minSamples        = 2
)

// Estimator estimates the waiting time from the latest departures. The zero value is
// ready to use.
type Estimator struct {
	// MaxSamples is the number of latest departures used; 0 means 32.
	MaxSamples int

	departures []clock.Micros // oldest first
}

// Record records that one unit of work left the queue.
func (e *Estimator) Record(now clock.Micros) {
	e.departures = append(e.departures, now)
	if len(e.departures) > e.maxSamples() {
		e.departures = e.departures[1:]
	}
}

// Estimate returns the time until count units will have left at the current rate. It
// is between half a second and 30 seconds.
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
