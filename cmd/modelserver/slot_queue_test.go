package main

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

// Slots are granted to the lowest priority number first, and in order of arrival among equals.
func TestSlotsAreGrantedByPriority(t *testing.T) {
	q := newSlotQueue(1)
	if !q.acquire(t.Context(), 0) {
		t.Fatal("free slot was not granted")
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
		t.Errorf("got grant order %v, want %v", granted, want)
	}
	if q.freeSlots != 1 {
		t.Errorf("got %d free slots at the end, want 1", q.freeSlots)
	}
}

// A request that is cancelled while waiting is removed from the queue and does not leak a slot.
func TestCancelledWaiterTakesNoSlot(t *testing.T) {
	q := newSlotQueue(1)
	q.acquire(t.Context(), 0)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan bool)
	go func() { result <- q.acquire(ctx, 0) }()
	waitForQueueLength(t, q, 1)
	cancel()
	if <-result {
		t.Error("slot was granted to a cancelled request")
	}
	q.release()
	if q.freeSlots != 1 || len(q.waiting) != 0 {
		t.Errorf("got %d free slots and %d waiting requests, want 1 and 0", q.freeSlots, len(q.waiting))
	}
}

// waitForQueueLength waits until count requests are queued and fails the test after 10 s.
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
			t.Fatalf("got %d waiting requests, want %d", waiting, count)
		}
	}
}
