package scheduler

import (
	"testing"

	"tuliprudder/internal/clock"
)

// The window grows while items begin at once, shrinks when they are delayed, once for
// each congestion, and never below one.
func TestWindowFollowsTheDelay(t *testing.T) {
	var w congestionWindow
	now := clock.Second
	short, long := 40*clock.Millisecond, 400*clock.Millisecond
	for range 20 {
		w.observeDelay(short, now)
	}
	open := w.capacity()
	if open < 20 {
		t.Fatalf("%d may run after 20 items that began at once", open)
	}
	w.observeDelay(long, now)
	w.observeDelay(long, now+1)
	if got := w.capacity(); got != int(float64(open)*windowReductionFactor) {
		t.Fatalf("%d may run after one congestion, from %d", got, open)
	}
	for i := range 100 {
		w.observeDelay(long, now+clock.Micros(i+1)*minReductionInterval)
	}
	if w.capacity() != 1 {
		t.Fatalf("%d may run on a server that is full", w.capacity())
	}
	before := w.size
	w.observeDelay(short, now+clock.Second)
	if w.size <= before || w.size > before+1 {
		t.Fatalf("grew from %v to %v", before, w.size)
	}
}
