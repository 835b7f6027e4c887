// Package faultinject injects a fault into a running fleet while callers use it, and returns the
// verdict on every guarantee (DESIGN §9). Faults are known by name; flags of cmd/localfleet and
// cmd/zonedrill give them, so the names stay. A fleet takes one Run at a time.
package faultinject

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// faultActions are the faults by name.
var faultActions = map[string]func(s *scenario) error{
	noFault:        func(*scenario) error { return nil },
	"kill-writer":  func(s *scenario) error { return s.crash(s.busiestStore, 4*time.Second, false) },
	"wipe-writer":  func(s *scenario) error { return s.crash(s.busiestStore, 4*time.Second, true) },
	"freeze-store": func(s *scenario) error { return s.pause(s.busiestStore, 9*time.Second) },
	"kill-primary": func(s *scenario) error { return s.crash(s.primary, 4*time.Second, false) },
	"wipe-primary": func(s *scenario) error { return s.crash(s.primary, 4*time.Second, true) },
	"freeze-core":  func(s *scenario) error { return s.pause(s.primary, 9*time.Second) },
	"restart-edge": func(s *scenario) error { return s.crash(s.firstEdge, time.Second, false) },
	"freeze-edge":  func(s *scenario) error { return s.pause(s.firstEdge, 6*time.Second) },
	"drain-edge":   func(s *scenario) error { return s.drain(s.firstEdge) },
	"drain-store":  func(s *scenario) error { return s.drain(s.busiestStore) },
	"swap-store":   func(s *scenario) error { return s.replace(s.busiestStore) },
	"swap-core":    func(s *scenario) error { return s.replace(s.primary) },
	"cut-store":    func(s *scenario) error { return s.partition(s.busiestStore, 6*time.Second) },
	"cut-core":     func(s *scenario) error { return s.partition(s.primary, 6*time.Second) },
	"dark-server":  func(s *scenario) error { return s.setServerFault("dark", 6*time.Second) },
	"cut-server":   func(s *scenario) error { return s.setServerFault("cut", 4*time.Second) },
	"kill-server":  func(s *scenario) error { return s.crash(s.firstServer, 3*time.Second, false) },
	"leave-server": func(s *scenario) error { return s.drainServer() },
	"all-cores":    func(s *scenario) error { return s.restartAllCores() },
	"all-stores":   func(s *scenario) error { return s.restartAllStores() },
	"zone":         func(s *scenario) error { return s.crashZone(s.settings.faultZone(), 8*time.Second) },
	"zone-cut":     func(s *scenario) error { return s.partitionZone(s.settings.faultZone(), 8*time.Second) },
	"zone-wipe":    func(s *scenario) error { return s.wipeZone(s.settings.faultZone(), 4*time.Second) },
	"add-store":    func(s *scenario) error { return s.addStore() },
	"retire-store": func(s *scenario) error { return s.retireStore() },
	"exchange":     func(s *scenario) error { return s.replaceAllCores() },
	"roll-servers": func(s *scenario) error { return s.rollingServerReplacement(4) },
	"stall-disk":   func(s *scenario) error { return s.stallDisk(10 * time.Second) },
	"roll-daemons": func(s *scenario) error { return s.rollingRestart() },
	"surge-kill":   func(s *scenario) error { return s.surgeWithEdgeCrashes() },
	"surge":        func(s *scenario) error { return s.surge() },
}

// FaultNames lists the names of the faults.
func FaultNames() []string {
	return slices.Sorted(maps.Keys(faultActions))
}

// formerFaultNames has the names of the release before; they are read for one release,
// with a warning.
var formerFaultNames = map[string]string{"flock": "surge", "flock-kill": "surge-kill"}

// currentFaultName is a fault's name as it is now; a former name is warned of.
func currentFaultName(name string, warnings io.Writer) string {
	current, former := formerFaultNames[name]
	if !former {
		return name
	}
	fmt.Fprintf(warnings, "-fault %s is now %s; the old name is read for one release\n", name, current)
	return current
}
