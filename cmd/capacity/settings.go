package main

import (
	"tuliprudder/internal/settings"
	"tuliprudder/test/capacitymodel"
)

// options are the program's settings.
type options struct {
	capacitymodel.Settings
	seedCount, firstSeed     int64
	tablePath, kindTablePath string // CSV files
}

const (
	largeCluster    = 100 // daemons from which on a cluster has five cores by default
	coresOfSmall    = 3
	coresOfLarge    = 5
	minStores       = 3
	recoverySeconds = 8 // virtual seconds that have to follow partitions within a run
	allEdges        = -1
)

// newSettingsReader knows the settings and checks them together.
func newSettingsReader() (*settings.Reader, *options) {
	opts := &options{}
	r := settings.New("capacity")
	opts.addClusterSettings(r)
	opts.addLoadSettings(r)
	opts.addFaultSettings(r)
	r.Int(&opts.MaxMemoryMiB, "memory", 4000, 64, 1<<30, "MiB of memory that this process may take")
	r.Int(&opts.firstSeed, "first", 1, 0, 1<<40, "first seed")
	r.Int(&opts.seedCount, "seeds", 1, 1, 1000, "seeds, with one run each")
	r.Flags.StringVar(&opts.tablePath, "out", "", "CSV file that the runs are appended to; standard output when empty")
	r.Flags.StringVar(&opts.kindTablePath, "kinds", "", "CSV file that the messages of each role, by kind, are appended to; none when empty")
	r.AddCheck(func() {
		opts.setDefaults()
		opts.check(r)
	})
	return r, opts
}

func (o *options) addClusterSettings(r *settings.Reader) {
	s := &o.Settings
	r.Int(&s.Daemons, "daemons", 30, 5, 1000, "daemons in all: cores and stores, and edges for the rest")
	r.Int(&s.Stores, "stores", 0, 0, 500, "stores; 0: two in seven of the daemons, at least three")
	r.Int(&s.Cores, "cores", 0, 0, 5, "cores; 0: three, from 100 daemons on five")
	r.Int(&s.FullEdges, "whole-edges", allEdges, allEdges, 1000, "edges that run their complete state machine, the others only its membership; -1: all")
	r.Int(&s.Servers, "servers", 60, 1, 10_000, "model servers")
	r.Int(&s.BusyPercent, "busy", 0, 0, 100, "percent of the servers that are at least half full")
	r.Int(&s.LateServers, "late-servers", 0, 0, 1, "1: the servers are listed once the cluster is stable, which saves a large run much time")
	r.Int(&s.Zones, "zones", 11, 2, 64, "zones")
	r.Int(&s.Regions, "regions", 3, 1, 16, "regions")
	r.Int(&s.Shards, "slots", 24, 1, 4096, "shards of batches")
	r.Int(&s.ZoneDelayUS, "zone-delay", 700, 0, 1_000_000, "microseconds one way between zones of a region, added to the delay within a zone")
	r.Int(&s.RegionDelayUS, "region-delay", 35_000, 0, 1_000_000, "microseconds one way between regions, added likewise")
}

func (o *options) addLoadSettings(r *settings.Reader) {
	s := &o.Settings
	r.Int(&s.WarmupSeconds, "warm", 3, 1, 600, "virtual seconds between a stable cluster and the measurement")
	r.Int(&s.CountedSeconds, "seconds", 20, 1, 86_400, "virtual seconds that are measured")
	r.Int(&s.ChangesPerHour, "changes", 1042, 0, 1_000_000, "changes of the configuration, an hour")
	r.Int(&s.Tenants, "customers", 450, 1, 10_000, "tenants in the configuration")
	r.Int(&s.Routes, "routes", 60, 3, 20_000, "routes in the configuration")
	r.Int(&s.ItemsPerSecond, "items", 0, 0, 1_000_000, "items of batches, a second; above 0 every edge has to be complete")
	r.Int(&s.BatchItems, "bundle-items", 200, 1, 100_000, "items in a batch")
}

func (o *options) addFaultSettings(r *settings.Reader) {
	s := &o.Settings
	r.Int(&s.RestartsPerHour, "restarts", 0, 0, 1_000_000, "daemons that are stopped and started again, an hour")
	r.Int(&s.RegionPartitionSeconds, "cut-region", 0, 0, 86_400, "virtual seconds for which a region is partitioned from the others")
	r.Int(&s.ZonePartitionSeconds, "cut-zone", 0, 0, 86_400, "virtual seconds for which a zone is partitioned from the others")
}

// setDefaults gives the numbers that were left open.
func (o *options) setDefaults() {
	s := &o.Settings
	if s.Cores == 0 {
		s.Cores = coresOfSmall
		if s.Daemons >= largeCluster {
			s.Cores = coresOfLarge
		}
	}
	if s.Stores == 0 {
		s.Stores = max(minStores, s.Daemons*2/7)
	}
	if s.FullEdges < 0 || s.FullEdges > s.Edges() {
		s.FullEdges = s.Edges()
	}
}

// check checks the settings together.
func (o *options) check(r *settings.Reader) {
	s := &o.Settings
	if s.Cores != coresOfSmall && s.Cores != coresOfLarge {
		r.Faultf("-cores %d: give 3 or 5", s.Cores)
	}
	if s.Edges() < 1 {
		r.Faultf("-daemons %d leaves no edge beside %d cores and %d stores; give more daemons or fewer -stores", s.Daemons, s.Cores, s.Stores)
		return
	}
	if s.Regions > s.Zones {
		r.Faultf("-regions %d is more than -zones %d; give each region a zone at least", s.Regions, s.Zones)
	}
	if s.ItemsPerSecond > 0 && s.FullEdges < s.Edges() {
		r.Faultf("-items needs complete edges, which hold the tenants' quotas; leave -whole-edges out")
	}
	if limit := capacitymodel.MaxMemoryMiB(); s.MaxMemoryMiB >= limit {
		r.Faultf("-memory %d: not below half of this machine's memory; give at most %d", s.MaxMemoryMiB, limit-1)
	}
	o.checkPartitions(r)
}

func (o *options) checkPartitions(r *settings.Reader) {
	s := &o.Settings
	if s.RegionPartitionSeconds > 0 && s.Regions < 2 {
		r.Faultf("-cut-region needs two regions at least; give -regions 2 or more")
	}
	partitions := s.RegionPartitionSeconds + s.ZonePartitionSeconds
	if partitions > 0 && partitions+recoverySeconds > s.CountedSeconds {
		r.Faultf("-seconds %d does not hold the cuts; give at least %d", s.CountedSeconds, partitions+recoverySeconds)
	}
}
