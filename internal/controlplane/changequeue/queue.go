// Package changequeue orders the changes of the control state (DESIGN §5.4, §8.1): which
// change is next, what became of an operator's request, and who is to be answered.
//
// It is data and decisions only: the control state goes in as a value, changes and answers
// come out, and the caller, the primary core, replicates and sends them. One change at a time
// is in flight, so that an operator's request is decided on a state in which every earlier
// change is confirmed or will be before the answer is given. It is not safe for concurrent
// use.
package changequeue

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/state"
)

// maxWaiting is how many changes may wait for their turn until operators' are rejected.
const maxWaiting = 64

// Change is one change that waits for its turn, or is on its way to the replicas.
// The core's own changes have an entry from the start; an operator's request
// gets one when it is decided.
type Change struct {
	// Entry is what is replicated; nil before the decision, and after one that there is
	// nothing to write.
	Entry         state.Entry
	Configuration *Configuration // a request to put a configuration, else nil
	Retirement    *Retirement    // a request to retire a store, else nil
	Call          uint64         // of the operator who waits; 0: nobody does
	Deadline      clock.Micros   // of the call
}

// CheckDocument says what is wrong with a whole configuration document.
type CheckDocument func(document []byte) error

// Checks are what operators' requests are held against at their turn, besides the control state.
type Checks struct {
	CanRetire func(id string) error // why a store can't be retired; nil when it can
	// Document checks what a patch makes; nil: all is valid.
	Document CheckDocument
}

// decide decides an operator's request at its turn.
func (c *Change) decide(current *state.State, checks Checks) (err error) {
	switch {
	case c.Configuration != nil:
		c.Entry, err = c.Configuration.decide(current, checks.Document)
	case c.Retirement != nil:
		c.Entry, err = c.Retirement.decide(current, checks.CanRetire)
	}
	return err
}

// Queue is the changes that wait, in the order in which they came, and the one that is in
// flight.
type Queue struct {
	waiting  []Change
	inFlight *Change
}

// IsFull tells whether no further request of an operator is to be taken in.
func (q *Queue) IsFull() bool { return len(q.waiting) >= maxWaiting }

// IsIdle tells that no change waits and none is in flight.
func (q *Queue) IsIdle() bool { return q.inFlight == nil && len(q.waiting) == 0 }

// HasInFlight tells whether a change is on its way to the replicas.
func (q *Queue) HasInFlight() bool { return q.inFlight != nil }

// HasConfigurationInFlight tells whether a configuration is on its way to the replicas: the
// state has it already, but it is not confirmed.
func (q *Queue) HasConfigurationInFlight() bool {
	return q.inFlight != nil && q.inFlight.Configuration != nil
}

// HasEntry tells whether an entry that waits or is in flight matches.
func (q *Queue) HasEntry(match func(state.Entry) bool) bool {
	if q.inFlight != nil && q.inFlight.Entry != nil && match(q.inFlight.Entry) {
		return true
	}
	return slices.ContainsFunc(q.waiting, func(c Change) bool { return c.Entry != nil && match(c.Entry) })
}

// Add appends a change.
func (q *Queue) Add(c Change) { q.waiting = append(q.waiting, c) }

// Next takes the change whose turn it is out of the queue and decides it; false when all
// wait. The error is why an operator's request is refused. Only a primary that holds its
// lease may call it: what another one decides could differ from what is in force.
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

// baseIsPending tells whether the configuration that another is built on waits here, or may
// yet come: its request may have been overtaken on the way.
func (q *Queue) baseIsPending(put *Configuration, current *state.State) bool {
	return put.awaitsBase(current) || slices.ContainsFunc(q.waiting, func(other Change) bool {
		return other.Configuration != nil && put.dependsOn(other.Configuration)
	})
}

// Start records that a change is on its way to the replicas.
func (q *Queue) Start(c Change) { q.inFlight = &c }

// Confirm ends the change in flight: every replica has it on disk. False when there was none.
func (q *Queue) Confirm() (Change, bool) {
	if q.inFlight == nil {
		return Change{}, false
	}
	confirmed := *q.inFlight
	q.inFlight = nil
	return confirmed, true
}

// Clear drops all changes, as this core is no longer primary, and lists the calls that wait
// for them. The outcome of these is not known: the successor may have the change in flight,
// and the operator may have sent the others to it.
func (q *Queue) Clear() []uint64 {
	calls := q.callsInFlight()
	for _, c := range q.waiting {
		calls = appendCall(calls, c.Call)
	}
	q.waiting, q.inFlight = nil, nil
	return calls
}

// ReleaseCalls lists the calls that wait, and drops operators' changes that are not in
// flight; the core's own remain.
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
