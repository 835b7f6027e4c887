package exclusive

import (
	"cmp"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
)

// attempts is what the arbiter knows of the permits of one subject.
type attempts struct {
	lastPermitAt clock.Micros // 0: none was granted by this primary
	notBefore    clock.Micros // when the next permit is due
	delay        clock.Micros // that the latest failure brought about
	pending      map[PermitID]pendingPermit

	failures      int    // in a row
	failedBatch   uint64 // the latest that failed; the permits of one batch are one failure
	excluded      Holder // that has to leave the subject to another; the zero value for none
	excludedUntil clock.Micros

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
func (a *attempts) isPending(number uint64) bool {
	for _, permit := range a.pending {
		if permit.number == number {
			return true
		}
	}
	return false
}

// isExcluded tells whether a holder has to leave the subject to another.
func (a *attempts) isExcluded(holder Holder, now clock.Micros) bool {
	return a.excluded == holder && now < a.excludedUntil
}

// succeeded records that the outside system took an act, or refused it for good.
func (a *attempts) succeeded(now clock.Micros) {
	a.failures, a.delay, a.notBefore = 0, 0, now
}

// postponed records that the outside system wants to be called later.
func (a *attempts) postponed(settings Settings, now clock.Micros) {
	a.failures = 0
	a.backOff(settings, now)
}

// unanswered records that a permit ended without an answer at a time.
func (a *attempts) unanswered(settings Settings, holder Holder, batch uint64, at clock.Micros) {
	if batch <= a.failedBatch {
		return
	}
	a.failedBatch = batch
	a.failures++
	if a.failures >= settings.MaxFailures {
		a.failures = 0
		a.excluded, a.excludedUntil = holder, at+settings.ExclusionTime
	}
	a.backOff(settings, at)
}

// backOff doubles the delay until the next permit.
func (a *attempts) backOff(settings Settings, now clock.Micros) {
	a.delay = min(settings.MaxRetryDelay, max(settings.MinRetryDelay, 2*a.delay))
	a.notBefore = now + a.delay
}

// expire ends the permits that no holder may perform any more.
func (a *attempts) expire(settings Settings, holder Holder, now clock.Micros) {
	for _, id := range slices.SortedFunc(maps.Keys(a.pending), comparePermits) {
		permit := a.pending[id]
		if now >= permit.expiresAt {
			delete(a.pending, id)
			a.unanswered(settings, holder, permit.batch, permit.expiresAt)
		}
	}
}

// comparePermits orders the permits of one primary as they were granted.
func comparePermits(one, other PermitID) int { return cmp.Compare(one.Serial, other.Serial) }
