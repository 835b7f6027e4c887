package scheduler

import (
	"testing"

	"tuliprudder/kernel/clock"
)

// The window opens while items begin at once, closes when they wait, once for each
// congestion, and never closes altogether.
func TestWindowFollowsTheDelay(t *testing.T) {
	var w window
	now := clock.Second
	soon, late := 40*clock.Millisecond, 400*clock.Millisecond
	for range 20 {
		w.began(soon, now)
	}
	open := w.room()
	if open < 20 {
		t.Fatalf("room for %d after 20 items that began at once", open)
	}
	w.began(late, now)
	w.began(late, now+1)
	if got := w.room(); got != int(float64(open)*windowCut) {
		t.Fatalf("room for %d after one congestion, from %d", got, open)
	}
	for i := range 100 {
		w.began(late, now+clock.Micros(i+1)*windowRest)
	}
	if w.room() != 1 {
		t.Fatalf("room for %d on a server that is full", w.room())
	}
	before := w.size
	w.began(soon, now+clock.Second)
	if w.size <= before || w.size > before+1 {
		t.Fatalf("grew from %v to %v", before, w.size)
	}
}
