package exclusive

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
)

// subjectState is the arbiter's state about the permits of one subject.
type subjectState struct {
	lastPermitAt clock.Micros // 0 if this primary has granted none
	retryAt      clock.Micros // earliest time of the next permit
	retryDelay   clock.Micros // set by the latest failure
	pending      map[PermitID]pendingPermit

	failures        int    // consecutive
	lastFailedBatch uint64 // the latest that failed; the permits of one batch count as one failure
	excludedHolder  Holder // must leave the subject to another node; the zero value for none
	excludedUntil   clock.Micros

	lastResult Result
	hasResult  bool
}

// pendingPermit is a permit that was granted and whose outcome is not known yet.
type pendingPermit struct {
	number    uint64 // number of the act
	batch     uint64 // shared by permits that were granted together
	expiresAt clock.Micros
}

// isPending reports whether an act may be in progress under a permit of this primary.
func (a *subjectState) isPending(number uint64) bool {
	for _, permit := range a.pending {
		if permit.number == number {
			return true
		}
	}
	return false
}

// isExcluded reports whether a holder must leave the subject to another node.
func (a *subjectState) isExcluded(holder Holder, now clock.Micros) bool {
	return a.excludedHolder == holder && now < a.excludedUntil
}

// recordSuccess records that the external system accepted an act, or rejected it permanently.
func (a *subjectState) recordSuccess(now clock.Micros) {
	a.failures, a.retryDelay, a.retryAt = 0, 0, now
}

// recordRetryLater records that an act is to be retried later.
func (a *subjectState) recordRetryLater(settings Settings, now clock.Micros) {
	a.failures = 0
	a.backOff(settings, now)
}

// recordNoAnswer records that a permit ended without an answer at the given time.
func (a *subjectState) recordNoAnswer(settings Settings, holder Holder, batch uint64, at clock.Micros) {
	if batch <= a.lastFailedBatch {
		return
	}
	a.lastFailedBatch = batch
	a.failures++
	if a.failures >= settings.MaxFailures {
		a.failures = 0
		a.excludedHolder, a.excludedUntil = holder, at+settings.ExclusionTime
	}
	a.backOff(settings, at)
}

// backOff doubles the delay until the next permit.
func (a *subjectState) backOff(settings Settings, now clock.Micros) {
	a.retryDelay = min(settings.MaxRetryDelay, max(settings.MinRetryDelay, 2*a.retryDelay))
	a.retryAt = now + a.retryDelay
}

// expire removes the permits that have expired, and counts them as unanswered.
func (a *subjectState) expire(settings Settings, holder Holder, now clock.Micros) {
	for _, id := range slices.SortedFunc(maps.Keys(a.pending), comparePermits) {
		permit := a.pending[id]
		if now >= permit.expiresAt {
			delete(a.pending, id)
			a.recordNoAnswer(settings, holder, permit.batch, permit.expiresAt)
		}
	}
}

// comparePermits orders the permits of one primary in the order in which they were granted.
func comparePermits(one, other PermitID) int { return cmp.Compare(one.Serial, other.Serial) }
