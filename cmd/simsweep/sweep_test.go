package main

import (
	"testing"

	"tuliprudder/test/simulator"
)

// Checks that a sweep of runs without a violation reports none.
func TestSweep(t *testing.T) {
	opts := options{firstSeed: 1, seedCount: 2, faults: 1, jobs: 2, traceLines: 10, plain: true, noMeasure: true}
	if failed := sweep(opts, simulator.Shapes["three"]); failed != 0 {
		t.Errorf("%d runs violated a guarantee, want none", failed)
	}
}
