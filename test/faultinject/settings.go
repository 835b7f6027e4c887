package faultinject

import (
	"os"
	"strings"
	"time"

	"tuliprudder/internal/settings"
	"tuliprudder/test/localfleet"
	"tuliprudder/test/verify"
)

// Settings of a run; a deployment's file gives most.
type Settings struct {
	Name, ConfigurationFile              string
	Zones, Edges, Stores, Cores, Servers int64
	ServerSlots                          int64  // concurrency slots of a server
	Items                                int64  // of a batch
	Chunks, ChunkUS                      int64  // of an answer, and the time to make one in µs
	LiveKeys                             string // API keys of live callers, with commas between
	BatchKey, BatchRoute                 string // of the caller of batches
	LiveWorkers, Batches                 int64
	BatchIntervalUS                      int64 // between two batches, in µs
	Seed                                 int64
	Fault                                string // one of FaultNames
	Zone                                 string // that a fault of a zone is for; "": zone-1
	Race, KeepFiles                      bool
	ReadTimeout                          time.Duration // to read a complete batch; 0: the callers' own
}

// BuildArgs are the arguments of go build.
func (s *Settings) BuildArgs() []string {
	var args []string
	if s.Race {
		args = append(args, "-race")
	}
	if s.Fault == "stall-disk" {
		// A disk can't be stalled from outside: stores of this build can delay their writes.
		os.Setenv("TULIPRUDDER_PLANT", "stall")
		args = append(args, "-tags", "planted")
	}
	return args
}

// Flags defines the flags of the settings, and checks them.
func (s *Settings) Flags(r *settings.Reader) {
	r.Flags.StringVar(&s.Name, "name", "fleet", "name of the deployment")
	r.Flags.StringVar(&s.ConfigurationFile, "plan", "deploy/ghent.plan.json", "the plan to put")
	r.Int(&s.Zones, "zones", 3, 2, 16, "zones")
	r.Int(&s.Edges, "edges", 3, 1, 64, "edge daemons")
	r.Int(&s.Stores, "stores", 3, 2, 32, "store daemons")
	r.Int(&s.Cores, "cores", 3, 3, 3, "core daemons")
	r.Int(&s.Servers, "servers", 3, 1, 64, "model servers")
	r.Int(&s.Items, "items", 20, 1, 1000, "items of a bundle")
	r.Int(&s.ServerSlots, "server-slots", 8, 1, 1000, "slots of a server")
	r.Int(&s.Chunks, "pieces", 6, 1, 64, "pieces of an answer")
	r.Int(&s.ChunkUS, "piece-us", 4000, 0, 1_000_000, "time for a piece")
	r.Flags.StringVar(&s.LiveKeys, "live-keys", "key-buyers,key-sellers", "keys of live callers")
	r.Flags.StringVar(&s.BatchKey, "bundle-key", "key-notes", "key of the caller of bundles")
	r.Flags.StringVar(&s.BatchRoute, "bundle-route", "seller-notes", "route of bundles")
	r.Int(&s.LiveWorkers, "workers", 12, 0, 1000, "live callers at once")
	r.Int(&s.Batches, "bundles", 40, 0, 100_000, "bundles to hand in")
	r.Int(&s.BatchIntervalUS, "pace-us", 250_000, 0, 60_000_000, "between two bundles")
	r.Int(&s.Seed, "seed", 1, 0, 1<<40, "seed of the callers' choices")
	r.Flags.StringVar(&s.Fault, "fault", "none", "failure to cause: "+strings.Join(FaultNames(), ", "))
	r.Flags.BoolVar(&s.Race, "race", false, "build with the race detector")
	r.Flags.BoolVar(&s.KeepFiles, "keep", false, "keep the files and say where they are")
	r.AddCheck(func() {
		s.Fault = currentFaultName(s.Fault, os.Stderr)
		if _, ok := faultActions[s.Fault]; !ok {
			r.Faultf("-fault %q: no such failure; one of %s", s.Fault, strings.Join(FaultNames(), ", "))
		}
	})
}

// Spec is the fleet that the settings describe.
func (s *Settings) Spec() localfleet.Spec {
	return localfleet.Spec{
		Name:              s.Name,
		Zones:             int(s.Zones),
		Edges:             int(s.Edges),
		Stores:            int(s.Stores),
		Cores:             int(s.Cores),
		Servers:           int(s.Servers),
		Items:             int(s.Items),
		ConfigurationFile: s.ConfigurationFile,
		Chunks:            int(s.Chunks),
		ChunkUS:           s.ChunkUS,
		ServerSlots:       int(s.ServerSlots),
	}
}

// Workload is the callers that the settings describe.
func (s *Settings) Workload(edges func() []string) *verify.Workload {
	return &verify.Workload{
		Edges:         edges,
		Seed:          s.Seed,
		LiveKeys:      strings.Split(s.LiveKeys, ","),
		BatchKey:      s.BatchKey,
		BatchRoute:    s.BatchRoute,
		Items:         int(s.Items),
		Chunks:        int(s.Chunks),
		LiveWorkers:   int(s.LiveWorkers),
		Batches:       int(s.Batches),
		BatchInterval: time.Duration(s.BatchIntervalUS) * time.Microsecond,
		ReadTimeout:   s.ReadTimeout,
	}
}

// defaultFaultZone is the zone that faults of a zone are for where none is named.
const defaultFaultZone = "zone-1"

func (s *Settings) faultZone() string {
	if s.Zone != "" {
		return s.Zone
	}
	return defaultFaultZone
}
