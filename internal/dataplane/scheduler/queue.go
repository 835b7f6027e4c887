package scheduler

import (
	"container/heap"
	"container/list"
	"slices"
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// queued are the orders that wait, in the order they came.
func (sc *Scheduler) queued() []*Request {
	var out []*Request
	for _, level := range sc.nonEmptyLevels() {
		for _, queue := range sc.queuesAt(level) {
			for e := queue.Front(); e != nil; e = e.Next() {
				out = append(out, e.Value.(*Request))
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].seq < out[j].seq })
	return out
}

// QueuedWeight is how much of a tenant's work waits here, by weight.
func (sc *Scheduler) QueuedWeight(tenant string) int {
	return sc.queuedWeights[tenant]
}

// QueueLength is how many orders wait here in all.
func (sc *Scheduler) QueueLength() int {
	return sc.queuedCount
}

// Submit puts an order into the queue; an error means it never will run.
func (sc *Scheduler) Submit(r *Request, now clock.Micros) error {
	if sc.closed {
		return errs.NewWithRetry(errs.NotReady, clock.Second, "ask another daemon", "this daemon is draining")
	}
	if sc.queuedCount >= sc.settings.MaxQueued {
		sc.Rejected++
		return errs.NewWithRetry(errs.Busy, sc.RetryAfter(now), "come back after the time given", "the backlog is full")
	}
	if err := sc.applyConfiguration(r); err != nil {
		return err
	}
	if r.queuedAt == 0 {
		r.queuedAt = now
	}
	sc.seq++
	r.seq = sc.seq
	sc.enqueue(r)
	return nil
}

func (sc *Scheduler) enqueue(r *Request) {
	level := queueLevel(r)
	if sc.queues[level] == nil {
		sc.queues[level] = map[*config.Route]*list.List{}
	}
	queue := sc.queues[level][r.Route]
	if queue == nil {
		queue = list.New()
		sc.queues[level][r.Route] = queue
	}
	r.queueElement = queue.PushBack(r)
	r.started, r.removed = false, false
	if r.Deadline > 0 {
		heap.Push(&sc.byDeadline, r)
	}
	sc.queuedCount++
	sc.queuedWeights[r.Tenant] += r.queueWeight()
	sc.changed = true
}

// RetryAfter is when the queue of now will have been worked off, by the pace of the
// latest assignments, between half a second and half a minute.
func (sc *Scheduler) RetryAfter(now clock.Micros) clock.Micros {
	if len(sc.assignmentTimes) < 2 {
		return 2 * clock.Second
	}
	pace := (now - sc.assignmentTimes[0]) / clock.Micros(len(sc.assignmentTimes))
	return min(30*clock.Second, max(clock.Second/2, pace*clock.Micros(sc.queuedCount)))
}

// SpendRetry spends of the budget for further tries: one for every five orders that
// were assigned, so that a fault of all servers does not multiply the load.
func (sc *Scheduler) SpendRetry() bool {
	if sc.retryBudget < 1 {
		return false
	}
	sc.retryBudget--
	return true
}

// Cancel takes an order out of the queue; false when it has started, has gone, or
// never found room there.
func (sc *Scheduler) Cancel(r *Request) bool {
	if r.queueElement == nil || r.started || r.removed {
		return false
	}
	sc.dequeue(r)
	return true
}

func (sc *Scheduler) dequeue(r *Request) {
	level := queueLevel(r)
	queue := sc.queues[level][r.Route]
	queue.Remove(r.queueElement)
	if queue.Len() == 0 {
		delete(sc.queues[level], r.Route)
	}
	if r.Deadline > 0 {
		heap.Remove(&sc.byDeadline, r.heapIndex)
	}
	r.removed = true
	sc.queuedCount--
	if sc.queuedWeights[r.Tenant] -= r.queueWeight(); sc.queuedWeights[r.Tenant] <= 0 {
		delete(sc.queuedWeights, r.Tenant)
	}
}

// Close rejects new orders; what waits is dropped.
func (sc *Scheduler) Close(now clock.Micros) {
	sc.closed = true
	dropped := sc.queued()
	for _, r := range dropped {
		sc.dequeue(r)
	}
	for _, r := range dropped {
		r.Drop(errs.NewWithRetry(errs.NotReady, clock.Second, "ask another daemon", "this daemon is draining"), now)
	}
}

// dequeueLive takes the live orders out of a queue whose daemon does not hear most of
// the fleet: elsewhere their tenants' quota is lent anew. Items of batches
// were accepted, and wait on.
func (sc *Scheduler) dequeueLive() []*Request {
	var out []*Request
	for _, r := range sc.queued() {
		if !r.IsBatchItem {
			sc.dequeue(r)
			out = append(out, r)
		}
	}
	return out
}

// nonEmptyLevels lists the levels that have orders, highest first.
func (sc *Scheduler) nonEmptyLevels() []int64 {
	out := make([]int64, 0, len(sc.queues))
	for level, routes := range sc.queues {
		if len(routes) > 0 {
			out = append(out, level)
		}
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}

// queuesAt lists a level's backlogs, the one whose first order came first in front.
func (sc *Scheduler) queuesAt(level int64) []*list.List {
	out := make([]*list.List, 0, len(sc.queues[level]))
	for _, queue := range sc.queues[level] {
		out = append(out, queue)
	}
	sort.Slice(out, func(i, j int) bool {
		return out[i].Front().Value.(*Request).seq < out[j].Front().Value.(*Request).seq
	})
	return out
}

// deadlineHeap is the heap of orders that expire.
type deadlineHeap []*Request

func (e deadlineHeap) Len() int { return len(e) }

func (e deadlineHeap) Less(i, j int) bool { return e[i].Deadline < e[j].Deadline }

func (e deadlineHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i]; e[i].heapIndex, e[j].heapIndex = i, j }

// Push and Pop are the heap's.
func (e *deadlineHeap) Push(x any) {
	r := x.(*Request)
	r.heapIndex = len(*e)
	*e = append(*e, r)
}

// Pop takes the last.
func (e *deadlineHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
