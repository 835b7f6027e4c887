package changequeue

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
)

// TimedOut is a call whose deadline has passed.
type TimedOut struct {
	Call uint64
	// MayBeApplied reports that the change, or the same change requested by another call, was
	// applied or may still be. Otherwise the change was dropped and will never be applied.
	MayBeApplied bool
}

// Expire removes and returns the calls whose deadlines have passed. The change in flight
// continues without its caller; waiting changes are dropped.
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

// mayBeApplied reports whether the same change, requested by another call, was or may still be
// applied.
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
