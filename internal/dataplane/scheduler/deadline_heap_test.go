package scheduler

import (
	"container/heap"
	"math/rand"
	"testing"

	"tuliprudder/internal/clock"
)

// After any sequence of insertions and removals the earliest deadline is on top, and each request
// stores its index.
func TestDeadlineHeapKeepsItsOrder(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	var h deadlineHeap
	for range 1000 {
		if len(h) > 0 && rng.Intn(3) == 0 {
			heap.Remove(&h, rng.Intn(len(h)))
		} else {
			heap.Push(&h, &Request{Deadline: clock.Micros(1 + rng.Intn(100))})
		}
		for i, r := range h {
			if r.heapIndex != i {
				t.Fatalf("the request at index %d has heapIndex %d", i, r.heapIndex)
			}
			if r.Deadline < h[0].Deadline {
				t.Fatalf("a deadline of %d is earlier than that on top, %d", r.Deadline, h[0].Deadline)
			}
		}
	}
}
