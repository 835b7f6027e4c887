// Program simsweep runs the simulator with many seeds (DESIGN §11, test/simulator). A run
// that violates a guarantee is reduced to the faults needed to reproduce the violation, and
// its trace is printed. The exit status is 1 if a run violated a guarantee, 2 on bad settings.
//
//	simsweep -seeds 1000 -shape five
//	simsweep -first 4711 -seeds 1 -only cut-off
package main

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"

	"tuliprudder/internal/settings"
	"tuliprudder/test/simulator"
)

// options holds the command-line settings.
type options struct {
	firstSeed, seedCount, faults, jobs, traceLines int64
	zones, cores, stores, edges, shards, tolerance int64
	coreZones, storeZones                          string // comma-separated counts
	shape, only                                    string
	plain, noMeasure                               bool
}

const (
	exitViolated = 1
	exitUsage    = 2
)

func main() {
	opts := readOptions(os.Args[1:])
	shape, err := opts.fleetShape()
	if err == nil {
		err = opts.simulatedRun(opts.firstSeed, shape).Validate()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if violated := sweep(opts, shape); violated > 0 {
		os.Exit(exitViolated)
	}
}

func readOptions(args []string) options {
	var opts options
	r := settings.New("simsweep")
	r.Int(&opts.firstSeed, "first", 1, 0, 1<<40, "first seed")
	r.Int(&opts.seedCount, "seeds", 1000, 1, 1<<30, "seeds, with one run each")
	r.Int(&opts.faults, "acts", 10, 0, 1000, "faults in a run")
	r.Int(&opts.jobs, "jobs", int64(runtime.NumCPU()), 1, 256, "runs at once")
	r.Int(&opts.traceLines, "lines", 80, 1, 4000, "lines of the trace of a run that violates a guarantee, at most")
	r.Int(&opts.zones, "zones", 3, 2, 16, "zones")
	r.Int(&opts.cores, "cores", 3, 1, 7, "cores; an odd number")
	r.Int(&opts.stores, "stores", 3, 2, 32, "stores")
	r.Int(&opts.edges, "edges", 3, 1, 32, "edges")
	r.Int(&opts.shards, "slots", 8, 1, 256, "shards of batches")
	r.Int(&opts.tolerance, "tolerance", 1, 1, 2, "disks of cores, and of stores, that may be lost at once")
	r.Flags.StringVar(&opts.coreZones, "core-zones", "", "cores in each zone, by comma, as in 2,1; spread evenly when empty")
	r.Flags.StringVar(&opts.storeZones, "store-zones", "", "stores in each zone, by comma, as in 2,1,1; spread evenly when empty")
	r.Flags.StringVar(&opts.shape, "shape", "", "shape of the cluster by name, in place of the numbers above: one, three, five, seven or uneven")
	r.Flags.StringVar(&opts.only, "only", "", "only faults whose names contain this, as in cut-off: operators: second-loss: many-changes: answers:")
	r.Flags.BoolVar(&opts.plain, "plain", false, "no directed scenarios, and no requests that are forwarded")
	r.Flags.BoolVar(&opts.noMeasure, "no-measure", false, "do not time the recovery from each kind of loss before the faults")
	r.MustParse(args)
	return opts
}

// fleetShape returns the shape of the simulated clusters.
func (opts options) fleetShape() (simulator.Shape, error) {
	if opts.shape != "" {
		shape, known := simulator.Shapes[opts.shape]
		if !known {
			return shape, fmt.Errorf("unknown shape %q; give one, three, five, seven or uneven", opts.shape)
		}
		return shape, shape.Validate()
	}
	shape := simulator.Shape{
		Zones:     int(opts.zones),
		Cores:     int(opts.cores),
		Stores:    int(opts.stores),
		Edges:     int(opts.edges),
		Shards:    int(opts.shards),
		Tolerance: int(opts.tolerance),
	}
	var err error
	if shape.CoreZones, err = parseCounts(opts.coreZones); err != nil {
		return shape, fmt.Errorf("-core-zones: %w", err)
	}
	if shape.StoreZones, err = parseCounts(opts.storeZones); err != nil {
		return shape, fmt.Errorf("-store-zones: %w", err)
	}
	return shape, shape.Validate()
}

// parseCounts parses comma-separated counts; an empty text gives none.
func parseCounts(text string) ([]int, error) {
	if text == "" {
		return nil, nil
	}
	var out []int
	for _, field := range strings.Split(text, ",") {
		count, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || count < 0 {
			return nil, fmt.Errorf("%q is not a count; give non-negative whole numbers separated by commas", field)
		}
		out = append(out, count)
	}
	return out, nil
}

// simulatedRun returns the simulator run for one seed.
func (opts options) simulatedRun(seed int64, shape simulator.Shape) simulator.Run {
	return simulator.Run{
		Seed:            seed,
		Faults:          int(opts.faults),
		Filter:          opts.only,
		Conditions:      simulator.MildConditions(),
		Shape:           shape,
		Forwarding:      !opts.plain,
		Scenarios:       !opts.plain,
		MeasureRecovery: !opts.noMeasure,
	}
}
