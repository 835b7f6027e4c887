// Program simsweep sweeps seeds through the simulator; a day that breaks a
// promise is shrunk to the failures it needs, and its trace is printed (DESIGN
// §11).
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"

	"tuliprudder/kernel/settings"
	"tuliprudder/proof/simulation"
)

type options struct {
	first, seeds, acts, workers, lines int64
	zones, stores, edges, slots        int64
	only                               string
}

func main() {
	var set options
	r := settings.New("simsweep")
	r.Int(&set.first, "first", 1, 0, 1<<40, "first seed")
	r.Int(&set.seeds, "seeds", 1000, 1, 1<<30, "how many seeds")
	r.Int(&set.acts, "acts", 10, 0, 1000, "failures a day")
	r.Int(&set.workers, "workers", int64(runtime.NumCPU()), 1, 256, "days lived at once")
	r.Int(&set.lines, "lines", 80, 1, 4000, "lines of a failing day's trace")
	r.Int(&set.zones, "zones", 3, 2, 16, "zones")
	r.Int(&set.stores, "stores", 3, 2, 32, "stores")
	r.Int(&set.edges, "edges", 3, 1, 32, "edges")
	r.Int(&set.slots, "slots", 8, 1, 256, "slots")
	r.Flags.StringVar(&set.only, "only", "", "only failures whose names hold this word")
	r.MustParse(os.Args[1:])
	if failed := sweep(set); failed > 0 {
		os.Exit(1)
	}
}

func (set options) day(seed int64) simulation.Day {
	return simulation.Day{Seed: seed, Acts: int(set.acts), Only: set.only, Climate: simulation.Mild(),
		Size: simulation.Size{Zones: int(set.zones), Cores: 3, Stores: int(set.stores), Edges: int(set.edges), Slots: int(set.slots)}}
}

func sweep(set options) int {
	seeds := make(chan int64)
	var mu sync.Mutex
	var workers sync.WaitGroup
	failed, faults, bundles, rows, plans, claims := 0, 0, 0, 0, 0, 0
	for i := int64(0); i < set.workers; i++ {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range seeds {
				day := set.day(seed)
				w := day.Run()
				mu.Lock()
				faults, bundles, rows = faults+w.Watch.Faults, bundles+len(w.Watch.Bundles), rows+w.Watch.FeedRows
				plans, claims = plans+len(w.Watch.Puts), claims+len(w.Watch.Claims)
				mu.Unlock()
				if len(w.Watch.Breaches) == 0 {
					continue
				}
				small, w := shrink(day, w)
				mu.Lock()
				failed++
				fmt.Printf("seed %d breaks a promise; it still does without the failures %v\n%s\n", seed, small.Skip, w.Report(int(set.lines)))
				mu.Unlock()
			}
		}()
	}
	for seed := set.first; seed < set.first+set.seeds; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	fmt.Printf("%d days from seed %d: %d broke a promise; %d failures caused, %d bundles handed in, %d rows read, %d plans put, %d claims\n", set.seeds, set.first, failed, faults, bundles, rows, plans, claims)
	return failed
}

// shrink leaves failures out one by one for as long as the day still breaks.
func shrink(day simulation.Day, w *simulation.World) (simulation.Day, *simulation.World) {
	for act := 0; act < day.Acts; act++ {
		smaller := day
		smaller.Skip = append(append([]int(nil), day.Skip...), act)
		if again := smaller.Run(); len(again.Watch.Breaches) > 0 {
			day, w = smaller, again
		}
	}
	return day, w
}
