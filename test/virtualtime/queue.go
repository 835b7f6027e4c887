// Package virtualtime runs events in the order of a virtual clock, for the simulator
// (test/simulator) and the capacity model (test/capacitymodel). Time passes only from one
// event to the next, so that a run depends on nothing but its events. A Queue belongs to one
// goroutine.
package virtualtime

import "tuliprudder/internal/clock"

// event is something that happens at a point of virtual time.
type event struct {
	at  clock.Micros
	seq uint64 // orders events of one time as they were added
	do  func()
}

func (e event) before(other event) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.seq < other.seq
}

// Queue is a virtual clock with the events that are to come.
type Queue struct {
	Now     clock.Micros
	events  []event // a binary heap, the earliest first
	lastSeq uint64
}

// After has something happen later. Events of one time happen in the order they were added.
func (q *Queue) After(delay clock.Micros, do func()) {
	q.lastSeq++
	q.events = append(q.events, event{at: q.Now + delay, seq: q.lastSeq, do: do})
	q.siftUp(len(q.events) - 1)
}

// RunFor runs the events of a span of time, those that they add included, and returns how
// many there were. Now is the end of the span then.
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

// Clear drops all events that are to come.
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
	q.events[last] = event{} // its closure is not kept alive
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
