package main

import (
	"testing"

	"tuliprudder/internal/clock"
)

func TestDescribeDurations(t *testing.T) {
	var list []clock.Micros
	for i := clock.Micros(100); i > 0; i-- {
		list = append(list, i*clock.Millisecond)
	}
	if got, want := describeDurations(list), "51 ms at the 50th percentile, 96 at the 95th, 100 at the most (100 times)"; got != want {
		t.Errorf("describeDurations: got %q, want %q", got, want)
	}
}
