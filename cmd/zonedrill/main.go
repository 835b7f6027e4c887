// Program zonedrill is the zone failure drill (DESIGN §9): it makes a zone of a running deployment
// fail under load, restores it, and checks every guarantee. It must be run at the root of the
// repository. The exit code is 1 if a guarantee was violated or the run failed; the files are then
// kept.
//
//	zonedrill -way wipe -zone zone-2
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"tuliprudder/cmd/internal/localrun"
	"tuliprudder/internal/settings"
	"tuliprudder/test/faultinject"
	"tuliprudder/test/localfleet"
)

const readyTimeout = 60 * time.Second

// faultsByFailureMode maps each value of -way to a fault of package faultinject.
var faultsByFailureMode = map[string]string{"kill": "zone", "cut": "zone-cut", "wipe": "zone-wipe"}

// drill holds the settings of one drill.
type drill struct {
	faultinject.Settings
	failureMode   string
	injectedFault string // fault built into the stores; "" for none
}

func main() {
	d := readDrill(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := d.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "zonedrill:", err)
		os.Exit(1)
	}
}

func readDrill(args []string) drill {
	var d drill
	r := settings.New("zonedrill")
	d.Flags(r)
	r.Flags.StringVar(&d.failureMode, "way", "kill", "how the zone fails: kill, cut (network partition; its daemons keep running) or wipe (killed, and its stores lose their disks)")
	r.Flags.StringVar(&d.injectedFault, "planted", "", "build the stores with this fault, to verify that the drill detects it: one-disk or early")
	r.Flags.StringVar(&d.Zone, "zone", "zone-1", "the zone that fails")
	r.AddCheck(func() {
		if faultsByFailureMode[d.failureMode] == "" {
			r.Faultf("-way %q: unknown failure mode; give kill, cut or wipe", d.failureMode)
		}
	})
	r.MustParse(args)
	d.Fault = faultsByFailureMode[d.failureMode]
	return d
}

func (d drill) run(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "zonedrill-")
	if err != nil {
		return err
	}
	buildArgs := d.BuildArgs()
	if d.injectedFault != "" {
		buildArgs = append(buildArgs, "-tags", "planted")
		os.Setenv("TULIPRUDDER_PLANT", d.injectedFault)
	}
	fleet, _, err := localrun.Start(ctx, d.Settings, folder, readyTimeout, buildArgs...)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	daemons := daemonsInZone(fleet, d.Zone)
	if len(daemons) == 0 {
		return fmt.Errorf("no daemon is in %s; the zones are zone-1 to zone-%d", d.Zone, d.Zones)
	}
	fmt.Printf("%s: %s fails (%s): %v\n", d.Name, d.Zone, d.failureMode, daemons)
	verdict, err := faultinject.Run(ctx, fleet, d.Settings)
	if err != nil {
		return err
	}
	fmt.Print(verdict)
	if verdict.IsBroken() {
		fmt.Println("evidence (logs, starts, data):", fleet.Dir)
		return localrun.ErrGuaranteeBroken
	}
	if !d.KeepFiles {
		os.RemoveAll(folder)
	}
	return nil
}

// daemonsInZone returns the names of a zone's daemons, sorted.
func daemonsInZone(fleet *localfleet.Fleet, zone string) []string {
	var names []string
	for _, name := range fleet.Names("") {
		if fleet.Get(name).Zone == zone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
