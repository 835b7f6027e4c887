// Package sundial tells the time in whole microseconds (DESIGN §2).
package sundial

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Micros is a point in time or a span, in whole microseconds.
type Micros = int64

// Spans in whole microseconds.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Sundial reads a clock that only moves forward, so that a step of the wall
// clock never shortens a lease.
type Sundial struct {
	clock clockwork.Clock
	start time.Time
	base  Micros
}

// New starts a sundial on the given clock.
func New(clock clockwork.Clock) *Sundial {
	start := clock.Now()
	return &Sundial{clock: clock, start: start, base: start.UnixMicro()}
}

// Now is the time in microseconds: wall time at the start plus what has
// passed since by the steady clock.
func (s *Sundial) Now() Micros {
	return s.base + s.clock.Since(s.start).Microseconds()
}

// Clock is the clock underneath.
func (s *Sundial) Clock() clockwork.Clock { return s.clock }

// Span turns microseconds into the standard library's duration.
func Span(m Micros) time.Duration { return time.Duration(m) * time.Microsecond }
