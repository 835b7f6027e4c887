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
	// observationTime is how long a new primary listens to reports before it changes anything.
	observationTime = 3 * clock.Second
	// stableCountTime is how long a zone that nothing was decided of has to have no more servers than before until
	// they count as all: at a fleet's start they come one by one.
	stableCountTime = 5 * clock.Second
	// idleDelay is how long a new primary waits for the first request until it takes a service for idle: a
	// fleet that has just started isn't.
	idleDelay = 60 * clock.Second
	// replaceDelay is how long beyond the time that servers take to boot a zone may have fewer than
	// its target until that is requested again.
	replaceDelay = 8 * clock.Second
)

// Server is one entry of the list of servers.
type Server struct {
	Name   string
	Labels map[string]string
	Zone   string
	Slots  int
	// Serving is false for one that drains.
	Serving bool
}

// Planner plans the numbers of servers.
type Planner struct {
	emit func(machine.Effect)

	servingSince  clock.Micros
	evaluateAt    clock.Micros
	configuration *config.Configuration
	servers       map[string]Server // by name
	loads         loadTable
	services      map[string]*service // the scaled ones, by name
}

// New makes a planner; Start is called before its first act. What it logs is emitted.
func New(emit func(machine.Effect)) *Planner {
	return &Planner{emit: emit, servers: map[string]Server{}, loads: newLoadTable(), services: map[string]*service{}}
}

// Start begins a term of this core as primary.
func (p *Planner) Start(now clock.Micros) {
	p.servingSince = now
	p.loads = newLoadTable()
	p.services = map[string]*service{}
}

// SetConfiguration takes the configuration in force.
func (p *Planner) SetConfiguration(configuration *config.Configuration) {
	p.configuration = configuration
}

// SetServer takes a server that is on the list.
func (p *Planner) SetServer(server Server) { p.servers[server.Name] = server }

// RemoveServer takes that a server is not on the list any more.
func (p *Planner) RemoveServer(name string) { delete(p.servers, name) }

// Receive takes a daemon's report.
func (p *Planner) Receive(reporter Reporter, loads []Load, now clock.Micros) {
	p.loads.receive(reporter, loads, now)
}

// Advance looks at the load and the servers when that is due, and changes the targets. It is called by the
// core that serves as primary alone.
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

// updateServices has the services of the configuration, their zones and servers.
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
		// A former primary may have raised it until it was succeeded.
		p.services[name] = &service{zones: map[string]*zone{}, raisedAt: p.servingSince}
	}
	return p.services[name]
}

// evaluate takes a sample of a service and changes its targets. While none of its servers is known, it has no load
// to follow; that they are missing counts all the same.
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

// sample adds the present load to a service's history.
func (p *Planner) sample(name string, s *service, now clock.Micros) {
	load := p.loads.takeTotal(name)
	s.hasHadLoad = s.hasHadLoad || !load.isIdle() || now-p.servingSince >= idleDelay
	if s.hasHadLoad {
		s.history = s.history.add(newSample(load, s.serving(), s.slots))
	}
}

// adjustToLoad has a service's targets adjustToLoad its load.
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

// enforceBounds changes the targets that are out of the configuration's bounds.
func (p *Planner) enforceBounds(name string, s *service) {
	for _, zoneName := range slices.Sorted(maps.Keys(s.zones)) {
		z := s.zones[zoneName]
		if z.target > 0 {
			p.setTarget(name, zoneName, z, s.bounds.Clamp(z.target), reasonBounds, s)
		}
	}
}

// setTargets sets the targets of a service's zones to the same number each, where choose takes that rather than
// the present one; it tells whether any target has changed.
func (p *Planner) setTargets(name string, s *service, zones map[string]*zone, d decision, choose func(present, perZone int64) int64) (changed bool) {
	perZone := s.serversPerZone(d.servers, zones)
	for _, zoneName := range slices.Sorted(maps.Keys(zones)) {
		z := zones[zoneName]
		changed = p.setTarget(name, zoneName, z, choose(z.target, perZone), d.reason, s) || changed
	}
	return changed
}

// raiseOnly and lower choose the target of a zone when a service is raised and lowered.
func raiseOnly(present, perZone int64) int64 { return max(present, perZone) }

func lowerOnly(present, perZone int64) int64 { return min(present, perZone) }

// setTarget sets a target, and tells whether it is another one.
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

// Due are the acts for the zones whose target isn't the one that was decided last.
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
