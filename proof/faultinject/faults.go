// Package faultinject takes a running fleet through a failure while callers call, and
// scorers (DESIGN §9).
package faultinject

import (
	"fmt"
	"io"
	"sort"
	"time"
)

// faults are the failures that can be caused, by name.
var faults = map[string]func(s *scenario) error{
	"none":         func(*scenario) error { return nil },
	"kill-writer":  func(s *scenario) error { return s.crash(s.busiest, 4*time.Second, false) },
	"wipe-writer":  func(s *scenario) error { return s.crash(s.busiest, 4*time.Second, true) },
	"freeze-store": func(s *scenario) error { return s.freeze(s.busiest, 9*time.Second) },
	"kill-primary": func(s *scenario) error { return s.crash(s.primary, 4*time.Second, false) },
	"wipe-primary": func(s *scenario) error { return s.crash(s.primary, 4*time.Second, true) },
	"freeze-core":  func(s *scenario) error { return s.freeze(s.primary, 9*time.Second) },
	"restart-edge": func(s *scenario) error { return s.crash(s.edge, time.Second, false) },
	"freeze-edge":  func(s *scenario) error { return s.freeze(s.edge, 6*time.Second) },
	"drain-edge":   func(s *scenario) error { return s.drain(s.edge) },
	"drain-store":  func(s *scenario) error { return s.drain(s.busiest) },
	"swap-store":   func(s *scenario) error { return s.replace(s.busiest) },
	"swap-core":    func(s *scenario) error { return s.replace(s.primary) },
	"cut-store":    func(s *scenario) error { return s.cut(s.busiest, 6*time.Second) },
	"cut-core":     func(s *scenario) error { return s.cut(s.primary, 6*time.Second) },
	"dark-server":  func(s *scenario) error { return s.server("dark", 6*time.Second) },
	"cut-server":   func(s *scenario) error { return s.server("cut", 4*time.Second) },
	"kill-server":  func(s *scenario) error { return s.crash(s.anyServer, 3*time.Second, false) },
	"leave-server": func(s *scenario) error { return s.serverLeaves() },
	"all-cores":    func(s *scenario) error { return s.allCores() },
	"all-stores":   func(s *scenario) error { return s.allStores() },
	"zone":         func(s *scenario) error { return s.zone(s.set.zone(), 8*time.Second) },
	"zone-cut":     func(s *scenario) error { return s.cutZone(s.set.zone(), 8*time.Second) },
	"zone-wipe":    func(s *scenario) error { return s.wipeZone(s.set.zone(), 4*time.Second) },
	"add-store":    func(s *scenario) error { return s.add() },
	"retire-store": func(s *scenario) error { return s.retire() },
	"exchange":     func(s *scenario) error { return s.replaceAllCores() },
	"roll-servers": func(s *scenario) error { return s.rollServers(4) },
	"stall-disk":   func(s *scenario) error { return s.stallDisk(10 * time.Second) },
	"roll-daemons": func(s *scenario) error { return s.rollDaemons() },
	"surge-kill":   func(s *scenario) error { return s.surgeAndLoss() },
	"surge":        func(s *scenario) error { return s.surge() },
}

// Faults lists the names.
func Faults() []string {
	out := make([]string, 0, len(faults))
	for name := range faults {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// formerFaults has the names of the release before; they are read for one release,
// with a warning.
var formerFaults = map[string]string{"flock": "surge", "flock-kill": "surge-kill"}

// currentFault is a failure's name as it is now.
func currentFault(name string, warnings io.Writer) string {
	current, former := formerFaults[name]
	if !former {
		return name
	}
	fmt.Fprintf(warnings, "-fault %s is now %s; the old name is read for one release\n", name, current)
	return current
}
