// Program simsweep sweeps seeds through the simulator; a day that breaks a
// promise is shrunk to the failures it needs, and its trace is printed (DESIGN
// §11).
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"tuliprudder/kernel/settings"
	"tuliprudder/proof/simulation"
)

type options struct {
	first, seeds, acts, jobs, lines               int64
	zones, cores, stores, edges, slots, tolerance int64
	coreZones, storeZones                         string
	shape, only                                   string
	plain, noMeasure                              bool
}

func main() {
	var set options
	r := settings.New("simsweep")
	r.Int(&set.first, "first", 1, 0, 1<<40, "first seed")
	r.Int(&set.seeds, "seeds", 1000, 1, 1<<30, "how many seeds")
	r.Int(&set.acts, "acts", 10, 0, 1000, "failures a day")
	r.Int(&set.jobs, "jobs", int64(runtime.NumCPU()), 1, 256, "days lived at once")
	r.Int(&set.lines, "lines", 80, 1, 4000, "lines of a failing day's trace")
	r.Int(&set.zones, "zones", 3, 2, 16, "zones")
	r.Int(&set.cores, "cores", 3, 1, 7, "cores, an odd number")
	r.Int(&set.stores, "stores", 3, 2, 32, "stores")
	r.Int(&set.edges, "edges", 3, 1, 32, "edges")
	r.Int(&set.slots, "slots", 8, 1, 256, "slots")
	r.Int(&set.tolerance, "tolerance", 1, 1, 2, "disks of a kind that may be lost at once")
	r.Flags.StringVar(&set.coreZones, "core-zones", "", "cores in each zone, as in 2,1; empty: spread evenly")
	r.Flags.StringVar(&set.storeZones, "store-zones", "", "stores in each zone, as in 2,1,1; empty: spread evenly")
	r.Flags.StringVar(&set.shape, "shape", "", "a shape by name: one, three, five, seven, uneven; instead of the numbers above")
	r.Flags.StringVar(&set.only, "only", "", "only failures whose names hold this, as in cut-off: operators: second-loss: many-changes: answers:")
	r.Flags.BoolVar(&set.plain, "plain", false, "no directed scenarios, and no requests that are passed on")
	r.Flags.BoolVar(&set.noMeasure, "no-measure", false, "do not time a recovery from each loss before the failures")
	r.MustParse(os.Args[1:])
	size, err := set.size()
	if err == nil {
		err = set.day(set.first, size).Check()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if failed := sweep(set, size); failed > 0 {
		os.Exit(1)
	}
}

// size is the shape of the fleets.
func (set options) size() (simulation.Size, error) {
	if set.shape != "" {
		size, known := simulation.Shapes[set.shape]
		if !known {
			return size, fmt.Errorf("no shape is named %q; give one, three, five, seven or uneven", set.shape)
		}
		return size, size.Check()
	}
	size := simulation.Size{Zones: int(set.zones), Cores: int(set.cores), Stores: int(set.stores), Edges: int(set.edges), Slots: int(set.slots), Tolerance: int(set.tolerance)}
	var err error
	if size.CoreZones, err = counts(set.coreZones); err != nil {
		return size, fmt.Errorf("-core-zones: %w", err)
	}
	if size.StoreZones, err = counts(set.storeZones); err != nil {
		return size, fmt.Errorf("-store-zones: %w", err)
	}
	return size, size.Check()
}

// counts reads numbers with commas between them.
func counts(text string) ([]int, error) {
	if text == "" {
		return nil, nil
	}
	var out []int
	for _, word := range strings.Split(text, ",") {
		count, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil || count < 0 {
			return nil, fmt.Errorf("%q is no count; give whole numbers with commas between them", word)
		}
		out = append(out, count)
	}
	return out, nil
}

func (set options) day(seed int64, size simulation.Size) simulation.Day {
	return simulation.Day{Seed: seed, Acts: int(set.acts), Only: set.only, Conditions: simulation.Mild(), Size: size,
		Forwarding: !set.plain, Scenarios: !set.plain, Measure: !set.noMeasure}
}
