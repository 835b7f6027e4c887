package exclusive

import "tuliprudder/internal/clock"

// rateLimiter limits the calls in any one-second interval. Half of the limit may be used in a burst and
// half is replenished at even intervals, so that no second exceeds the limit.
type rateLimiter struct {
	interval clock.Micros // between two calls at an even rate; 0 means no limit
	burst    clock.Micros // how far calls may run ahead of the even rate
	nextAt   clock.Micros // when the next call is due at the even rate
}

// newRateLimiter returns a limiter without burst capacity: a previous primary may have just used it up.
func newRateLimiter(perSecond int, now clock.Micros) rateLimiter {
	if perSecond <= 0 {
		return rateLimiter{}
	}
	interval := 2 * clock.Second / clock.Micros(perSecond)
	burst := max(0, clock.Micros(perSecond/2-1)*interval)
	return rateLimiter{interval: interval, burst: burst, nextAt: now + burst}
}

// allows reports whether a call is allowed now.
func (r *rateLimiter) allows(now clock.Micros) bool { return now+r.burst >= r.nextAt }

// take counts a call, and reports whether it is allowed now.
func (r *rateLimiter) take(now clock.Micros) bool {
	if !r.allows(now) {
		return false
	}
	r.nextAt = max(now, r.nextAt) + r.interval
	return true
}
