package servingsim

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/controlplane/state"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

// LiveClass is a kind of live request.
type LiveClass struct {
	Name         string
	PerSecond    float64 // in each zone
	PromptTokens float64 // mean
	OutputTokens float64 // mean
	Target       clock.Micros
	Timeout      clock.Micros
	MaxAttempts  int64
	Resumable    bool
	Retries      int // of the caller
}

// BatchClass is the batches: heaps of them come at a time.
type BatchClass struct {
	BurstInterval    clock.Micros
	BatchesPerBurst  int // in each heap, over all zones
	Items            int // of a batch
	PromptTokens     float64
	OutputTokens     float64
	Due              clock.Micros
	CompletionWindow clock.Micros // of the route, as the configuration says; 0: none
}

// Crash has a part of the servers fail all requests for a while.
type Crash struct {
	After, For clock.Micros // from the start of the traffic
	Share      float64
}

// Deployment is what a run simulates.
type Deployment struct {
	Zones, EdgesPerZone, StoresPerZone, ServersPerZone int
	Engine                                             Engine
	InZone, BetweenZones                               clock.Micros // one way
	Live                                               []LiveClass
	Batch                                              BatchClass
	// FailingServers is how many servers fail each request from a third of the run to two thirds.
	FailingServers int
	// MaxConnections is how many connections a server takes; stores keep to their shares of them. 0: any.
	MaxConnections int64
	// Autoscale bounds the servers of each zone, which come and go as the planner has it; the zero value:
	// they stay as they are.
	Autoscale config.Autoscale
	// LoadFactor is what the live traffic is multiplied by so long after its start; nil: 1.
	LoadFactor func(elapsed clock.Micros) float64
	// Crash is when some servers are down, and which part of them.
	Crash Crash
	// ReportsLoad has the servers tell their load with each answer.
	ReportsLoad bool
	// Adjust changes the settings of all schedulers, for an ablation.
	Adjust func(settings *scheduler.Settings)
	// ScorerWeights are those of the configuration.
	ScorerWeights map[string]float64
}

// MemoryBound is a deployment of many edges and stores before servers with little memory, with heaps of
// batches beside the live requests. Its load at scale 1 takes about three quarters of the servers'
// memory over the time.
func MemoryBound(zones, edges, stores, servers int, scale float64) Deployment {
	return Deployment{
		Zones: zones, EdgesPerZone: edges, StoresPerZone: stores, ServersPerZone: servers,
		Engine: Engine{
			Slots: 9, QueueLimit: 27, MemoryTokens: 17_000, StepTime: 3100, PrefillRate: 0.065,
			ChunkTokens: 2048, FirstDelay: 20 * clock.Millisecond, EventTokens: 11,
		},
		InZone: 300, BetweenZones: 1400,
		Live: []LiveClass{
			{Name: "check", PerSecond: 5.7 * float64(servers) * scale, PromptTokens: 2370, OutputTokens: 22, Target: 500 * clock.Millisecond, Timeout: 3 * clock.Second, MaxAttempts: 2, Resumable: true, Retries: 1},
			{Name: "reply", PerSecond: 2.1 * float64(servers) * scale, PromptTokens: 1460, OutputTokens: 173, Target: 600 * clock.Millisecond, Timeout: 6 * clock.Second, MaxAttempts: 1, Retries: 1},
		},
		Batch: BatchClass{
			BurstInterval: 10 * clock.Second, BatchesPerBurst: int(math.Round(float64(zones*servers) * scale / 4)), Items: 60,
			PromptTokens: 2370, OutputTokens: 672, Due: 16 * clock.Second, CompletionWindow: 16 * clock.Second,
		},
		ReportsLoad:   true,
		ScorerWeights: map[string]float64{"fullness": 4, "turn": 1.5, "reading": 6, "silence": 20, "queue": 2, "zone": 2, "reliability": 20},
	}
}

// ConnectionBound is a deployment whose servers have many slots and take few connections, with batches
// that come to few stores at a time.
func ConnectionBound(zones, edges, stores, servers int) Deployment {
	d := MemoryBound(zones, edges, stores, servers, 1)
	d.Engine = Engine{
		Slots: 16, QueueLimit: 48, MemoryTokens: 305_000, StepTime: 1800, PrefillRate: 0.1,
		ChunkTokens: 4096, FirstDelay: 15 * clock.Millisecond, EventTokens: 19,
	}
	d.Batch = BatchClass{
		BurstInterval: 5 * clock.Second, BatchesPerBurst: zones, Items: 26 * servers,
		PromptTokens: 768, OutputTokens: 665, Due: 8 * clock.Second, CompletionWindow: 8 * clock.Second,
	}
	d.MaxConnections = int64(zones * (edges + 3*stores))
	return d
}

// New makes a run of a deployment.
func New(deployment Deployment, seed int64) *World {
	w := &World{
		Deployment: deployment,
		random:     rand.New(rand.NewSource(seed)),
		now:        100 * clock.Second,
		servers:    map[string]*server{},
		daemons:    map[string]daemon{},
	}
	w.Result.Classes = map[string]*ClassResult{}
	w.addServers()
	w.addDaemons()
	w.notifyAll(w.updates())
	return w
}

func (w *World) addServers() {
	for zone := range w.Deployment.Zones {
		for i := range w.Deployment.ServersPerZone {
			name := fmt.Sprintf("server-%d-%02d", zone, i)
			w.servers[name] = w.newServer(name, zoneName(zone))
		}
	}
}

func (w *World) newServer(name, zone string) *server {
	return &server{world: w, name: name, address: name + ":1", zone: zone, engine: w.Deployment.Engine, startedAt: w.now}
}

func (w *World) addDaemons() {
	for zone := range w.Deployment.Zones {
		for i := range w.Deployment.EdgesPerZone {
			e := newEdge(w, fmt.Sprintf("edge-%d-%02d", zone, i), zoneName(zone))
			w.edges = append(w.edges, e)
			w.daemons[e.id] = e
		}
		for i := range w.Deployment.StoresPerZone {
			s := newStore(w, fmt.Sprintf("store-%d-%02d", zone, i), zoneName(zone))
			w.stores = append(w.stores, s)
			w.daemons[s.id] = s
		}
	}
}

// adjust are the settings of a daemon's scheduler.
func (w *World) adjust(settings *scheduler.Settings) {
	settings.MaxStaleness = scheduler.UnlimitedStaleness
	settings.MinUtilizationLimit = 0.8
	if w.Deployment.Adjust != nil {
		w.Deployment.Adjust(settings)
	}
}

// updates are those that tell the daemons of each other, the configuration and the servers.
func (w *World) updates() []machine.Update {
	var out []machine.Update
	for _, e := range w.edges {
		out = append(out, memberUpdate(e.id, membership.Edge, e.zone))
	}
	for _, s := range w.stores {
		out = append(out, memberUpdate(s.id, membership.Store, s.zone))
	}
	version, _ := json.Marshal(state.Version{Number: 1, Body: json.RawMessage(`{}`)})
	out = append(out, machine.Update{Key: state.ConfigurationKey, Epoch: 1, Seq: 1, Value: version})
	for _, name := range slices.Sorted(maps.Keys(w.servers)) {
		out = append(out, endpoints.ServerUpdate(w.servers[name].entry(), machine.Update{}, w.now))
	}
	return out
}

// entry is the server's entry on the list.
func (s *server) entry() endpoints.Server {
	return endpoints.Server{
		Name: s.name, Address: s.address, Slots: s.engine.Slots, Labels: map[string]string{"zone": s.zone},
		Draining: s.draining, Removed: s.endedAt > 0,
	}
}

func memberUpdate(id, kind, zone string) machine.Update {
	member := membership.Member{ID: id, Kind: kind, Zone: zone, Peer: id, Incarnation: 1}
	return machine.Update{Key: membership.Key(id), Epoch: 1, Seq: member.Seq(), Value: member.Encode()}
}

func (w *World) notifyAll(updates []machine.Update) {
	for _, update := range updates {
		for _, e := range w.edges {
			e.execute(e.machine.UpdateReceived(update, w.now))
		}
		for _, s := range w.stores {
			s.receiveUpdate(update)
		}
	}
}

// configuration is the one in force.
func (w *World) configuration([]byte) (*config.Configuration, error) {
	c := &config.Configuration{
		ScorerWeights: w.Deployment.ScorerWeights,
		Pools:         []config.Pool{{Name: "all", Servers: config.Selector{}, MemoryTokens: int64(w.Deployment.Engine.MemoryTokens), MaxConnections: w.Deployment.MaxConnections, Autoscale: w.Deployment.Autoscale}},
	}
	for _, class := range w.Deployment.Live {
		kind := config.Stream
		if class.Resumable {
			kind = config.Resumable
		}
		c.Routes = append(c.Routes, config.Route{
			Name: class.Name, Kind: kind, Timeout: class.Timeout,
			Forward: &config.Forward{Host: class.Name, PathPrefix: "/", MaxAttempts: class.MaxAttempts, LatencyTarget: class.Target, MaxEventGap: maxGap, Priority: livePriority},
		})
	}
	c.Routes = append(c.Routes, config.Route{Name: batchRoute, Kind: config.Batch, MaxItems: 1000, Forward: &config.Forward{Host: batchRoute, PathPrefix: "/", MaxAttempts: 3, CompletionWindow: w.Deployment.Batch.CompletionWindow, Priority: batchPriority}})
	c.Index()
	return c, nil
}

// batchRoute is the name of the batches' route.
const batchRoute = "batches"

// Priorities of the live routes and of the batches'.
const (
	livePriority  = 1000
	batchPriority = 998
)
