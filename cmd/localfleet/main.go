// Program localfleet runs a whole deployment on this machine with callers, may cause a
// fault meanwhile, and prints for each guarantee whether it held (DESIGN §11). It is run
// at the root of the repository and ends with 1 when a guarantee was broken.
//
//	localfleet -fault kill-writer
//	localfleet -stay          # a deployment to try things out on, until interrupted
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tuliprudder/cmd/internal/localrun"
	"tuliprudder/internal/settings"
	"tuliprudder/test/faultinject"
	"tuliprudder/test/localfleet"
)

const readyTimeout = 40 * time.Second

func main() {
	var cfg faultinject.Settings
	r := settings.New("localfleet")
	cfg.Flags(r)
	stay := r.Flags.Bool("stay", false, "start, put the configuration, and run until interrupted; no callers")
	r.MustParse(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, cfg, *stay); err != nil {
		fmt.Fprintln(os.Stderr, "localfleet:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cfg faultinject.Settings, stay bool) error {
	folder, err := os.MkdirTemp("", "localfleet-")
	if err != nil {
		return err
	}
	if cfg.KeepFiles {
		fmt.Println("files:", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	fleet, readyAfter, err := localrun.Start(ctx, cfg, folder, readyTimeout, cfg.BuildArgs()...)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	fmt.Printf("%s: ready %.1f s after the start\n", cfg.Name, readyAfter.Seconds())
	if stay {
		printAddresses(fleet)
		<-ctx.Done()
		return nil
	}
	verdict, err := faultinject.Run(ctx, fleet, cfg)
	if err != nil {
		return err
	}
	fmt.Print(verdict)
	fmt.Print(faultinject.CounterSummary(fleet))
	if verdict.IsBroken() {
		return localrun.ErrGuaranteeBroken
	}
	return nil
}

// printAddresses prints the HTTP address of each process.
func printAddresses(fleet *localfleet.Fleet) {
	for _, kind := range []string{"core", "store", "edge", "modelserver"} {
		for _, name := range fleet.Names(kind) {
			fmt.Printf("  %-10s http %s\n", name, fleet.Get(name).HTTP)
		}
	}
}
