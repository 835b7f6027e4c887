// Program loadgen sends load from simulated callers to a running deployment and checks the responses
// (DESIGN §9). It prints for each guarantee whether it held. The exit code is 1 if a guarantee was
// violated or the run failed.
//
//	loadgen -at 127.0.0.1:7201,127.0.0.1:7202 -starts server-1.starts,server-2.starts
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"tuliprudder/internal/settings"
	"tuliprudder/test/faultinject"
	"tuliprudder/test/verify"
)

// options are the program's settings.
type options struct {
	load      faultinject.Settings
	edges     []string
	startLogs []string
}

func main() {
	opts := readOptions(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	broken, err := run(ctx, opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
	}
	if broken || err != nil {
		os.Exit(1)
	}
}

func readOptions(args []string) options {
	var opts options
	r := settings.New("loadgen")
	opts.load.Flags(r)
	edges := r.Flags.String("at", "", "HTTP addresses of edges, IP:port, comma-separated")
	startLogs := r.Flags.String("starts", "", "start logs of the model servers (modelserver -starts), comma-separated")
	r.AddCheck(func() {
		opts.edges = strings.Split(*edges, ",")
		opts.startLogs = strings.Split(*startLogs, ",")
		for _, edge := range opts.edges {
			r.CheckAddress("at", edge)
		}
	})
	r.MustParse(args)
	return opts
}

// run sends the load and reports whether a guarantee was violated.
func run(ctx context.Context, opts options) (broken bool, err error) {
	workload := opts.load.Workload(func() []string { return opts.edges })
	workload.Run(ctx)
	starts, err := verify.ReadStarts(opts.startLogs)
	if err != nil {
		return false, err
	}
	verdict := workload.Verdict(starts, nil)
	fmt.Print(verdict)
	return verdict.IsBroken(), nil
}
