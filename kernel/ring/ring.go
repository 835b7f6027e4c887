// Package ring holds the bounded rings that join threads (DESIGN §2).
package ring

import "sync"

// Ring is a bounded queue between threads. A full ring never blocks the one
// who puts: it says no and counts it.
type Ring[T any] struct {
	mu      sync.Mutex
	wake    *sync.Cond
	slots   []T // grows up to most
	most    int
	head, n int
	closed  bool
	dropped int64
}

// firstSlots is the size a ring begins with: most never hold more.
const firstSlots = 64

// New makes a ring of the given size.
func New[T any](size int) *Ring[T] {
	if size < 1 {
		size = 1
	}
	r := &Ring[T]{slots: make([]T, min(size, firstSlots)), most: size}
	r.wake = sync.NewCond(&r.mu)
	return r
}

// Put adds one; false when the ring is full or closed.
func (r *Ring[T]) Put(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.n == r.most {
		r.dropped++
		return false
	}
	if r.n == len(r.slots) {
		grown := make([]T, min(2*r.n, r.most))
		for i := range r.n {
			grown[i] = r.slots[(r.head+i)%r.n]
		}
		r.slots, r.head = grown, 0
	}
	r.slots[(r.head+r.n)%len(r.slots)] = v
	r.n++
	r.wake.Signal()
	return true
}

// Take waits for at least one and returns up to most; nil once closed and empty.
func (r *Ring[T]) Take(most int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.n == 0 && !r.closed {
		r.wake.Wait()
	}
	if r.n == 0 {
		return nil
	}
	count := min(r.n, most)
	out := make([]T, count)
	var zero T
	for i := range out {
		out[i] = r.slots[r.head]
		r.slots[r.head] = zero
		r.head = (r.head + 1) % len(r.slots)
	}
	r.n -= count
	return out
}

// Close lets takers finish what is left; puts are turned away from now on.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.wake.Broadcast()
	r.mu.Unlock()
}

// Len is how many wait; Dropped is how many were turned away.
func (r *Ring[T]) Len() int { r.mu.Lock(); defer r.mu.Unlock(); return r.n }

// Dropped counts the puts that found the ring full or closed.
func (r *Ring[T]) Dropped() int64 { r.mu.Lock(); defer r.mu.Unlock(); return r.dropped }

// Closed tells whether the ring takes no more puts.
func (r *Ring[T]) Closed() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.closed }
