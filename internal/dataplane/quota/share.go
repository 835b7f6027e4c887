package quota

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/retryafter"
)

// Share is a client's lease on one tenant's quota and its usage of the lease. It is a pure state
// machine; all amounts are weights.
type Share struct {
	Granted   int
	InUse     int
	ExpiresAt clock.Micros // nothing is admitted from this time on

	releases retryafter.Estimator // times at which work left the queue
}

// HasCapacity reports whether the given weight fits into the lease now.
func (s *Share) HasCapacity(count int, now clock.Micros) bool {
	return now < s.ExpiresAt && s.InUse+count <= s.Granted
}

// committed returns the most that may be in use until the next grant.
func (s *Share) committed(now clock.Micros) int {
	if now < s.ExpiresAt {
		return max(s.InUse, s.Granted)
	}
	return s.InUse
}

// Reserve adds the given weight to the usage. HasCapacity must have returned true for it.
func (s *Share) Reserve(count int) { s.InUse += count }

// Release subtracts the given weight from the usage.
func (s *Share) Release(count int, now clock.Micros) {
	s.InUse = max(0, s.InUse-count)
	s.releases.Record(now)
}

// ShrinkTo relinquishes the part of the lease above the given size.
func (s *Share) ShrinkTo(size int) { s.Granted = min(s.Granted, size) }

// ApplyGrant applies an owner's response to a request that was sent at the given time.
func (s *Share) ApplyGrant(granted int, sent clock.Micros) {
	s.Granted = granted
	s.ExpiresAt = sent + LeaseDuration
}

// RetryAfter estimates when there will be capacity for the given weight, from the rate at which
// work left recently.
func (s *Share) RetryAfter(count int, now clock.Micros) clock.Micros {
	return s.releases.Estimate(count, now)
}
