package batchstore

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
)

// pendingCall is a call whose reply waits until an entry is durable.
type pendingCall struct {
	number   uint64
	deadline clock.Micros // when the call is answered with an unknown outcome
	response Response
}

// pendingCalls are the calls that wait for entries to become durable. The calls of an entry are in the
// order in which they were added.
type pendingCalls struct{ byEntry byEntry[[]pendingCall] }

func newPendingCalls() pendingCalls { return pendingCalls{byEntry: byEntry[[]pendingCall]{}} }

// add registers a call that waits for an entry.
func (p pendingCalls) add(unit string, seq uint64, call pendingCall) {
	p.byEntry.put(unit, seq, append(p.byEntry[unit][seq], call))
}

// takeDurable removes and returns the calls that wait for an entry.
func (p pendingCalls) takeDurable(unit string, seq uint64) []pendingCall {
	calls, _ := p.byEntry.take(unit, seq)
	return calls
}

// takeUnit removes and returns all calls that wait for entries of a unit.
func (p pendingCalls) takeUnit(unit string) []pendingCall {
	return slices.Concat(p.byEntry.takeUnit(unit)...)
}

// takeOverdue removes and returns the calls whose deadline has passed, ordered by unit and entry.
func (p pendingCalls) takeOverdue(now clock.Micros) []pendingCall {
	var overdue []pendingCall
	for _, unit := range slices.Sorted(maps.Keys(p.byEntry)) {
		entries := p.byEntry[unit]
		for _, seq := range slices.Sorted(maps.Keys(entries)) {
			var remaining []pendingCall
			for _, call := range entries[seq] {
				if now >= call.deadline {
					overdue = append(overdue, call)
				} else {
					remaining = append(remaining, call)
				}
			}
			if len(remaining) == 0 {
				delete(entries, seq)
			} else {
				entries[seq] = remaining
			}
		}
	}
	return overdue
}
