package exclusive

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
)

// subjectState is what the arbiter knows of the permits of one subject.
type subjectState struct {
	lastPermitAt clock.Micros // 0: none was granted by this primary
	retryAt      clock.Micros // when the next permit is due
	retryDelay   clock.Micros // that the latest failure brought about
	pending      map[PermitID]pendingPermit

	failures        int    // in a row
	lastFailedBatch uint64 // the latest that failed; the permits of one batch are one failure
	excludedHolder  Holder // that has to leave the subject to another; the zero value for none
	excludedUntil   clock.Micros

	lastResult Result
	hasResult  bool
}

// pendingPermit is a permit that was granted and whose outcome isn't known.
type pendingPermit struct {
	number    uint64 // of the act
	batch     uint64 // that were granted together
	expiresAt clock.Micros
}

// isPending tells whether an act may be being performed by a permit of this primary.
func (a *subjectState) isPending(number uint64) bool {
	for _, permit := range a.pending {
		if permit.number == number {
			return true
		}
	}
	return false
}

// isExcluded tells whether a holder has to leave the subject to another.
func (a *subjectState) isExcluded(holder Holder, now clock.Micros) bool {
	return a.excludedHolder == holder && now < a.excludedUntil
}

// recordSuccess records that the outside system took an act, or refused it for good.
func (a *subjectState) recordSuccess(now clock.Micros) {
	a.failures, a.retryDelay, a.retryAt = 0, 0, now
}

// recordRetryLater records that the outside system wants to be called later.
func (a *subjectState) recordRetryLater(settings Settings, now clock.Micros) {
	a.failures = 0
	a.backOff(settings, now)
}

// recordNoAnswer records that a permit ended without an answer at a time.
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

// expire ends the permits that no holder may perform any more.
func (a *subjectState) expire(settings Settings, holder Holder, now clock.Micros) {
	for _, id := range slices.SortedFunc(maps.Keys(a.pending), comparePermits) {
		permit := a.pending[id]
		if now >= permit.expiresAt {
			delete(a.pending, id)
			a.recordNoAnswer(settings, holder, permit.batch, permit.expiresAt)
		}
	}
}

// comparePermits orders the permits of one primary as they were granted.
func comparePermits(one, other PermitID) int { return cmp.Compare(one.Serial, other.Serial) }
