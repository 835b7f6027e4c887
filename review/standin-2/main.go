// Command standin-2 runs the scripted cases of the second review: it starts the project's own
// programs as the deploy file does, with stand-ins of the platform, the model servers, the operator
// and the clients, and judges what these have seen.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitPassed = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds the duration of a case, with time to end its processes.
const caseLimit = 110 * time.Second

// run is one play of a case.
type run struct {
	context.Context
	record    *record
	fleet     *fleet
	list      *instanceList
	withFault bool // false: everything but the disruption
}

// cases are the cases by name. Each returns an error if it could not be played; what breaks a rule
// is recorded.
var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns its exit code.
func play(scenario func(*run) error, recordFile string) int {
	record, err := openRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.logf("not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	r := &run{Context: ctx, record: record, fleet: newFleet(dir, record), list: newInstanceList(), withFault: os.Getenv("TROUBLE") != "0"}
	defer r.fleet.stop()
	defer r.list.stop()
	record.logf("disruption: %v", r.withFault)
	if err := scenario(r); err != nil {
		record.logf("not run: %v", err)
		return exitNotRun
	}
	if record.breaks() > 0 {
		record.logf("the rule was broken %d times", record.breaks())
		return exitBroken
	}
	record.logf("the rule held")
	return exitPassed
}
