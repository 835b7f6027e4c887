package faultinject

import (
	"os"
	"strings"
	"time"

	"tuliprudder/kernel/settings"
	"tuliprudder/proof/localfleet"
	"tuliprudder/proof/verify"
)

// Settings of a run; a deployment's file gives most.
type Settings struct {
	Name, Plan             string
	Zones, Edges, Stores   int64
	Cores, Servers, Items  int64
	Slots, Pieces, PieceUS int64
	LiveKeys, BundleKey    string
	BundleRoute            string
	Workers, Bundles       int64
	PaceUS, Seed           int64
	Fault                  string
	Race, Keep             bool
	Zone                   string
	Patience               time.Duration // to read a bundle whole; 0: the callers' own
}

// BuildArgs are the compiler's words for the build.
func (s *Settings) BuildArgs() []string {
	var words []string
	if s.Race {
		words = append(words, "-race")
	}
	if s.Fault == "stall-disk" {
		// A disk can't be stalled from outside: these stores can hold writes back.
		os.Setenv("TULIPRUDDER_PLANT", "stall")
		words = append(words, "-tags", "planted")
	}
	return words
}

// Flags hangs the settings on a reader.
func (s *Settings) Flags(r *settings.Reader) {
	r.Flags.StringVar(&s.Name, "name", "fleet", "name of the deployment")
	r.Flags.StringVar(&s.Plan, "plan", "deploy/ghent.plan.json", "the plan to put")
	r.Int(&s.Zones, "zones", 3, 2, 16, "zones")
	r.Int(&s.Edges, "edges", 3, 1, 64, "edge daemons")
	r.Int(&s.Stores, "stores", 3, 2, 32, "store daemons")
	r.Int(&s.Cores, "cores", 3, 3, 3, "core daemons")
	r.Int(&s.Servers, "servers", 3, 1, 64, "model servers")
	r.Int(&s.Items, "items", 20, 1, 1000, "items of a bundle")
	r.Int(&s.Slots, "server-slots", 8, 1, 1000, "slots of a server")
	r.Int(&s.Pieces, "pieces", 6, 1, 64, "pieces of an answer")
	r.Int(&s.PieceUS, "piece-us", 4000, 0, 1_000_000, "time for a piece")
	r.Flags.StringVar(&s.LiveKeys, "live-keys", "key-buyers,key-sellers", "keys of live callers")
	r.Flags.StringVar(&s.BundleKey, "bundle-key", "key-notes", "key of the caller of bundles")
	r.Flags.StringVar(&s.BundleRoute, "bundle-route", "seller-notes", "route of bundles")
	r.Int(&s.Workers, "workers", 12, 0, 1000, "live callers at once")
	r.Int(&s.Bundles, "bundles", 40, 0, 100_000, "bundles to hand in")
	r.Int(&s.PaceUS, "pace-us", 250_000, 0, 60_000_000, "between two bundles")
	r.Int(&s.Seed, "seed", 1, 0, 1<<40, "seed of the callers' choices")
	r.Flags.StringVar(&s.Fault, "fault", "none", "failure to cause: "+strings.Join(Faults(), ", "))
	r.Flags.BoolVar(&s.Race, "race", false, "build with the race detector")
	r.Flags.BoolVar(&s.Keep, "keep", false, "keep the files and say where they are")
	r.Check(func() {
		s.Fault = currentFault(s.Fault, os.Stderr)
		if _, ok := faults[s.Fault]; !ok {
			r.Fault("-fault %q: no such failure; one of %s", s.Fault, strings.Join(Faults(), ", "))
		}
	})
}

// Spec is the fleet the settings describe.
func (s *Settings) Spec() localfleet.Spec {
	return localfleet.Spec{Name: s.Name, Zones: int(s.Zones), Edges: int(s.Edges), Stores: int(s.Stores), Cores: int(s.Cores), Servers: int(s.Servers),
		Items: int(s.Items), Plan: s.Plan, Pieces: int(s.Pieces), PieceUS: s.PieceUS, Slots: int(s.Slots)}
}

// Workload is the callers the settings describe.
func (s *Settings) Workload(edges func() []string) *verify.Workload {
	return &verify.Workload{Edges: edges, Seed: s.Seed, LiveKeys: strings.Split(s.LiveKeys, ","), BundleKey: s.BundleKey, BundleRoute: s.BundleRoute,
		Items: int(s.Items), Pieces: int(s.Pieces), LiveWorkers: int(s.Workers), Bundles: int(s.Bundles), Pace: time.Duration(s.PaceUS) * time.Microsecond, Patience: s.Patience}
}

func (s *Settings) zone() string {
	if s.Zone != "" {
		return s.Zone
	}
	return "zone-1"
}
