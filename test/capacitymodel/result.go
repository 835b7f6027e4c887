package capacitymodel

import (
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
)

// Figures are one role's, per daemon; rates are per second of virtual time.
type Figures struct {
	Daemons     float64 // how many
	Messages    float64 // sent a second
	Calls       float64 // calls a second that carried them
	Bytes       float64 // sent a second
	CPU         float64 // processor seconds a second
	HeapBytes   float64
	Connections float64 // open for messages
	LargestCall float64 // bytes
	Syncs       float64 // of the disk, a second
	Polls       float64 // of servers, a second
	Reconnects  float64 // connections closed for others, a second
	Lost        float64 // messages a second
	Kinds       map[string]*kindTally
}

// Result is one run's record.
type Result struct {
	Settings           Settings
	CountedSeconds     float64 // of virtual time
	StableAfterSeconds float64 // until every shard had its replicas and all updates were fresh; -1: never
	Roles              map[string]*Figures
	StopReason         string // why the run was stopped early; "": it was not

	// Ages of the daemons' updates, and the share of samples older than staleAfter.
	StaleShare, AgeMedianMS, AgeMaxMS float64

	ConfigurationBytes            int
	Changes, Rejected, Pending    int     // of the configuration: in force everywhere, rejected or unknown, neither yet
	ChangeMedianMS, ChangeMaxMS   float64 // until in force everywhere
	ItemsPerSecond                float64 // with a result
	BatchesRejectedShare          float64
	Suspected, Refuted            int64 // members by the gossip
	Restarts                      int
	RunCPUSeconds, CollectorShare float64 // of this process, and the garbage collector's share
}

// collect works out the figures. It ends the fleet: the heap of a role is what the collector
// frees when its daemons' state is dropped.
func (r *Result) collect(f *Fleet) {
	for _, role := range Roles {
		r.Roles[role] = f.roleFigures(role, r.CountedSeconds)
	}
	r.StaleShare = f.updateAges.staleShare()
	r.AgeMedianMS = float64(f.updateAges.quantile(0.5)) / 1000
	r.AgeMaxMS = float64(f.updateAges.quantile(1)) / 1000
	r.collectChanges(&f.configurations)
	if submitted, rejected := f.batches.counted(); submitted > 0 {
		r.BatchesRejectedShare = float64(rejected) / float64(submitted)
	}
	r.measureHeaps(f)
}

// roleFigures are the figures of a role from its tally.
func (f *Fleet) roleFigures(role string, seconds float64) *Figures {
	count, connections := 0.0, 0.0
	for _, d := range f.daemons {
		if f.roleOf(d) == role {
			count++
			connections += float64(len(d.connections))
		}
	}
	t := f.tallies[role]
	if count == 0 || t == nil || seconds == 0 {
		return &Figures{Daemons: count, Kinds: map[string]*kindTally{}}
	}
	rate := func(v int64) float64 { return float64(v) / count / seconds }
	return &Figures{
		Daemons:     count,
		Messages:    rate(t.messages),
		Calls:       rate(t.calls),
		Bytes:       rate(t.bytes),
		CPU:         rate(t.cpuNanos) / 1e9,
		Connections: connections / count,
		LargestCall: float64(t.largestCall),
		Syncs:       rate(t.syncs),
		Polls:       rate(t.polls),
		Reconnects:  rate(t.reconnects),
		Lost:        rate(t.lost),
		Kinds:       t.kinds,
	}
}

func (r *Result) collectChanges(changes *configurationChanges) {
	r.ConfigurationBytes = changes.bytes
	r.Changes = len(changes.durations)
	r.Rejected = changes.rejected
	r.Pending = len(changes.pending)
	if r.Changes > 0 {
		slices.Sort(changes.durations)
		r.ChangeMedianMS = float64(changes.durations[r.Changes/2]) / 1000
		r.ChangeMaxMS = float64(changes.durations[r.Changes-1]) / 1000
	}
}

// measureHeaps drops the state of the roles one after the other, and measures what each frees.
func (r *Result) measureHeaps(f *Fleet) {
	roles := map[*daemon]string{}
	for _, d := range f.daemons {
		roles[d] = f.roleOf(d)
		d.connections, d.requestConnections, d.pendingCalls = nil, nil, nil
		d.disk = disk{}
	}
	f.Clear()
	f.connections, f.scheduled, f.deferredPolls, f.configurations.pending = nil, nil, nil, nil
	heap := heapInUse()
	for _, role := range Roles {
		for _, d := range f.daemons {
			if roles[d] == role {
				d.gossip, d.machine, d.core, d.store, d.loadVersions = nil, nil, nil, nil, nil
			}
		}
		if r.Roles[role].Daemons == 0 {
			continue
		}
		remaining := heapInUse()
		r.Roles[role].HeapBytes = float64(heap-remaining) / r.Roles[role].Daemons
		heap = remaining
	}
}

// heapInUse is the heap after a collection, in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// defaultMaxMemoryMiB stands for half of a memory whose size is not known.
const defaultMaxMemoryMiB = 4096

// MaxMemoryMiB is half of the machine's memory in MiB, which -memory has to stay below.
func MaxMemoryMiB() int64 {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return defaultMaxMemoryMiB
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemTotal:" {
			kib, _ := strconv.ParseInt(fields[1], 10, 64)
			return kib >> 11
		}
	}
	return defaultMaxMemoryMiB
}
