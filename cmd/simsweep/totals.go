package main

import (
	"fmt"
	"slices"
	"sync"

	"tuliprudder/internal/clock"
	"tuliprudder/test/simulator"
)

// totals accumulates the figures of the runs of a sweep.
type totals struct {
	mu                                    sync.Mutex // guards all below
	runs, violated, faults                int
	batches, results                      int
	configurationsPut, configurationsRead int
	claims                                int
	forwarded                             int
	undecided                             int // configuration histories that the checker did not decide in time

	// Recovery durations, one for each run that measured it.
	failoverAfterKill, failoverAfterPartition []clock.Micros
	coreRepair, storeRepair                   []clock.Micros
}

// add adds the figures of one run.
func (t *totals) add(w *simulator.World) {
	t.mu.Lock()
	defer t.mu.Unlock()
	load := w.Workload
	t.runs++
	t.faults += load.FaultsInjected
	t.batches += len(load.Batches)
	t.results += load.FeedResults
	t.configurationsPut += len(load.ConfigurationPuts)
	t.configurationsRead += len(load.ConfigurationReads)
	t.claims += len(load.ClaimAttempts)
	t.forwarded += load.ForwardedRequests
	t.undecided += load.UndecidedHistories
	t.failoverAfterKill = appendMeasured(t.failoverAfterKill, load.Recovery.FailoverAfterKill)
	t.failoverAfterPartition = appendMeasured(t.failoverAfterPartition, load.Recovery.FailoverAfterIsolation)
	t.coreRepair = appendMeasured(t.coreRepair, load.Recovery.CoreRepair)
	t.storeRepair = appendMeasured(t.storeRepair, load.Recovery.StoreRepair)
}

// appendMeasured appends a duration, unless it was not measured (0).
func appendMeasured(list []clock.Micros, duration clock.Micros) []clock.Micros {
	if duration <= 0 {
		return list
	}
	return append(list, duration)
}

// print prints the totals of a sweep that began at firstSeed.
func (t *totals) print(firstSeed int64) {
	fmt.Printf("%d runs from seed %d: %d violated a guarantee; %d faults injected, %d batches submitted, %d results read, %d configurations put, %d read back, %d claims, %d requests forwarded\n",
		t.runs, firstSeed, t.violated, t.faults, t.batches, t.results, t.configurationsPut, t.configurationsRead, t.claims, t.forwarded)
	if t.undecided > 0 {
		fmt.Printf("%d histories of configurations were not decided in time\n", t.undecided)
	}
	fmt.Printf("from a kill of the primary core to the next acknowledgement: %s\n", describeDurations(t.failoverAfterKill))
	fmt.Printf("from a partition of the primary core to the next acknowledgement: %s\n", describeDurations(t.failoverAfterPartition))
	fmt.Printf("from the start of an empty core until every group is complete: %s\n", describeDurations(t.coreRepair))
	fmt.Printf("from the start of an empty store until every group is complete: %s\n", describeDurations(t.storeRepair))
}

// describeDurations formats the median, the 95th percentile and the maximum of a list.
func describeDurations(list []clock.Micros) string {
	if len(list) == 0 {
		return "not measured"
	}
	slices.Sort(list)
	at := func(percent int) clock.Micros {
		return list[min(len(list)-1, len(list)*percent/100)] / clock.Millisecond
	}
	return fmt.Sprintf("%d ms at the 50th percentile, %d at the 95th, %d at the most (%d times)", at(50), at(95), at(100), len(list))
}
