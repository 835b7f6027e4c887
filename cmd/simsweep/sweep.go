package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"

	"tuliprudder/test/simulator"
)

// sweep executes the runs, prints their totals, and returns how many violated a guarantee.
func sweep(opts options, shape simulator.Shape) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	seeds := make(chan int64)
	var sums totals
	var workers sync.WaitGroup
	for range opts.jobs {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				opts.runSeed(seed, shape, &sums)
			}
		}()
	}
	opts.distributeSeeds(ctx, seeds)
	close(seeds)
	workers.Wait()
	sums.print(opts.firstSeed)
	return sums.violated
}

// distributeSeeds hands the seeds to the workers until ctx is done. The totals then cover the
// runs started before.
func (opts options) distributeSeeds(ctx context.Context, seeds chan<- int64) {
	for seed := opts.firstSeed; seed < opts.firstSeed+opts.seedCount; seed++ {
		select {
		case seeds <- seed:
		case <-ctx.Done():
			fmt.Printf("interrupted before seed %d\n", seed)
			return
		}
	}
}

// runSeed executes one run. A run that violates a guarantee is reduced and its trace printed.
func (opts options) runSeed(seed int64, shape simulator.Shape, sums *totals) {
	run := opts.simulatedRun(seed, shape)
	world := run.Execute()
	sums.add(world)
	if len(world.Workload.Violations) == 0 {
		return
	}
	run, world = shrink(run, world)
	sums.mu.Lock()
	defer sums.mu.Unlock()
	sums.violated++
	fmt.Printf("seed %d violates a guarantee; it still does without the faults %v\n%s\n", seed, run.SkipFaults, world.Report(int(opts.traceLines)))
}

// shrink tries to leave out each fault in turn, and keeps it out if the run still violates a guarantee.
func shrink(run simulator.Run, world *simulator.World) (simulator.Run, *simulator.World) {
	for fault := range run.Faults {
		smaller := run
		smaller.SkipFaults = append(slices.Clone(run.SkipFaults), fault)
		if smallerWorld := smaller.Execute(); len(smallerWorld.Workload.Violations) > 0 {
			run, world = smaller, smallerWorld
		}
	}
	return run, world
}
