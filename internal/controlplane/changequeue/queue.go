// Package changequeue orders the changes of the control state (DESIGN §5.4, §8.1): which
// change is next, how an operator's request was decided, and which calls are to be answered.
//
// It performs no I/O: it takes the control state as a value and returns changes and answers,
// which the caller, the primary core, replicates and sends. Only one change at a time is in
// flight, so that an operator's request is decided on a state in which every earlier change
// is confirmed or will be before the answer is given. It is not safe for concurrent use.
package changequeue

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
)

// maxWaiting is how many changes may wait before operators' requests are rejected.
const maxWaiting = 64

// Change is one change that is waiting for its turn or being replicated. The core's own
// changes have an entry from the start; an operator's request gets one when it is
// decided.
type Change struct {
	// Entry is what is replicated. It is nil before the decision, and also after it if nothing
	// needs to be written.
	Entry         state.Entry
	Configuration *Configuration // a request to put a configuration, else nil
	Retirement    *Retirement    // a request to retire a store, else nil
	Call          uint64         // the operator's call to be answered; 0: none
	Deadline      clock.Micros   // of the call
}

// CheckDocument returns an error if a whole configuration document is invalid.
type CheckDocument func(document []byte) error

// Checks are applied to operators' requests when they are decided, in addition to the control
// state.
type Checks struct {
	CanRetire func(id string) error // returns an error if a store can't be retired
	// Document checks the result of a patch; if nil, every result is valid.
	Document CheckDocument
}

// decide decides an operator's request, which gives it its entry.
func (c *Change) decide(current *state.State, checks Checks) (err error) {
	switch {
	case c.Configuration != nil:
		c.Entry, err = c.Configuration.decide(current, checks.Document)
	case c.Retirement != nil:
		c.Entry, err = c.Retirement.decide(current, checks.CanRetire)
	}
	return err
}

// Queue holds the waiting changes in order of arrival, and the one in flight.
type Queue struct {
	waiting  []Change
	inFlight *Change
}

// IsFull reports whether further operators' requests must be rejected.
func (q *Queue) IsFull() bool { return len(q.waiting) >= maxWaiting }

// IsIdle reports whether no change is waiting or in flight.
func (q *Queue) IsIdle() bool { return q.inFlight == nil && len(q.waiting) == 0 }

// HasInFlight reports whether a change is being replicated.
func (q *Queue) HasInFlight() bool { return q.inFlight != nil }

// HasConfigurationInFlight reports whether a configuration is being replicated. It is already in
// the state but not confirmed yet.
func (q *Queue) HasConfigurationInFlight() bool {
	return q.inFlight != nil && q.inFlight.Configuration != nil
}

// HasEntry reports whether the entry of a change that is waiting or in flight matches.
func (q *Queue) HasEntry(match func(state.Entry) bool) bool {
	if q.inFlight != nil && q.inFlight.Entry != nil && match(q.inFlight.Entry) {
		return true
	}
	return slices.ContainsFunc(q.waiting, func(c Change) bool { return c.Entry != nil && match(c.Entry) })
}

// Add appends a change.
func (q *Queue) Add(c Change) { q.waiting = append(q.waiting, c) }

// Next removes the change whose turn it is from the queue and decides it. It returns false if
// there is none that can be decided now, and an error if an operator's request is refused. Only
// a primary that holds its lease may call it: otherwise the decision could be based on a state
// that is no longer in force.
func (q *Queue) Next(current *state.State, checks Checks) (c Change, ok bool, err error) {
	at := slices.IndexFunc(q.waiting, func(c Change) bool {
		return c.Configuration == nil || !q.baseIsPending(c.Configuration, current)
	})
	if at < 0 {
		return Change{}, false, nil
	}
	c = q.waiting[at]
	q.waiting = slices.Delete(q.waiting, at, at+1)
	err = c.decide(current, checks)
	return c, true, err
}

// baseIsPending reports whether the configuration that a request is based on is waiting here, or
// may still arrive because the request overtook it on the way.
func (q *Queue) baseIsPending(put *Configuration, current *state.State) bool {
	return put.awaitsBase(current) || slices.ContainsFunc(q.waiting, func(other Change) bool {
		return other.Configuration != nil && put.dependsOn(other.Configuration)
	})
}

// Start records that a change is being replicated.
func (q *Queue) Start(c Change) { q.inFlight = &c }

// Confirm removes and returns the change in flight once every replica has it on disk, or returns
// false if there is none.
func (q *Queue) Confirm() (Change, bool) {
	if q.inFlight == nil {
		return Change{}, false
	}
	confirmed := *q.inFlight
	q.inFlight = nil
	return confirmed, true
}

// Clear drops all changes when this core is no longer primary, and returns the calls that were
// waiting for them. Their outcome is unknown: the successor may have the change that was in
// flight, and operators may have sent the other requests to it as well.
func (q *Queue) Clear() []uint64 {
	calls := q.callsInFlight()
	for _, c := range q.waiting {
		calls = appendCall(calls, c.Call)
	}
	q.waiting, q.inFlight = nil, nil
	return calls
}

// ReleaseCalls returns the waiting calls and drops the changes of operators that are not in
// flight. The core's own changes remain.
func (q *Queue) ReleaseCalls() []uint64 {
	calls := q.callsInFlight()
	if q.inFlight != nil {
		q.inFlight.Call = 0
	}
	kept := q.waiting[:0]
	for _, c := range q.waiting {
		if c.Call == 0 {
			kept = append(kept, c)
		}
		calls = appendCall(calls, c.Call)
	}
	q.waiting = kept
	return calls
}

func (q *Queue) callsInFlight() []uint64 {
	if q.inFlight == nil {
		return nil
	}
	return appendCall(nil, q.inFlight.Call)
}

func appendCall(calls []uint64, call uint64) []uint64 {
	if call == 0 {
		return calls
	}
	return append(calls, call)
}
