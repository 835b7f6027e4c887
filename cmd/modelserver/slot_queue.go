package main

import (
	"container/heap"
	"context"
	"sync"
)

// slotQueue grants concurrency slots to requests in order of priority number, lowest first, and in
// order of arrival among equals, as the documented priority scheduling of real model servers does.
type slotQueue struct {
	mu           sync.Mutex // guards the fields below
	freeSlots    int
	waiting      waiterHeap
	lastSequence int
}

// waiter is a request waiting for a slot.
type waiter struct {
	priority, sequence int
	heapIndex          int           // -1 once removed from the queue
	granted            chan struct{} // closed when the slot is granted
}

// waiterHeap implements heap.Interface.
type waiterHeap []*waiter

func (h waiterHeap) Len() int { return len(h) }

func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *waiterHeap) Push(x any) {
	entry := x.(*waiter)
	entry.heapIndex = len(*h)
	*h = append(*h, entry)
}

func (h *waiterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	last.heapIndex = -1
	return last
}

func newSlotQueue(slots int) *slotQueue { return &slotQueue{freeSlots: slots} }

// acquire waits for a slot. It returns false if ctx is done first.
func (q *slotQueue) acquire(ctx context.Context, priority int) bool {
	q.mu.Lock()
	if q.freeSlots > 0 {
		q.freeSlots--
		q.mu.Unlock()
		return true
	}
	q.lastSequence++
	entry := &waiter{priority: priority, sequence: q.lastSequence, granted: make(chan struct{})}
	heap.Push(&q.waiting, entry)
	q.mu.Unlock()
	select {
	case <-entry.granted:
		return true
	case <-ctx.Done():
	}
	q.mu.Lock()
	if entry.heapIndex >= 0 {
		heap.Remove(&q.waiting, entry.heapIndex)
		q.mu.Unlock()
		return false
	}
	q.mu.Unlock()
	q.release() // granted concurrently with the cancellation: pass it on
	return false
}

// release passes a slot to the next waiting request, or marks it as free if none waits.
func (q *slotQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.freeSlots++
		return
	}
	close(heap.Pop(&q.waiting).(*waiter).granted)
}
