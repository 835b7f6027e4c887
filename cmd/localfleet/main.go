// Program localfleet runs a complete deployment on the local machine under load, optionally injects
// a fault, and prints for each guarantee whether it held (DESIGN §11). It must be run at the root of
// the repository. The exit code is 1 if a guarantee was violated or the run failed.
//
//	localfleet -fault kill-writer
//	localfleet -stay          # a deployment without load, until interrupted
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
	stay := r.Flags.Bool("stay", false, "start the deployment, put the configuration, and run until interrupted, without load")
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
