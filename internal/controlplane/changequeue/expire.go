package changequeue

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
)

// TimedOut is a call whose deadline passed.
type TimedOut struct {
	Call uint64
	// MayBeApplied tells that the change, or the very same one at another's call, was or may
	// yet be applied. Otherwise it was dropped and never will be.
	MayBeApplied bool
}

// Expire ends the calls whose deadlines passed. The change in flight goes on without its
// caller; changes that waited are dropped.
func (q *Queue) Expire(current *state.State, now clock.Micros) []TimedOut {
	var timedOut []TimedOut
	if q.inFlight != nil && now >= q.inFlight.Deadline && q.inFlight.Call != 0 {
		timedOut = append(timedOut, TimedOut{Call: q.inFlight.Call, MayBeApplied: true})
		q.inFlight.Call = 0
	}
	var kept, dropped []Change
	for _, c := range q.waiting {
		if c.Call != 0 && now >= c.Deadline {
			dropped = append(dropped, c)
		} else {
			kept = append(kept, c)
		}
	}
	q.waiting = kept
	for _, c := range dropped {
		timedOut = append(timedOut, TimedOut{Call: c.Call, MayBeApplied: q.mayBeApplied(c, current)})
	}
	return timedOut
}

// mayBeApplied tells whether the very same change was or may yet be applied at another's call.
func (q *Queue) mayBeApplied(c Change, current *state.State) bool {
	if c.Configuration == nil {
		return q.inFlight != nil && isRetirement(q.inFlight.Entry)
	}
	if _, applied := c.Configuration.appliedVersion(current); applied || c.Configuration.isOutcomeUnknown(current) {
		return true
	}
	return slices.ContainsFunc(q.waiting, func(other Change) bool {
		return other.Configuration != nil && c.Configuration.isSameRequest(other.Configuration)
	})
}

func isRetirement(e state.Entry) bool {
	_, ok := e.(state.Retire)
	return ok
}
