// Program hunt runs a plan of fault-injection days over site files and prints the table
// of the results. The bench and the tool that writes days are given by path; nothing but
// the bench's journal entries is written into the repository, at whose root it is run.
//
//	hunt -bench PATH -day-tool PATH -out FOLDER [-hunt-days N] [-focus all] [-focus-days N] [-long-days N] [-long-seconds S] [-quota-days N] [-exclusive-days N] [-seed S] [-jobs J] SITE...
//
// Exit status: 0 when no day failed, 1 when one did, 2 on bad arguments.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"tuliprudder/test/hunt"
)

const (
	statusFailed       = 1
	statusBadArguments = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the plan that the arguments describe and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	plan, err := parsePlan(args, stderr)
	if err != nil {
		return statusBadArguments // the flag package has named it
	}
	if faults := plan.Faults(); len(faults) > 0 {
		for _, fault := range faults {
			fmt.Fprintf(stderr, "hunt: %s\n", fault)
		}
		return statusBadArguments
	}
	var table hunt.Table
	plan.Run(ctx, func(result hunt.Result) {
		table.Add(result)
		printDays(stdout, result)
	})
	table.Write(stdout)
	if table.Failed() {
		return statusFailed
	}
	return 0
}

func parsePlan(args []string, stderr io.Writer) (hunt.Plan, error) {
	plan := hunt.Plan{Repository: "."}
	var focuses string
	flags := flag.NewFlagSet("hunt", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&plan.Bench, "bench", "", "path of the bench (a program)")
	flags.StringVar(&plan.DayTool, "day-tool", "", "path of the program that writes and runs days with a focus")
	flags.StringVar(&plan.OutputFolder, "out", "", "scratch folder for days and reports, outside the repository")
	flags.StringVar(&focuses, "focus", "all", "kinds of faults to focus on: all, or names by comma")
	flags.IntVar(&plan.HuntDays, "hunt-days", 0, "days that the bench draws at random, on each site")
	flags.IntVar(&plan.FocusDays, "focus-days", 0, "days with each focus, on each site")
	flags.IntVar(&plan.LongDays, "long-days", 0, "longer days with each focus, on a copy of each site")
	flags.IntVar(&plan.LongSeconds, "long-seconds", 300, "seconds of traffic of a longer day")
	flags.IntVar(&plan.QuotaDays, "quota-days", 0, "days of each kind that press against the quota, on each site")
	flags.IntVar(&plan.ExclusiveDays, "exclusive-days", 0, "days of each kind on which keys change and acts are performed, on each site")
	flags.IntVar(&plan.Seed, "seed", 1, "seed of the first day with each focus; the next days count up")
	flags.IntVar(&plan.Jobs, "jobs", 2, "days that run at once")
	if err := flags.Parse(args); err != nil {
		return plan, err
	}
	plan.Focuses = hunt.ParseFocuses(focuses)
	plan.Sites = flags.Args()
	return plan, nil
}

// printDays prints a line for each day of a result.
func printDays(stdout io.Writer, result hunt.Result) {
	for _, day := range result.Days {
		fmt.Fprintf(stdout, "%s %s %s %.3f %s\n", result.Site, result.Label, day.Name, day.Value, describeOutcome(day))
	}
}

func describeOutcome(day hunt.Day) string {
	switch {
	case day.Abandoned:
		return "given up"
	case day.BrokenRules != "":
		return "BROKE " + day.BrokenRules
	case len(day.GateFailures) > 0:
		return fmt.Sprintf("short of the gate: %s", day.GateFailures)
	}
	return "ok"
}
