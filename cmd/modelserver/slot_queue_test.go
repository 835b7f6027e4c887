package main

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

// Slots go to the lowest priority number first, and among equals to the first that came.
func TestSlotsAreGrantedByPriority(t *testing.T) {
	q := newSlotQueue(1)
	if !q.acquire(t.Context(), 0) {
		t.Fatal("a free slot was not granted")
	}
	var mu sync.Mutex
	var granted []int
	var workers sync.WaitGroup
	for i, priority := range []int{5, 1, 5, 0} {
		workers.Add(1)
		go func() {
			defer workers.Done()
			if q.acquire(t.Context(), priority) {
				mu.Lock()
				granted = append(granted, i)
				mu.Unlock()
				q.release()
			}
		}()
		waitForQueueLength(t, q, i+1)
	}
	q.release()
	workers.Wait()
	if want := []int{3, 1, 0, 2}; !slices.Equal(granted, want) {
		t.Errorf("granted in the order %v, not %v", granted, want)
	}
	if q.freeSlots != 1 {
		t.Errorf("%d slots are free at the end", q.freeSlots)
	}
}

// A request that leaves the queue takes no slot with it.
func TestCancelledWaiterTakesNoSlot(t *testing.T) {
	q := newSlotQueue(1)
	q.acquire(t.Context(), 0)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan bool)
	go func() { result <- q.acquire(ctx, 0) }()
	waitForQueueLength(t, q, 1)
	cancel()
	if <-result {
		t.Error("a slot was granted to a request that had left")
	}
	q.release()
	if q.freeSlots != 1 || len(q.waiting) != 0 {
		t.Errorf("%d slots are free, %d requests wait", q.freeSlots, len(q.waiting))
	}
}

// waitForQueueLength waits until so many requests wait.
func waitForQueueLength(t *testing.T, q *slotQueue, count int) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(10 * time.Second)
	for {
		q.mu.Lock()
		waiting := len(q.waiting)
		q.mu.Unlock()
		if waiting == count {
			return
		}
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatalf("%d requests wait, not %d", waiting, count)
		}
	}
}
