// Program zonedrill is the zone drill (DESIGN §9): it takes a zone out of a running
// deployment while callers call, brings it back, and checks every guarantee. It is run at
// the root of the repository and ends with 1 when a guarantee was broken; its files then
// stay.
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

// faultsByFailureMode are the faults of package faultinject for each -way.
var faultsByFailureMode = map[string]string{"kill": "zone", "cut": "zone-cut", "wipe": "zone-wipe"}

// drill is one drill's settings.
type drill struct {
	faultinject.Settings
	failureMode   string
	injectedFault string // what the stores do wrong on purpose; "" nothing
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
	r.Flags.StringVar(&d.failureMode, "way", "kill", "how the zone fails: kill, cut (a partition; its daemons run on) or wipe (its stores lose their disks, too)")
	r.Flags.StringVar(&d.injectedFault, "planted", "", "build the stores with this fault, to see that the drill finds it: one-disk or early")
	r.Flags.StringVar(&d.Zone, "zone", "zone-1", "the zone that fails")
	r.AddCheck(func() {
		if faultsByFailureMode[d.failureMode] == "" {
			r.Faultf("-way %q: no such way; give kill, cut or wipe", d.failureMode)
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

// daemonsInZone are the names of a zone's daemons, sorted.
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
