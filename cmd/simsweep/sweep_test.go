package main

import (
	"testing"

	"tuliprudder/test/simulator"
)

// A sweep sums up its runs, and those that violated a guarantee.
func TestSweep(t *testing.T) {
	opts := options{firstSeed: 1, seedCount: 2, faults: 1, jobs: 2, traceLines: 10, plain: true, noMeasure: true}
	if failed := sweep(opts, simulator.Shapes["three"]); failed != 0 {
		t.Errorf("%d runs violated a guarantee", failed)
	}
}
