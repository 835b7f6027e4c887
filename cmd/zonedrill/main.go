// Program zonedrill is the zone drill (DESIGN §9): it takes a zone out of a
// running fleet while callers call, brings it back, and checks every promise. It
// ends with 1 on a breach.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"

	"tuliprudder/kernel/settings"
	"tuliprudder/proof/faultinject"
	"tuliprudder/proof/localfleet"
)

var ways = map[string]string{"kill": "zone", "cut": "zone-cut", "wipe": "zone-wipe"}

func main() {
	var set faultinject.Settings
	r := settings.New("zonedrill")
	set.Flags(r)
	way := r.Flags.String("way", "kill", "how the zone goes: kill, cut (its daemons live on) or wipe (its stores' disks too)")
	planted := r.Flags.String("planted", "", "build the stores with this fault, to see the drill catch it: one-disk or early")
	r.Flags.StringVar(&set.Zone, "zone", "zone-1", "the zone to take out")
	r.Check(func() {
		if ways[*way] == "" {
			r.Fault("-way %q: no such way; kill, cut or wipe", *way)
		}
	})
	r.MustParse(os.Args[1:])
	set.Fault = ways[*way]
	if err := run(set, *way, *planted); err != nil {
		fmt.Fprintln(os.Stderr, "zonedrill:", err)
		os.Exit(1)
	}
}

func run(set faultinject.Settings, way, planted string) error {
	dir, err := os.MkdirTemp("", "zonedrill-")
	if err != nil {
		return err
	}
	root, err := os.Getwd()
	if err != nil {
		return err
	}
	bin := filepath.Join(dir, "bin")
	words := set.BuildArgs()
	if planted != "" {
		words = append(words, "-tags", "planted")
		os.Setenv("TULIPRUDDER_PLANT", planted)
	}
	if err := localfleet.Build(root, bin, words...); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	c := localfleet.New(set.Spec(), filepath.Join(dir, "fleet"), bin)
	defer c.Stop()
	if err := c.Start(); err != nil {
		return err
	}
	if err := c.Ready(60 * time.Second); err != nil {
		return err
	}
	var out []string
	for _, name := range c.Names("") {
		if c.Get(name).Zone == set.Zone {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	if len(out) == 0 {
		return fmt.Errorf("no daemon is in %s; the zones are zone-1 to zone-%d", set.Zone, set.Zones)
	}
	fmt.Printf("%s: %s goes (%s): %v\n", set.Name, set.Zone, way, out)
	verdict, err := faultinject.Run(ctx, c, set)
	if err != nil {
		return err
	}
	fmt.Print(verdict)
	if verdict.Broken() {
		fmt.Println("evidence (logs, starts, data):", c.Dir)
		return fmt.Errorf("a promise was broken")
	}
	if !set.Keep {
		os.RemoveAll(dir)
	}
	return nil
}
