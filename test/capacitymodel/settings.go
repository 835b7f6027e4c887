// Package capacitymodel measures what control costs at sizes that no test machine has room
// for (docs/CAPACITY.md): the decision machines of many daemons run in one process under
// virtual time, and exchange real messages by the real codec. Model servers are figures
// without an engine. Edges beyond a number are simulated: they have their gossip and poll
// their servers, but have no queue and no quotas.
//
// Run takes Settings and returns a Result, one record of the tables that RenderPage reads. One
// run at a time in a process: it charges the processor time of its thread to the daemons.
package capacitymodel

// Settings of one run.
type Settings struct {
	Daemons, Stores, Cores        int64
	FullEdges                     int64 // edges with their machine; the others are simulated
	Servers                       int64
	BusyPercent                   int64 // share of servers at least half full, in percent
	LateServers                   int64 // 1: the servers are listed once the fleet is stable
	Zones, Regions, Shards        int64
	ZoneDelayUS, RegionDelayUS    int64 // one way between zones, between regions, in µs
	WarmupSeconds, CountedSeconds int64
	ChangesPerHour                int64 // of the configuration
	Tenants, Routes               int64 // of the configuration
	ItemsPerSecond                int64 // of batches
	BatchItems                    int64 // of one batch
	RestartsPerHour               int64 // of daemons
	RegionPartitionSeconds        int64 // how long a region is partitioned; 0: none is
	ZonePartitionSeconds          int64 // the same of a zone
	MaxMemoryMiB                  int64 // of this process
	Seed                          int64
}

// Edges is how many of the daemons are edges.
func (s Settings) Edges() int64 { return s.Daemons - s.Stores - s.Cores }
