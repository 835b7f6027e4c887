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

// LiveClass is a class of live requests with common sizes, rate and deadlines.
type LiveClass struct {
	Name         string
	PerSecond    float64 // arrival rate in each zone
	PromptTokens float64 // mean
	OutputTokens float64 // mean
	Target       clock.Micros
	Timeout      clock.Micros
	MaxAttempts  int64
	Resumable    bool
	Retries      int // by the caller, after a refusal
}

// BatchClass describes the batches, which arrive in bursts.
type BatchClass struct {
	BurstInterval    clock.Micros
	BatchesPerBurst  int // over all zones
	Items            int // mean per batch
	PromptTokens     float64
	OutputTokens     float64
	Due              clock.Micros
	CompletionWindow clock.Micros // of the route in the configuration; 0: none
}

// Crash makes a share of the servers fail all requests for a while.
type Crash struct {
	After, For clock.Micros // from the start of the traffic
	Share      float64
}

// Deployment describes the simulated system, its traffic and its faults.
type Deployment struct {
	Zones, EdgesPerZone, StoresPerZone, ServersPerZone int
	Engine                                             Engine
	InZone, BetweenZones                               clock.Micros // one way
	Live                                               []LiveClass
	Batch                                              BatchClass
	// FailingServers is the number of servers that fail every request in the middle third of the run.
	FailingServers int
	// MaxConnections limits the connections of a server, which the stores share; 0: unlimited.
	MaxConnections int64
	// Autoscale bounds the number of servers per zone, which the planner then changes; the zero value
	// keeps the number fixed.
	Autoscale config.Autoscale
	// LoadFactor returns the factor of the live traffic at a time since its start; nil: 1.
	LoadFactor func(elapsed clock.Micros) float64
	// Crash says when servers fail, and which share of them.
	Crash Crash
	// ReportsLoad makes the servers report their load with each answer.
	ReportsLoad bool
	// Adjust changes the settings of all schedulers, for example to disable a mechanism.
	Adjust func(settings *scheduler.Settings)
	// ScorerWeights are the scorer weights of the configuration.
	ScorerWeights map[string]float64
}

// MemoryBound returns a deployment of many edges and stores in front of servers with little memory, with
// bursts of batches besides the live requests. At scale 1 its load takes about three quarters of the
// servers' memory on average.
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

// ConnectionBound returns a deployment whose servers have many slots but accept few connections, and
// whose batches arrive at few stores at a time.
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

// New prepares a run of a deployment; Run starts it.
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

// adjust sets the scheduler settings that all daemons use here.
func (w *World) adjust(settings *scheduler.Settings) {
	settings.MaxStaleness = scheduler.UnlimitedStaleness
	settings.MinUtilizationLimit = 0.8
	if w.Deployment.Adjust != nil {
		w.Deployment.Adjust(settings)
	}
}

// updates returns the state updates that announce the daemons, the configuration and the servers.
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

// entry returns the server's entry in the list of servers.
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

// configuration returns the configuration of the deployment.
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

// batchRoute is the name of the batch route, and of its class in the results.
const batchRoute = "batches"

// Priorities of the live routes and of the batch route.
const (
	livePriority  = 1000
	batchPriority = 998
)
