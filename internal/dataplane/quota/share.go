package quota

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/retryafter"
)

// Share is a client's lease of one tenant's quota, and what it uses of it. It is a
// plain state machine; all amounts are weights.
type Share struct {
	Epoch     uint64 // the highest known; responses below it are refused
	Granted   int
	InUse     int
	ExpiresAt clock.Micros // nothing is admitted from here on

	releases retryafter.Estimator // when work left the queue
}

// HasCapacity tells whether so much more fits into the lease now.
func (s *Share) HasCapacity(count int, now clock.Micros) bool {
	return now < s.ExpiresAt && s.InUse+count <= s.Granted
}

// Reserve takes so much of the lease into use. HasCapacity must have said yes.
func (s *Share) Reserve(count int) { s.InUse += count }

// Release returns what was in use.
func (s *Share) Release(count int, now clock.Micros) {
	s.InUse = max(0, s.InUse-count)
	s.releases.Record(now)
}

// ApplyGrant takes an owner's response to a request that was sent at a time. It
// returns false where the response is of a lower epoch, and changes nothing then.
func (s *Share) ApplyGrant(epoch uint64, granted int, sent clock.Micros) bool {
	if epoch < s.Epoch {
		return false
	}
	s.Epoch = epoch
	s.Granted = granted
	s.ExpiresAt = sent + LeaseDuration
	return true
}

// Fence takes the epoch of a new owner: what the former one granted beyond what is in
// use is given up. It returns false where the epoch is below the known one.
func (s *Share) Fence(epoch uint64) bool {
	if epoch < s.Epoch {
		return false
	}
	if epoch > s.Epoch {
		s.Epoch = epoch
		s.Granted = s.InUse
		s.ExpiresAt = 0
	}
	return true
}

// RetryAfter estimates when there will be capacity for so much more, by the rate at
// which work left lately.
func (s *Share) RetryAfter(count int, now clock.Micros) clock.Micros {
	return s.releases.Estimate(count, now)
}

// isUnused tells whether nothing is in use or granted and the last lease expired long ago.
func (s *Share) isUnused(now clock.Micros) bool {
	return s.InUse == 0 && s.Granted == 0 && now >= s.ExpiresAt+unusedShareTTL
}
