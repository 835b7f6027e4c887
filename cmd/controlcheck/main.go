// Program controlcheck runs the machine of the core daemons through all orders of a
// bounded set of events and checks the properties of the control plane. It prints the
// states visited and the depth reached; a violation ends it with the run that shows
// it, one event a line, for -replay.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"tuliprudder/kernel/settings"
	"tuliprudder/proof/explore"
)

type options struct {
	voters, zones, spares, losses, depth, states, seed, every, seconds int64
	mode, fault, replay, only                                          string
	empty, fine                                                        bool
}

func main() {
	var set options
	r := settings.New("controlcheck")
	r.Int(&set.voters, "voters", 3, 1, 9, "voters")
	r.Int(&set.zones, "zones", 0, 0, 9, "zones that the processes are spread over; 0: each has its own")
	r.Int(&set.spares, "spares", 0, 0, 4, "further processes, down at first, that ask for a vote")
	r.Int(&set.losses, "losses", -1, -1, 9, "members that may be lost for good at one time; -1: what the voters tolerate")
	r.Int(&set.depth, "depth", 5, 1, 1000, "events of one run")
	r.Int(&set.states, "states", 100_000, 1, 1<<40, "states visited at most")
	r.Int(&set.seed, "seed", 1, 0, 1<<40, "seed of depth-first and random runs")
	r.Int(&set.every, "every", 200, 0, 1<<40, "states between two that are tried for progress; 0: none")
	r.Int(&set.seconds, "seconds", 0, 0, 1<<30, "end the search after this long; 0: no such end")
	r.Flags.StringVar(&set.mode, "mode", "bfs", "bfs, dfs or walk")
	r.Flags.StringVar(&set.fault, "fault", "", "planted fault: "+strings.Join(explore.Faults(), ", "))
	r.Flags.StringVar(&set.replay, "replay", "", "file with a run to be replayed")
	r.Flags.StringVar(&set.only, "only", "", "first words of the events to be tried, with commas between; all when empty")
	r.Flags.BoolVar(&set.empty, "empty", false, "begin with empty cores instead of a fleet that serves")
	r.Flags.BoolVar(&set.fine, "fine", false, "each message, sync and clock event is an event of its own")
	r.MustParse(os.Args[1:])
	if err := set.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (set options) config() *explore.Config {
	c := &explore.Config{Voters: int(set.voters), Losses: int(set.losses), Spares: int(set.spares), Zones: int(set.zones), Empty: set.empty, Fine: set.fine, Limits: explore.DefaultLimits(), Fault: set.fault}
	if set.only != "" {
		c.Only = strings.Split(set.only, ",")
	}
	return c
}

func (set options) run() error {
	if err := explore.KnownFault(set.fault); err != nil {
		return err
	}
	if set.replay != "" {
		return set.replayFile()
	}
	bounds := explore.Bounds{Depth: int(set.depth), States: int(set.states), Seed: set.seed, Every: int(set.every)}
	if end := time.Now().Add(time.Duration(set.seconds) * time.Second); set.seconds > 0 {
		bounds.Stop = func() bool { return time.Now().After(end) }
	}
	search, known := map[string]func(*explore.Config, explore.Bounds) explore.Result{
		"bfs": explore.BreadthFirst, "dfs": explore.DepthFirst, "walk": explore.RandomWalk}[set.mode]
	if !known {
		return fmt.Errorf("no mode %q: give -mode bfs, dfs or walk", set.mode)
	}
	began := time.Now()
	result := search(set.config(), bounds)
	fmt.Printf("%d voters, %s: %d states, %d events, depth %d, complete to the depth: %t, %s\n", set.voters, set.mode,
		result.States, result.Steps, result.Depth, result.Complete, time.Since(began).Round(time.Millisecond))
	fmt.Printf("reached: %d documents confirmed, term %d, %d disks wiped, %d new voters\n",
		result.Reached.Confirmed, result.Reached.Term, result.Reached.Wiped, result.Reached.Voters)
	if result.Violation == nil {
		return nil
	}
	return fmt.Errorf("broken: %w\n# a run of %d events that shows it\n%s", result.Violation, len(result.Trace), result.Trace)
}

func (set options) replayFile() error {
	text, err := os.ReadFile(set.replay)
	if err != nil {
		return err
	}
	trace, err := explore.ParseTrace(string(text))
	if err != nil {
		return err
	}
	w := explore.Replay(set.config(), trace, true)
	for _, line := range w.Account() {
		fmt.Println(line)
	}
	if w.Violation() != nil {
		return fmt.Errorf("broken: %w", w.Violation())
	}
	fmt.Printf("%d events, nothing is broken\n", len(trace))
	return nil
}
