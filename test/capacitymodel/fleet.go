// Package capacitymodel is the simulated fleet: the decision machines of many daemons in
// one process under virtual time, with real messages by the real codec, to
// measure what control costs at sizes that no test machine has room for
// (docs/CAPACITY.md). Servers are hollow: figures without an engine. Edges may
// be hollow beyond a number: they have their gossip and their duties, but
// no queue and no accounts.
package capacitymodel

import (
	"fmt"
	"math/rand"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/membership"
)

// Settings of one run.
type Settings struct {
	Daemons, Stores, Cores, FullEdges            int64
	Servers, BusyPercent                         int64 // busy: share of servers at least half full, in percent
	LateServers                                  int64 // 1: the servers come once the fleet has settled
	Zones, Regions, Shards                       int64
	ZoneDelayUS, RegionDelayUS                   int64 // one way between zones, between regions, in µs
	WarmupSeconds, CountedSeconds                int64
	ChangesPerHour                               int64 // of the configuration, an hour
	Tenants, Routes                              int64
	ItemsPerSecond                               int64 // of batches, a second
	BatchItems                                   int64
	RestartsPerHour                              int64 // of daemons, an hour
	RegionPartitionSeconds, ZonePartitionSeconds int64 // seconds
	MaxMemoryMiB                                 int64 // most MiB of this process
	Seed                                         int64
}

// Edges is how many of the daemons are edges.
func (s Settings) Edges() int64 { return s.Daemons - s.Stores - s.Cores }

type event struct {
	at  clock.Micros
	seq uint64
	do  func()
}

// queue is a heap of events, the earliest first.
type queue []event

func (q queue) before(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q *queue) push(e event) {
	*q = append(*q, e)
	heap := *q
	for i := len(heap) - 1; i > 0; {
		up := (i - 1) / 2
		if !heap.before(i, up) {
			break
		}
		heap[i], heap[up] = heap[up], heap[i]
		i = up
	}
}

func (q *queue) pop() event {
	heap := *q
	first, last := heap[0], len(heap)-1
	heap[0] = heap[last]
	heap[last] = event{}
	heap = heap[:last]
	for i := 0; ; {
		smallest := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < last && heap.before(child, smallest) {
				smallest = child
			}
		}
		if smallest == i {
			break
		}
		heap[i], heap[smallest] = heap[smallest], heap[i]
		i = smallest
	}
	*q = heap
	return first
}

// modelServer is a server's figures without an engine.
type modelServer struct {
	endpoint         endpoints.Server
	busy             bool
	poller           *daemon // the simulated edge that reads it
	pollerGeneration int
}

// Fleet is one run's fleet.
type Fleet struct {
	Settings       Settings
	Now            clock.Micros
	rng            *rand.Rand
	events         queue
	lastEvent      uint64
	daemons        []*daemon
	byPeer         map[string]*daemon
	seeds          []string
	servers        []*modelServer
	codec          *codec
	connections    map[connectionKey]*connection
	scheduled      []*connection
	isPartitioned  func(from, to *daemon) bool
	configurations configurationChanges
	batches        batchSubmissions
	warmingUp      bool // nothing is counted
	polling        bool // the servers' figures are read
	lastCall       uint64
	tallies        map[string]*tally
	updateAges     ageSamples
	deferredPolls  []func() // readings that wait until the fleet has settled
	cpu            cpuMeter
	busiestPoller  *daemon // the whole edge that reads most servers
	countedPrimary *daemon // the primary when counting began
}

const virtualStart clock.Micros = 1_000_000_000

// New lays a fleet out.
func New(settings Settings) *Fleet {
	f := &Fleet{Settings: settings, Now: virtualStart, rng: rand.New(rand.NewSource(settings.Seed)), byPeer: map[string]*daemon{}, codec: newCodec(),
		connections: map[connectionKey]*connection{}, isPartitioned: func(_, _ *daemon) bool { return false }, warmingUp: true, tallies: map[string]*tally{}}
	add := func(kind string, count int64, whole int64) {
		for i := int64(0); i < count; i++ {
			zone := i % settings.Zones
			d := &daemon{fleet: f, kind: kind, number: int(i + 1), zone: fmt.Sprintf("zone-%02d", zone+1), zoneIndex: int(zone), regionIndex: int(zone % settings.Regions), isFull: i < whole}
			d.peer = fmt.Sprintf("10.%d.%d.%d:7100", zone+1, len(f.daemons)/200, 1+len(f.daemons)%200)
			d.id = fmt.Sprintf("%s-%03d", kind, i+1)
			f.daemons = append(f.daemons, d)
			f.byPeer[d.peer] = d
			if kind == membership.Core && len(f.seeds) < 3 {
				f.seeds = append(f.seeds, d.peer)
			}
		}
	}
	add(membership.Core, settings.Cores, settings.Cores)
	add(membership.Store, settings.Stores, settings.Stores)
	add(membership.Edge, settings.Edges(), settings.FullEdges)
	for i := int64(0); i < settings.Servers; i++ {
		f.servers = append(f.servers, &modelServer{busy: i*100 < settings.BusyPercent*settings.Servers, endpoint: endpoints.Server{
			Name: fmt.Sprintf("server-%04d", i+1), Address: fmt.Sprintf("http://10.%d.%d.%d:8000", 100+i%settings.Zones, i/200, 1+i%200), Slots: 64,
			Labels: map[string]string{"fleet": "main", "model": fmt.Sprintf("model-%02d", i%20), "zone": fmt.Sprintf("zone-%02d", i%settings.Zones+1)}}})
	}
	return f
}

// schedule does something later.
func (f *Fleet) schedule(span clock.Micros, do func()) {
	f.lastEvent++
	f.events.push(event{at: f.Now + span, seq: f.lastEvent, do: do})
}

func (f *Fleet) randomBetween(smallest, largest clock.Micros) clock.Micros {
	return smallest + f.rng.Int63n(largest-smallest+1)
}

// advance lets time pass.
func (f *Fleet) advance(span clock.Micros) {
	end := f.Now + span
	for len(f.events) > 0 && f.events[0].at <= end {
		next := f.events.pop()
		f.Now = next.at
		next.do()
	}
	f.Now = end
}

// networkDelay is the way between two daemons.
func (f *Fleet) networkDelay(from, to *daemon) clock.Micros {
	base := f.randomBetween(150, 900)
	switch {
	case from.regionIndex != to.regionIndex:
		return base + f.Settings.RegionDelayUS
	case from.zoneIndex != to.zoneIndex:
		return base + f.Settings.ZoneDelayUS
	}
	return base
}

// primary is the core that serves; nil when none does.
func (f *Fleet) primary() *daemon {
	var best *daemon
	for _, d := range f.daemons {
		if d.core != nil && d.up && d.core.IsServing() && (best == nil || d.core.Vote().Term > best.core.Vote().Term) {
			best = d
		}
	}
	return best
}

func (f *Fleet) isSettled() bool {
	p := f.primary()
	if p == nil || len(p.core.State().Shards) == 0 {
		return false
	}
	for _, shardAssignment := range p.core.State().Shards {
		if !shardAssignment.Complete {
			return false
		}
	}
	for _, d := range f.daemons {
		if d.gossip.FreshUntil() == 0 || f.Now-d.gossip.FreshUntil() > staleAfter {
			return false
		}
	}
	return true
}

// staleAfter is the age of updates from which a daemon assigns nothing.
const staleAfter = 2500 * clock.Millisecond

// ageSamples are the ages of the daemons' updates, looked at twice a second.
type ageSamples struct {
	ages       []clock.Micros
	staleCount int
}

func (f *Fleet) sampleUpdateAges() {
	for _, d := range f.daemons {
		if !d.up {
			continue
		}
		age := f.Now - max(d.gossip.FreshUntil(), d.bootedAt)
		f.updateAges.ages = append(f.updateAges.ages, age)
		if age > staleAfter {
			f.updateAges.staleCount++
		}
	}
}

func (s ageSamples) staleShare() float64 {
	if len(s.ages) == 0 {
		return 0
	}
	return float64(s.staleCount) / float64(len(s.ages))
}

func (s ageSamples) quantile(q float64) clock.Micros {
	if len(s.ages) == 0 {
		return 0
	}
	ages := slices.Clone(s.ages)
	slices.Sort(ages)
	return ages[min(len(ages)-1, int(q*float64(len(ages))))]
}

// pollAssignments are the servers that each edge reads, by the agreed order. It is
// worked out here once for the simulated edges; whole ones work it out themselves.
func (f *Fleet) pollAssignments() map[string][]*modelServer {
	var members []membership.Member
	for _, d := range f.daemons {
		if d.kind == membership.Edge && d.up {
			members = append(members, d.member())
		}
	}
	out := map[string][]*modelServer{}
	for _, s := range f.servers {
		first := endpoints.RendezvousOwner("load/"+s.endpoint.Name, members, membership.Edge)
		out[first] = append(out[first], s)
	}
	return out
}
