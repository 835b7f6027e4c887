// Program controlcheck is the model checker of the control plane: it runs the state
// machine of the cores through all orders of a bounded set of events and checks the
// properties of the control plane after each event (test/modelcheck). It prints the number
// of states visited and the depth reached. On a violation it prints the run that leads to it,
// one event per line, as input for -replay, and exits with status 1.
//
//	controlcheck -mode bfs -depth 6
//	controlcheck -mode walk -depth 400 -seconds 600 -seed 7
//	controlcheck -replay run.txt
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"tuliprudder/internal/settings"
	"tuliprudder/test/modelcheck"
)

// options holds the command-line settings.
type options struct {
	voters, zones, spares, losses       int64
	depth, states, seed, progressEvery  int64
	timeLimitSeconds                    int64 // 0: none
	mode, fault, replayPath, onlyEvents string
	startEmpty, fineGrained             bool
}

// search explores the reachable states in some order.
type search func(*modelcheck.Config, modelcheck.Bounds) modelcheck.Result

// searches maps the values of -mode to the searches.
var searches = map[string]search{
	"bfs":  modelcheck.BreadthFirst,
	"dfs":  modelcheck.DepthFirst,
	"walk": modelcheck.RandomWalk,
}

func main() {
	opts := readOptions(os.Args[1:])
	if err := opts.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func readOptions(args []string) options {
	var opts options
	r := settings.New("controlcheck")
	r.Int(&opts.voters, "voters", 3, 1, 9, "cores with a vote")
	r.Int(&opts.zones, "zones", 0, 0, 9, "zones that the cores are spread over; 0: each has its own")
	r.Int(&opts.spares, "spares", 0, 0, 4, "further cores, stopped at first, that ask for a vote")
	r.Int(&opts.losses, "losses", -1, -1, 9, "cores that may be lost for good at one time; -1: as many as the voters tolerate")
	r.Int(&opts.depth, "depth", 5, 1, 1000, "events of one run, at most")
	r.Int(&opts.states, "states", 100_000, 1, 1<<40, "states that are visited, at most")
	r.Int(&opts.seed, "seed", 1, 0, 1<<40, "seed of depth-first and random searches")
	r.Int(&opts.progressEvery, "every", 200, 0, 1<<40, "states from one check of liveness to the next; 0: no such check")
	r.Int(&opts.timeLimitSeconds, "seconds", 0, 0, 1<<30, "seconds after which the search ends; 0: no limit")
	r.Flags.StringVar(&opts.mode, "mode", "bfs", "search: bfs (breadth-first), dfs (depth-first) or walk (random)")
	r.Flags.StringVar(&opts.fault, "fault", "", "fault planted into the cores, to see it found: "+strings.Join(modelcheck.FaultNames(), ", "))
	r.Flags.StringVar(&opts.replayPath, "replay", "", "file with a run to replay, in place of a search")
	r.Flags.StringVar(&opts.onlyEvents, "only", "", "events to use, by the first words of their names, by comma; all when empty")
	r.Flags.BoolVar(&opts.startEmpty, "empty", false, "start with empty cores in place of a cluster that serves")
	r.Flags.BoolVar(&opts.fineGrained, "fine", false, "make each message, disk write and tick an event of its own")
	r.MustParse(args)
	return opts
}

func (opts options) config() *modelcheck.Config {
	c := &modelcheck.Config{
		Voters:      int(opts.voters),
		MaxLosses:   int(opts.losses),
		Spares:      int(opts.spares),
		Zones:       int(opts.zones),
		StartEmpty:  opts.startEmpty,
		FineGrained: opts.fineGrained,
		Limits:      modelcheck.DefaultLimits(),
		Fault:       opts.fault,
	}
	if opts.onlyEvents != "" {
		c.OnlyEvents = strings.Split(opts.onlyEvents, ",")
	}
	return c
}

func (opts options) bounds() modelcheck.Bounds {
	bounds := modelcheck.Bounds{
		Depth:         int(opts.depth),
		States:        int(opts.states),
		Seed:          opts.seed,
		ProgressEvery: int(opts.progressEvery),
	}
	if opts.timeLimitSeconds > 0 {
		end := time.Now().Add(time.Duration(opts.timeLimitSeconds) * time.Second)
		bounds.Stop = func() bool { return time.Now().After(end) }
	}
	return bounds
}

func (opts options) run() error {
	if err := modelcheck.CheckFaultName(opts.fault); err != nil {
		return err
	}
	if opts.replayPath != "" {
		return opts.replay()
	}
	return opts.search()
}

// search explores states and prints statistics; it returns a violation as an error.
func (opts options) search() error {
	run, known := searches[opts.mode]
	if !known {
		return fmt.Errorf("unknown mode %q: give -mode bfs, dfs or walk", opts.mode)
	}
	startedAt := time.Now()
	result := run(opts.config(), opts.bounds())
	fmt.Printf("%d voters, %s: %d states, %d events, depth %d, complete to the depth: %t, %s\n", opts.voters, opts.mode,
		result.States, result.Events, result.Depth, result.Complete, time.Since(startedAt).Round(time.Millisecond))
	fmt.Printf("reached: %d documents confirmed, term %d, %d disks wiped, %d new voters\n",
		result.Coverage.Confirmed, result.Coverage.Term, result.Coverage.Wiped, result.Coverage.Voters)
	if result.Violation == nil {
		return nil
	}
	return fmt.Errorf("broken: %w\n# a run of %d events that shows it\n%s", result.Violation, len(result.Trace), result.Trace)
}

// replay runs the events of a file and prints the resulting status; it returns a violation as an error.
func (opts options) replay() error {
	text, err := os.ReadFile(opts.replayPath)
	if err != nil {
		return err
	}
	trace, err := modelcheck.ParseTrace(string(text))
	if err != nil {
		return err
	}
	world := modelcheck.Replay(opts.config(), trace, true)
	for _, line := range world.StatusLines() {
		fmt.Println(line)
	}
	if world.Violation() != nil {
		return fmt.Errorf("broken: %w", world.Violation())
	}
	fmt.Printf("%d events, nothing is broken\n", len(trace))
	return nil
}
