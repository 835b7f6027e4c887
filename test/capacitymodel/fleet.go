package capacitymodel

import (
	"fmt"
	"math/rand"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/membership"
	"tuliprudder/test/virtualtime"
)

// modelServer is a model server: its figures, without an engine.
type modelServer struct {
	endpoint         endpoints.Server
	busy             bool    // at least half full
	poller           *daemon // the simulated edge that polls it
	pollerGeneration int
}

// Fleet is one run's fleet.
type Fleet struct {
	Settings          Settings
	virtualtime.Queue // Now, and the events to come
	rng               *rand.Rand

	daemons  []*daemon
	byPeer   map[string]*daemon // by address
	seeds    []string
	servers  []*modelServer
	lastCall uint64

	codec         *codec
	connections   map[connectionKey]*connection
	scheduled     []*connection // idle ones with messages that the present step queued
	isPartitioned func(from, to *daemon) bool

	configurations configurationChanges
	batches        batchSubmissions
	polling        bool     // the servers are polled
	deferredPolls  []func() // polls that wait until the fleet is stable

	warmingUp      bool              // nothing is counted
	tallies        map[string]*tally // by role
	updateAges     ageSamples
	cpu            cpuMeter
	busiestPoller  *daemon // the full edge that polls most servers
	countedPrimary *daemon // the primary when counting began
}

// virtualStart is the virtual time at which runs begin.
const virtualStart = 1000 * clock.Second

const (
	seedCount      = 3  // daemons that a seed list names
	serverSlots    = 64 // concurrency slots of a server
	modelCount     = 20
	maxIPHostIndex = 200
)

// New makes a fleet of which no daemon has booted.
func New(settings Settings) *Fleet {
	f := &Fleet{
		Settings:      settings,
		Queue:         virtualtime.Queue{Now: virtualStart},
		rng:           rand.New(rand.NewSource(settings.Seed)),
		byPeer:        map[string]*daemon{},
		codec:         newCodec(),
		connections:   map[connectionKey]*connection{},
		isPartitioned: func(_, _ *daemon) bool { return false },
		warmingUp:     true,
		tallies:       map[string]*tally{},
	}
	f.addDaemons(membership.Core, settings.Cores, settings.Cores)
	f.addDaemons(membership.Store, settings.Stores, settings.Stores)
	f.addDaemons(membership.Edge, settings.Edges(), settings.FullEdges)
	for i := range settings.Servers {
		f.servers = append(f.servers, settings.newServer(i))
	}
	return f
}

// addDaemons adds daemons of a kind, spread over the zones; the first of them are full.
func (f *Fleet) addDaemons(kind string, count, fullCount int64) {
	for i := range count {
		zone := i % f.Settings.Zones
		d := &daemon{
			fleet:       f,
			kind:        kind,
			id:          fmt.Sprintf("%s-%03d", kind, i+1),
			number:      int(i + 1),
			zone:        fmt.Sprintf("zone-%02d", zone+1),
			peer:        fmt.Sprintf("10.%d.%d.%d:7100", zone+1, len(f.daemons)/maxIPHostIndex, 1+len(f.daemons)%maxIPHostIndex),
			zoneIndex:   int(zone),
			regionIndex: int(zone % f.Settings.Regions),
			isFull:      i < fullCount,
		}
		f.daemons = append(f.daemons, d)
		f.byPeer[d.peer] = d
		if kind == membership.Core && len(f.seeds) < seedCount {
			f.seeds = append(f.seeds, d.peer)
		}
	}
}

func (s Settings) newServer(i int64) *modelServer {
	return &modelServer{
		busy: i*100 < s.BusyPercent*s.Servers,
		endpoint: endpoints.Server{
			Name:    fmt.Sprintf("server-%04d", i+1),
			Address: fmt.Sprintf("http://10.%d.%d.%d:8000", 100+i%s.Zones, i/maxIPHostIndex, 1+i%maxIPHostIndex),
			Slots:   serverSlots,
			Labels:  map[string]string{"fleet": "main", "model": fmt.Sprintf("model-%02d", i%modelCount), "zone": fmt.Sprintf("zone-%02d", i%s.Zones+1)},
		},
	}
}

// randomBetween draws a number from low to high, both included.
func (f *Fleet) randomBetween(low, high clock.Micros) clock.Micros {
	return low + f.rng.Int63n(high-low+1)
}

// networkDelay draws the latency one way between two daemons.
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

// isStable says whether every shard has all its replicas and all daemons have fresh updates.
func (f *Fleet) isStable() bool {
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

// staleAfter is the age of updates from which a daemon assigns no requests.
const staleAfter = 2500 * clock.Millisecond
