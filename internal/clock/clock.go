// Package clock tells the time in whole microseconds (docs/DESIGN.md, section 2). State machines
// are given the time with each input and read no Clock.
package clock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Micros is a point in time, since 1970, or a duration, in whole microseconds.
type Micros = int64

// Durations in whole microseconds.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Clock reads a clock that only moves forward, so that a step of the wall clock neither shortens
// nor extends a lease. It may be read from any goroutine.
type Clock struct {
	source      clockwork.Clock
	start       time.Time // with a monotonic reading
	startMicros Micros
}

// New starts a Clock on the given clock.
func New(source clockwork.Clock) *Clock {
	start := source.Now()
	return &Clock{source: source, start: start, startMicros: start.UnixMicro()}
}

// Now is the wall time of the start plus what has passed since by the monotonic clock.
func (c *Clock) Now() Micros {
	return c.startMicros + c.source.Since(c.start).Microseconds()
}

// Source is the clock that this one reads.
func (c *Clock) Source() clockwork.Clock { return c.source }

// Duration converts microseconds to the standard library's duration.
func Duration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }
