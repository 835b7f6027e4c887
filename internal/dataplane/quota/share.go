package quota

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/retryafter"
)

// Share is a client's lease of one tenant's quota, and what it uses of it. It is a
// plain state machine; all amounts are weights.
type Share struct {
	Granted   int
	InUse     int
	ExpiresAt clock.Micros // nothing is admitted from here on

	releases retryafter.Estimator // when work left the queue
}

// HasCapacity tells whether so much more fits into the lease now.
func (s *Share) HasCapacity(count int, now clock.Micros) bool {
	return now < s.ExpiresAt && s.InUse+count <= s.Granted
}

// committed is the most that may be in use until the next grant.
func (s *Share) committed(now clock.Micros) int {
	if now < s.ExpiresAt {
		return max(s.InUse, s.Granted)
	}
	return s.InUse
}

// Reserve takes so much of the lease into use. HasCapacity must have said yes.
func (s *Share) Reserve(count int) { s.InUse += count }

// Release returns what was in use.
func (s *Share) Release(count int, now clock.Micros) {
	s.InUse = max(0, s.InUse-count)
	s.releases.Record(now)
}

// ShrinkTo gives up what was granted beyond a size.
func (s *Share) ShrinkTo(size int) { s.Granted = min(s.Granted, size) }

// ApplyGrant takes an owner's response to a request that was sent at a time.
func (s *Share) ApplyGrant(granted int, sent clock.Micros) {
	s.Granted = granted
	s.ExpiresAt = sent + LeaseDuration
}

// RetryAfter estimates when there will be capacity for so much more, by the rate at
// which work left lately.
func (s *Share) RetryAfter(count int, now clock.Micros) clock.Micros {
	return s.releases.Estimate(count, now)
}
