package autoscale

import (
	"maps"
	"math"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/exclusive"
	"tuliprudder/internal/machine"
)

const (
	// observationTime is how long a new primary only collects reports before it changes any target.
	observationTime = 3 * clock.Second
	// stableCountTime is how long the number of servers of a zone without a decided target must not grow until it
	// is used as the initial target: when a fleet starts, its servers register one by one.
	stableCountTime = 5 * clock.Second
	// idleDelay is how long a new primary waits for the first request before it treats a service as idle: a
	// fleet that has just started has no requests yet.
	idleDelay = 60 * clock.Second
	// replaceDelay is how long, in addition to the boot time of servers, a zone may have fewer servers than
	// its target before the target is requested again.
	replaceDelay = 8 * clock.Second
)

// Server is an entry of the server list.
type Server struct {
	Name   string
	Labels map[string]string
	Zone   string
	Slots  int
	// Serving is false for a draining server.
	Serving bool
}

// Planner decides the target numbers of servers.
type Planner struct {
	emit func(machine.Effect)

	servingSince  clock.Micros
	evaluateAt    clock.Micros
	configuration *config.Configuration
	servers       map[string]Server // by name
	loads         loadTable
	services      map[string]*service // scaled services by name
}

// New returns a planner, which passes its log events to emit. Start must be called before the first
// Advance.
func New(emit func(machine.Effect)) *Planner {
	return &Planner{emit: emit, servers: map[string]Server{}, loads: newLoadTable(), services: map[string]*service{}}
}

// Start starts a term in which this core is primary.
func (p *Planner) Start(now clock.Micros) {
	p.servingSince = now
	p.loads = newLoadTable()
	p.services = map[string]*service{}
}

// SetConfiguration sets the current configuration.
func (p *Planner) SetConfiguration(configuration *config.Configuration) {
	p.configuration = configuration
}

// SetServer adds or updates a server of the server list.
func (p *Planner) SetServer(server Server) { p.servers[server.Name] = server }

// RemoveServer removes a server that has left the server list.
func (p *Planner) RemoveServer(name string) { delete(p.servers, name) }

// Receive stores the report of a daemon.
func (p *Planner) Receive(reporter Reporter, loads []Load, now clock.Micros) {
	p.loads.receive(reporter, loads, now)
}

// Advance evaluates the load and the servers once per evaluationInterval and changes the targets. Only the
// core that serves as primary calls it.
func (p *Planner) Advance(table *exclusive.Table, now clock.Micros) {
	if now < p.evaluateAt || p.configuration == nil {
		return
	}
	p.evaluateAt = now + evaluationInterval
	p.loads.removeStale(now)
	p.updateServices()
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		p.evaluate(name, p.services[name], table, now)
	}
}

// updateServices rebuilds the scaled services from the configuration, and their slots and serving servers
// from the server list.
func (p *Planner) updateServices() {
	for _, known := range p.services {
		known.bounds, known.slots = config.Autoscale{}, 0
		for _, z := range known.zones {
			z.serving = 0
		}
	}
	for _, pool := range p.configuration.Pools {
		if pool.Autoscale.IsEnabled() {
			p.ensureService(pool.Name).bounds = pool.Autoscale
		}
	}
	maps.DeleteFunc(p.services, func(_ string, known *service) bool { return !known.bounds.IsEnabled() })
	for _, server := range p.servers {
		if known := p.services[p.configuration.ScaledPoolOf(server.Labels)]; known != nil {
			known.addServer(server)
		}
	}
}

func (p *Planner) ensureService(name string) *service {
	if p.services[name] == nil {
		// The former primary may have raised the service just before this term began.
		p.services[name] = &service{zones: map[string]*zone{}, raisedAt: p.servingSince}
	}
	return p.services[name]
}

// evaluate takes a sample of a service and changes its targets. While none of its servers is known, there is
// no load to adjust to, but the missing servers are still tracked and requested again.
func (p *Planner) evaluate(name string, s *service, table *exclusive.Table, now clock.Micros) {
	hasServers := s.slots > 0
	if hasServers {
		p.sample(name, s, now)
	}
	s.initializeTargets(name, table, now)
	if now < p.servingSince+observationTime {
		return
	}
	p.enforceBounds(name, s)
	for _, z := range s.zones {
		z.trackEmpty(now)
	}
	if hasServers {
		p.adjustToLoad(name, s, now)
	}
	for zoneName, z := range s.zones {
		z.trackBelowTarget(table.Record(Subject(name, zoneName)), s.bounds, now)
	}
}

// sample adds the current load to a service's history.
func (p *Planner) sample(name string, s *service, now clock.Micros) {
	load := p.loads.takeTotal(name)
	s.hasHadLoad = s.hasHadLoad || !load.isIdle() || now-p.servingSince >= idleDelay
	if s.hasHadLoad {
		s.history = s.history.add(newSample(load, s.serving(), s.slots))
	}
}

// adjustToLoad raises or lowers a service's targets according to its load.
func (p *Planner) adjustToLoad(name string, s *service, now clock.Micros) {
	zones := s.availableZones(now)
	if len(zones) == 0 {
		return
	}
	current := float64(sumOfTargets(zones))
	mayRaise := now >= s.raisedAt+raiseInterval
	mayCountMisses := now >= s.raisedAt+s.bounds.BootTime+stabilizationTime
	mayLower := now >= s.loweredAt+lowerInterval && now >= s.raisedAt+s.bounds.BootTime+lowerInterval
	if up, ok := s.history.raiseDecision(current, mayCountMisses); ok {
		if mayRaise && p.setTargets(name, s, zones, up, raiseOnly) {
			s.raisedAt = now
		}
		return
	}
	if down, ok := s.history.lowerDecision(current, float64(len(zones))); ok && mayLower && p.setTargets(name, s, zones, down, lowerOnly) {
		s.loweredAt = now
	}
}

// enforceBounds moves targets that are outside the configured bounds to the nearest bound.
func (p *Planner) enforceBounds(name string, s *service) {
	for _, zoneName := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[zoneName]
		if z.target > 0 {
			p.setTarget(name, zoneName, z, s.bounds.Clamp(z.target), reasonBounds, s)
		}
	}
}

// setTargets offers all zones of a service the same target; choose picks between it and the present target of
// the zone. It reports whether any target changed.
func (p *Planner) setTargets(name string, s *service, zones map[string]*zone, d decision, choose func(present, perZone int64) int64) (changed bool) {
	perZone := s.serversPerZone(d.servers, zones)
	for _, zoneName := range slices.Sorted(maps.Keys(zones)) {
		z := zones[zoneName]
		changed = p.setTarget(name, zoneName, z, choose(z.target, perZone), d.reason, s) || changed
	}
	return changed
}

// raiseOnly and lowerOnly choose the target of a zone when its service is raised or lowered.
func raiseOnly(present, perZone int64) int64 { return max(present, perZone) }

func lowerOnly(present, perZone int64) int64 { return min(present, perZone) }

// setTarget sets the target of a zone and reports whether it changed.
func (p *Planner) setTarget(service, zoneName string, z *zone, target int64, cause reason, s *service) bool {
	if target == z.target {
		return false
	}
	latest := mean(s.history)
	p.emit(machine.LogEvent{Event: TargetChanged{
		Service: service, Zone: zoneName, From: z.target, To: target, Serving: z.serving, Reason: string(cause),
		Utilization: twoDecimals(latest.utilization()), Misses: twoDecimals(latest.missRatio()),
	}})
	z.target, z.belowTargetSince, z.repeatNumber = target, 0, 0
	return true
}

func twoDecimals(x float64) float64 { return math.Round(x*100) / 100 }

// Due returns the acts for the zones whose target differs from the last decided one, or has to be requested
// again.
func (p *Planner) Due(table *exclusive.Table) []exclusive.Act {
	var out []exclusive.Act
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		zones := p.services[name].zones
		for _, zoneName := range slices.Sorted(maps.Keys(zones)) {
			if act, ok := zones[zoneName].proposeAct(name, zoneName, table); ok {
				out = append(out, act)
			}
		}
	}
	return out
}
