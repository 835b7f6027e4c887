// Package virtualtime provides an event queue with a virtual clock, for the simulator
// (test/simulator) and the capacity model (test/capacitymodel). The clock advances only from one
// event to the next, so that runs are deterministic. A Queue is not safe for concurrent use.
package virtualtime

import "tuliprudder/internal/clock"

// event is a function to be called at a point in virtual time.
type event struct {
	at  clock.Micros
	seq uint64 // breaks ties between events of the same time in insertion order
	do  func()
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

// Queue is a virtual clock with the pending events.
type Queue struct {
	Now     clock.Micros
	events  []event // a binary heap, the earliest first
	lastSeq uint64
}

// After schedules do to be called after a delay. Events of the same time run in insertion order.
func (q *Queue) After(delay clock.Micros, do func()) {
	q.lastSeq++
	q.events = append(q.events, event{at: q.Now + delay, seq: q.lastSeq, do: do})
	q.siftUp(len(q.events) - 1)
}

// RunFor runs all events that are due within the duration, including those added meanwhile, and
// returns their number. It leaves Now at the end of the duration.
func (q *Queue) RunFor(duration clock.Micros) int {
	end := q.Now + duration
	count := 0
	for len(q.events) > 0 && q.events[0].at <= end {
		next := q.pop()
		q.Now = next.at
		next.do()
		count++
	}
	q.Now = end
	return count
}

// Clear drops all pending events.
func (q *Queue) Clear() { q.events = nil }

func (q *Queue) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.events[i].before(q.events[parent]) {
			return
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

func (q *Queue) pop() event {
	first, last := q.events[0], len(q.events)-1
	q.events[0] = q.events[last]
	q.events[last] = event{} // releases the closure to the garbage collector
	q.events = q.events[:last]
	q.siftDown(0)
	return first
}

func (q *Queue) siftDown(i int) {
	for {
		earliest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(q.events) && q.events[child].before(q.events[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		q.events[i], q.events[earliest] = q.events[earliest], q.events[i]
		i = earliest
	}
}
