package exclusive

import "tuliprudder/internal/clock"

// rateLimiter bounds the calls of any second. Half of them may come in a burst, and half come at even
// intervals, so that no second has more than all.
type rateLimiter struct {
	interval clock.Micros // between two calls at an even rate; 0: no limit
	burst    clock.Micros // by how much calls may run ahead of that rate
	nextAt   clock.Micros // when the next call is due at an even rate
}

// newRateLimiter begins without a burst: another primary may have used it up just before.
func newRateLimiter(perSecond int, now clock.Micros) rateLimiter {
	if perSecond <= 0 {
		return rateLimiter{}
	}
	interval := 2 * clock.Second / clock.Micros(perSecond)
	burst := max(0, clock.Micros(perSecond/2-1)*interval)
	return rateLimiter{interval: interval, burst: burst, nextAt: now + burst}
}

// allows tells whether there may be a call now.
func (r *rateLimiter) allows(now clock.Micros) bool { return now+r.burst >= r.nextAt }

// take counts a call; false where there may be none now.
func (r *rateLimiter) take(now clock.Micros) bool {
	if !r.allows(now) {
		return false
	}
	r.nextAt = max(now, r.nextAt) + r.interval
	return true
}
