// Program localfleet runs a whole deployment on this machine, serves callers, may
// cause a failure on the way, and prints a verdict promise by promise (DESIGN
// §11).
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"tuliprudder/kernel/settings"
	"tuliprudder/proof/faultinject"
	"tuliprudder/proof/localfleet"
)

func main() {
	var set faultinject.Settings
	r := settings.New("localfleet")
	set.Flags(r)
	stay := r.Flags.Bool("stay", false, "boot, put the plan, and stay until interrupted")
	r.MustParse(os.Args[1:])
	if err := run(set, *stay); err != nil {
		fmt.Fprintln(os.Stderr, "localfleet:", err)
		os.Exit(1)
	}
}

func run(set faultinject.Settings, stay bool) error {
	dir, err := os.MkdirTemp("", "localfleet-")
	if err != nil {
		return err
	}
	if set.Keep {
		fmt.Println("files:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	bin := filepath.Join(dir, "bin")
	if err := localfleet.Build(root, bin, set.BuildArgs()...); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := localfleet.New(set.Spec(), filepath.Join(dir, "fleet"), bin)
	defer c.Stop()
	began := time.Now()
	if err := c.Start(); err != nil {
		return err
	}
	if err := c.Ready(40 * time.Second); err != nil {
		return err
	}
	fmt.Printf("%s: ready %.1f s after boot\n", set.Name, time.Since(began).Seconds())
	if stay {
		for _, kind := range []string{"core", "store", "edge", "modelserver"} {
			for _, name := range c.Names(kind) {
				fmt.Printf("  %-10s http %s\n", name, c.Get(name).HTTP)
			}
		}
		<-ctx.Done()
		return nil
	}
	verdict, err := faultinject.Run(ctx, c, set)
	if err != nil {
		return err
	}
	fmt.Print(verdict)
	fmt.Print(faultinject.Figures(c))
	if verdict.Broken() {
		return fmt.Errorf("a promise was broken")
	}
	return nil
}
