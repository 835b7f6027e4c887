// Program capacity measures the capacity of a simulated cluster: the state machines of
// many daemons run in one process under virtual time (docs/CAPACITY.md). Each run adds a
// line to a table (CSV).
//
//	capacity -daemons 350 -seconds 60 -out docs/capacity/runs.csv
//	capacity page        # works out the tables of docs/CAPACITY.md from the committed runs
package main

import (
	"fmt"
	"io"
	"os"

	"tuliprudder/internal/logging"
	"tuliprudder/test/capacitymodel"
)

func main() {
	err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) > 0 && args[0] == "page" {
		return runPageCommand(args[1:])
	}
	r, opts := newSettingsReader()
	r.MustParse(args)
	logging.New(io.Discard, "capacity", "") // the libraries' own log would stand between the lines of the table
	for seed := opts.firstSeed; seed < opts.firstSeed+opts.seedCount; seed++ {
		opts.Seed = seed
		if err := measure(opts); err != nil {
			return err
		}
	}
	return nil
}

// measure makes one run and appends its records.
func measure(opts *options) error {
	fmt.Fprintf(os.Stderr, "%d daemons (%d edges of which %d complete, %d stores, %d cores), %d servers, %d changes an hour, %d items a second, seed %d\n",
		opts.Daemons, opts.Edges(), opts.FullEdges, opts.Stores, opts.Cores, opts.Servers, opts.ChangesPerHour, opts.ItemsPerSecond, opts.Seed)
	result := capacitymodel.Run(opts.Settings, os.Stderr)
	if err := appendRecords(opts.tablePath, capacitymodel.Columns(), [][]string{result.Record()}); err != nil {
		return err
	}
	if opts.kindTablePath == "" {
		return nil
	}
	return appendRecords(opts.kindTablePath, capacitymodel.KindColumns(), result.KindRecords())
}
