// Package ring implements the bounded queues between goroutines (docs/DESIGN.md, section 2).
package ring

import "sync"

// Ring is a bounded queue between goroutines. Put never blocks, because a protocol goroutine must not
// wait for a slower one; values put into a full ring are dropped and counted. Its methods may be
// called from any goroutine.
type Ring[T any] struct {
	mu       sync.Mutex // guards the other fields
	notEmpty *sync.Cond // on mu; signalled by Put and Close
	// buffer is circular: its count values start at head. It grows up to capacity.
	buffer      []T
	capacity    int
	head, count int
	closed      bool
	dropped     int64
}

// initialCapacity is the initial size of the buffer; few rings ever hold more values.
const initialCapacity = 64

// New returns a ring for up to capacity values; a capacity below 1 counts as 1.
func New[T any](capacity int) *Ring[T] {
	capacity = max(capacity, 1)
	r := &Ring[T]{buffer: make([]T, min(capacity, initialCapacity)), capacity: capacity}
	r.notEmpty = sync.NewCond(&r.mu)
	return r
}

// Put adds a value. It returns false if the ring is full or closed.
func (r *Ring[T]) Put(value T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.count == r.capacity {
		r.dropped++
		return false
	}
	if r.count == len(r.buffer) {
		r.grow()
	}
	r.buffer[(r.head+r.count)%len(r.buffer)] = value
	r.count++
	r.notEmpty.Signal()
	return true
}

// grow doubles the buffer, up to the capacity. r.mu must be held and the buffer full.
func (r *Ring[T]) grow() {
	grown := make([]T, min(2*r.count, r.capacity))
	for i := range r.count {
		grown[i] = r.buffer[(r.head+i)%r.count]
	}
	r.buffer = grown
	r.head = 0
}

// Take waits for at least one value and removes up to limit, in the order of Put. It returns nil
// once the ring is closed and empty.
func (r *Ring[T]) Take(limit int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 && !r.closed {
		r.notEmpty.Wait()
	}
	if r.count == 0 {
		return nil
	}
	out := make([]T, min(r.count, limit))
	var zero T
	for i := range out {
		out[i] = r.buffer[r.head]
		r.buffer[r.head] = zero // lets the garbage collector free what the value refers to
		r.head = (r.head + 1) % len(r.buffer)
	}
	r.count -= len(out)
	return out
}

// Close rejects all further puts; values in the ring can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notEmpty.Broadcast()
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped returns the number of values dropped because the ring was full or closed.
func (r *Ring[T]) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Closed reports whether the ring rejects all further puts.
func (r *Ring[T]) Closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}
