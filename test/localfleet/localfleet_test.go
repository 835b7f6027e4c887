package localfleet_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tuliprudder/test/faultinject"
	"tuliprudder/test/localfleet"
)

// testSettings returns the settings of a small fleet.
func testSettings(root, fault string) faultinject.Settings {
	return faultinject.Settings{
		Name:              fault,
		ConfigurationFile: filepath.Join(root, "deploy/ghent.plan.json"),
		Zones:             3,
		Edges:             2,
		Stores:            3,
		Cores:             3,
		Servers:           3,
		Items:             10,
		ServerSlots:       8,
		Chunks:            6,
		ChunkUS:           4000,
		LiveKeys:          "key-buyers,key-sellers",
		BatchKey:          "key-notes",
		BatchRoute:        "seller-notes",
		LiveWorkers:       4,
		Batches:           16,
		BatchIntervalUS:   400_000,
		Seed:              1,
		Fault:             fault,
	}
}

// build builds the programs and returns the root of the repository and the programs' directory.
func build(t *testing.T, args ...string) (root, bin string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	bin = filepath.Join(t.TempDir(), "bin")
	if err := localfleet.Build(root, bin, args...); err != nil {
		t.Fatal(err)
	}
	return root, bin
}

// startFleet starts a fleet, waits until it is ready to serve, and stops it when the test ends.
func startFleet(t *testing.T, set faultinject.Settings, bin string) *localfleet.Fleet {
	t.Helper()
	f := localfleet.New(set.Spec(), filepath.Join(t.TempDir(), "fleet"), bin)
	t.Cleanup(f.Stop)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	if err := f.MakeReady(90 * time.Second); err != nil {
		t.Fatal(err, logTails(f))
	}
	return f
}

// Runs a small fleet of processes under each fault, and checks every guarantee against the records
// of callers and servers. Time-bound guarantees are excluded, so that the result does not depend
// on the speed of the machine.
func TestGuaranteesHoldUnderEachFault(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	root, bin := build(t)
	checkInvalidSettingsRejected(t, bin)
	for _, fault := range []string{"kill-writer", "wipe-writer", "freeze-store", "kill-primary", "restart-edge", "leave-server", "retire-store"} {
		t.Run(fault, func(t *testing.T) {
			set := testSettings(root, fault)
			f := startFleet(t, set, bin)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
			defer cancel()
			verdict, err := faultinject.Run(ctx, f, set)
			if err != nil {
				t.Fatal(err, logTails(f))
			}
			if verdict.IsBrokenUntimed() {
				t.Fatalf("%s\n%s", verdict, logTails(f))
			}
			for _, guarantee := range verdict.Guarantees[:4] {
				if guarantee.Checked == 0 {
					t.Errorf("guarantee was not checked: %s", guarantee.Name)
				}
			}
		})
	}
}

// checkInvalidSettingsRejected starts daemons with invalid settings. Each must report every invalid
// setting and exit with code 2.
func checkInvalidSettingsRejected(t *testing.T, bin string) {
	t.Helper()
	for _, program := range []string{"edge", "store", "core"} {
		out, err := exec.Command(filepath.Join(bin, program), "-zone", "z", "-peer", "nowhere", "-colour", "red").CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), "colour") {
			t.Errorf("%s with an unknown setting: %v %s", program, err, out)
		}
		out, err = exec.Command(filepath.Join(bin, program), "-zone", "z", "-peer", "nowhere", "-seeds", "127.0.0.1:1").CombinedOutput()
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), "-peer \"nowhere\"") || !strings.Contains(string(out), "exactly three") {
			t.Errorf("%s with invalid addresses: %v %s", program, err, out)
		}
	}
}

// Guards against a zone-wipe check that can't fail. The build tag adds a deliberate bug: stores
// count one disk as two, and so lose accepted data when their zone is wiped. The run must detect
// the loss in at least one zone.
func TestZoneWipeDetectsPlantedDataLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	root, bin := build(t, "-tags", "planted")
	t.Setenv("TULIPRUDDER_PLANT", "one-disk")
	caught := false
	for zone := 1; zone <= 3 && !caught; zone++ {
		t.Run(fmt.Sprintf("zone-%d", zone), func(t *testing.T) {
			set := testSettings(root, "zone-wipe")
			set.Zone = fmt.Sprintf("zone-%d", zone)
			set.Edges = 3
			set.LiveWorkers = 2
			set.Batches = 24
			set.BatchIntervalUS = 150_000
			set.ReadTimeout = 12 * time.Second
			verdict, err := faultinject.Run(context.Background(), startFleet(t, set, bin), set)
			caught = err != nil || verdict.IsBrokenUntimed()
		})
	}
	if !caught {
		t.Fatal("the deliberate bug was not detected in any zone")
	}
}

// logTails returns the ends of all log files, for failure messages.
func logTails(f *localfleet.Fleet) string {
	out := ""
	for _, name := range f.Names("") {
		for _, suffix := range []string{".log", ".stderr"} {
			data, err := os.ReadFile(filepath.Join(f.Dir, name+suffix))
			if err != nil || len(data) == 0 {
				continue
			}
			if len(data) > 1500 {
				data = data[len(data)-1500:]
			}
			out += "== " + name + suffix + "\n" + string(data) + "\n"
		}
	}
	return out
}
