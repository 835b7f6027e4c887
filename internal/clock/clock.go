// Package clock tells the time in whole microseconds (docs/DESIGN.md, section 2). State machines
// receive the time with each input and never read a Clock.
package clock

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Micros is a point in time, since the Unix epoch, or a duration, in whole microseconds.
type Micros = int64

// Durations in whole microseconds.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Clock is a monotonic clock, so that a step of the wall clock neither shortens nor extends a lease.
// It may be read from any goroutine.
type Clock struct {
	source      clockwork.Clock
	start       time.Time // with a monotonic reading
	startMicros Micros
}

// New returns a Clock that starts at the present time of source and advances with it.
func New(source clockwork.Clock) *Clock {
	start := source.Now()
	return &Clock{source: source, start: start, startMicros: start.UnixMicro()}
}

// Now returns the wall time of the start plus the monotonic time that has passed since.
func (c *Clock) Now() Micros {
	return c.startMicros + c.source.Since(c.start).Microseconds()
}

// Source returns the clock that this one reads.
func (c *Clock) Source() clockwork.Clock { return c.source }

// Duration converts microseconds to the standard library's duration.
func Duration(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }
