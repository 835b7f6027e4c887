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

	"tuliprudder/kernel/clock"
	"tuliprudder/membership/identity"
	"tuliprudder/path/registry"
)

// Settings of one run.
type Settings struct {
	Daemons, Stores, Cores, WholeEdges int64
	Servers, Busy                      int64 // busy: share of servers at least half full, in percent
	Late                               int64 // 1: the servers come once the fleet has settled
	Zones, Regions, Slots              int64
	ZoneDelay, RegionDelay             int64 // one way between zones, between regions, in µs
	Warm, Seconds                      int64
	Changes                            int64 // of the plan, an hour
	Customers, Routes                  int64
	Items                              int64 // of bundles, a second
	BundleItems                        int64
	Restarts                           int64 // of daemons, an hour
	CutRegion, CutZone                 int64 // seconds
	Memory                             int64 // most MiB of this process
	Seed                               int64
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
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < last && heap.before(child, least) {
				least = child
			}
		}
		if least == i {
			break
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
	*q = heap
	return first
}

// modelServer is a server's figures without an engine.
type modelServer struct {
	word   registry.Server
	busy   bool
	reader *daemon // the simulated edge that reads it
	era    int
}

// Fleet is one run's fleet.
type Fleet struct {
	Set     Settings
	Now     clock.Micros
	chance  *rand.Rand
	queue   queue
	seq     uint64
	daemons []*daemon
	byPeer  map[string]*daemon
	seeds   []string
	servers []*modelServer
	codec   *codec
	lines   map[lineKey]*line
	woken   []*line
	cut     func(from, to *daemon) bool
	plan    planRounds
	bundles bundleRounds
	warming bool // nothing is counted
	served  bool // the servers' figures are read
	calls   uint64
	tallies map[string]*tally
	stale   staleness
	held    []func() // readings that wait until the fleet has settled
	meter   meter
	holder  *daemon // the whole edge that reads most servers
	leader  *daemon // the primary when counting began
}

const start clock.Micros = 1_000_000_000

// New lays a fleet out.
func New(set Settings) *Fleet {
	f := &Fleet{Set: set, Now: start, chance: rand.New(rand.NewSource(set.Seed)), byPeer: map[string]*daemon{}, codec: newCodec(),
		lines: map[lineKey]*line{}, cut: func(_, _ *daemon) bool { return false }, warming: true, tallies: map[string]*tally{}}
	add := func(kind string, count int64, whole int64) {
		for i := int64(0); i < count; i++ {
			zone := i % set.Zones
			d := &daemon{fleet: f, kind: kind, number: int(i + 1), zone: fmt.Sprintf("zone-%02d", zone+1), place: int(zone), region: int(zone % set.Regions), whole: i < whole}
			d.peer = fmt.Sprintf("10.%d.%d.%d:7100", zone+1, len(f.daemons)/200, 1+len(f.daemons)%200)
			d.id = fmt.Sprintf("%s-%03d", kind, i+1)
			f.daemons = append(f.daemons, d)
			f.byPeer[d.peer] = d
			if kind == identity.Core && len(f.seeds) < 3 {
				f.seeds = append(f.seeds, d.peer)
			}
		}
	}
	add(identity.Core, set.Cores, set.Cores)
	add(identity.Store, set.Stores, set.Stores)
	add(identity.Edge, set.Edges(), set.WholeEdges)
	for i := int64(0); i < set.Servers; i++ {
		f.servers = append(f.servers, &modelServer{busy: i*100 < set.Busy*set.Servers, word: registry.Server{
			Name: fmt.Sprintf("server-%04d", i+1), Address: fmt.Sprintf("http://10.%d.%d.%d:8000", 100+i%set.Zones, i/200, 1+i%200), Slots: 64,
			Labels: map[string]string{"fleet": "main", "model": fmt.Sprintf("model-%02d", i%20), "zone": fmt.Sprintf("zone-%02d", i%set.Zones+1)}}})
	}
	return f
}

// after does something later.
func (f *Fleet) after(span clock.Micros, do func()) {
	f.seq++
	f.queue.push(event{at: f.Now + span, seq: f.seq, do: do})
}

func (f *Fleet) between(least, most clock.Micros) clock.Micros {
	return least + f.chance.Int63n(most-least+1)
}

// run lets time pass.
func (f *Fleet) run(span clock.Micros) {
	end := f.Now + span
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := f.queue.pop()
		f.Now = next.at
		next.do()
	}
	f.Now = end
}

// delay is the way between two daemons.
func (f *Fleet) delay(from, to *daemon) clock.Micros {
	base := f.between(150, 900)
	switch {
	case from.region != to.region:
		return base + f.Set.RegionDelay
	case from.place != to.place:
		return base + f.Set.ZoneDelay
	}
	return base
}

// primary is the core that serves; nil when none does.
func (f *Fleet) primary() *daemon {
	var best *daemon
	for _, d := range f.daemons {
		if d.core != nil && d.up && d.core.Serving() && (best == nil || d.core.Vote().Term > best.core.Vote().Term) {
			best = d
		}
	}
	return best
}

func (f *Fleet) settled() bool {
	p := f.primary()
	if p == nil || len(p.core.State().Slots) == 0 {
		return false
	}
	for _, pairing := range p.core.State().Slots {
		if !pairing.Complete {
			return false
		}
	}
	for _, d := range f.daemons {
		if d.gossip.LastSwap() == 0 || f.Now-d.gossip.LastSwap() > staleAfter {
			return false
		}
	}
	return true
}

// staleAfter is the age of updates from which a daemon assigns nothing.
const staleAfter = 2500 * clock.Millisecond

// staleness are the ages of the daemons' updates, looked at twice a second.
type staleness struct {
	ages  []clock.Micros
	stale int
}

func (f *Fleet) lookAtAges() {
	for _, d := range f.daemons {
		if !d.up {
			continue
		}
		age := f.Now - max(d.gossip.LastSwap(), d.booted)
		f.stale.ages = append(f.stale.ages, age)
		if age > staleAfter {
			f.stale.stale++
		}
	}
}

func (s staleness) share() float64 {
	if len(s.ages) == 0 {
		return 0
	}
	return float64(s.stale) / float64(len(s.ages))
}

func (s staleness) quantile(q float64) clock.Micros {
	if len(s.ages) == 0 {
		return 0
	}
	ages := slices.Clone(s.ages)
	slices.Sort(ages)
	return ages[min(len(ages)-1, int(q*float64(len(ages))))]
}

// duties are the servers that each edge reads, by the agreed order. It is
// worked out here once for the simulated edges; whole ones work it out themselves.
func (f *Fleet) duties() map[string][]*modelServer {
	var folk []identity.Member
	for _, d := range f.daemons {
		if d.kind == identity.Edge && d.up {
			folk = append(folk, d.person())
		}
	}
	out := map[string][]*modelServer{}
	for _, s := range f.servers {
		first := registry.First("load/"+s.word.Name, folk, identity.Edge)
		out[first] = append(out[first], s)
	}
	return out
}
