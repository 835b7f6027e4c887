package autoscale

import (
	"maps"
	"math"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/exclusive"
)

// service is a pool whose servers are scaled.
type service struct {
	bounds  config.Autoscale
	zones   map[string]*zone // those that it runs in, by name
	slots   int              // of all servers that serve
	history history
	// hasHadLoad: it has had something to run under this primary, or nothing for long.
	hasHadLoad bool
	raisedAt   clock.Micros
	loweredAt  clock.Micros
}

// zone is a service in a zone.
type zone struct {
	target int64 // 0: none is known
	// initialTarget is the number of servers that the zone had before any was decided.
	initialTarget int64
	// serving is how many of its servers serve.
	serving int64
	// peakServing is the peakServing number of servers that served while no target was known, and grownAt is when
	// that was reached.
	peakServing   int64
	peakReachedAt clock.Micros
	// emptySince is since when it has had no server; 0: it has some.
	emptySince clock.Micros
	// belowTargetSince is since when it has had fewer servers than its target; 0: it has as many.
	belowTargetSince clock.Micros
	// repeatNumber is the number of the act that has to be repeatNumber, as its servers haven't come; 0: none.
	repeatNumber uint64
}

// addServer counts a server in its zone.
func (s *service) addServer(server Server) {
	z := s.ensureZone(server.Zone)
	if server.Serving {
		z.serving++
		s.slots += server.Slots
	}
}

func (s *service) ensureZone(name string) *zone {
	if s.zones[name] == nil {
		s.zones[name] = &zone{}
	}
	return s.zones[name]
}

// initializeTargets takes the targets of zones that this primary has none of from what was decided, or else
// from the servers that there are, once these don't become more any longer.
func (s *service) initializeTargets(name string, table *exclusive.Table, now clock.Micros) {
	for subject := range table.Subjects {
		if zoneName, ok := zoneOfSubject(subject, name); ok {
			s.ensureZone(zoneName)
		}
	}
	for zoneName, z := range s.zones {
		if z.peakReachedAt == 0 || z.serving > z.peakServing {
			z.peakServing, z.peakReachedAt = z.serving, now
		}
		decided, isDecided := lastDecidedTarget(table, Subject(name, zoneName))
		switch {
		case z.target > 0:
		case isDecided:
			z.target = decided.Desired
		case now >= z.peakReachedAt+stableCountTime:
			z.target, z.initialTarget = z.peakServing, z.peakServing
		}
	}
}

func (s *service) serving() int64 {
	sum := int64(0)
	for _, z := range s.zones {
		sum += z.serving
	}
	return sum
}

// availableZones are the zones that the servers are spread over: not one whose servers have been missing
// for longer than new ones take.
func (s *service) availableZones(now clock.Micros) map[string]*zone {
	out := maps.Clone(s.zones)
	maps.DeleteFunc(out, func(_ string, z *zone) bool {
		isLost := z.emptySince > 0 && now-z.emptySince >= s.bounds.BootTime+replaceDelay
		return isLost || z.target == 0
	})
	return out
}

// serversPerZone is how many servers each zone has for a total of all.
func (s *service) serversPerZone(total float64, zones map[string]*zone) int64 {
	return s.bounds.Clamp(int64(math.Ceil(total / float64(len(zones)))))
}

// trackEmpty notes since when the zone has had no server.
func (z *zone) trackEmpty(now clock.Micros) {
	switch {
	case z.serving > 0:
		z.emptySince = 0
	case z.emptySince == 0:
		z.emptySince = now
	}
}

// trackBelowTarget has the last act repeated where its servers haven't come.
func (z *zone) trackBelowTarget(record exclusive.Record, bounds config.Autoscale, now clock.Micros) {
	if z.serving >= z.target {
		z.belowTargetSince = 0
		return
	}
	if z.belowTargetSince == 0 {
		z.belowTargetSince = now
	}
	waited := now - z.belowTargetSince
	if waited >= bounds.BootTime+replaceDelay && len(record.Open) == 0 {
		z.belowTargetSince = now
		z.repeatNumber = record.LastNumber + 1
	}
}

// proposeAct is the proposeAct that sets a zone's target; false where there is none to propose.
func (z *zone) proposeAct(service, zoneName string, table *exclusive.Table) (exclusive.Act, bool) {
	subject := Subject(service, zoneName)
	record := table.Record(subject)
	number := record.LastNumber + 1
	decided, isDecided := lastDecidedTarget(table, subject)
	isCurrent := isDecided && decided.Desired == z.target || !isDecided && z.initialTarget == z.target
	if z.target == 0 || isCurrent && z.repeatNumber != number {
		return exclusive.Act{}, false
	}
	content := Target{Service: service, Zone: zoneName, Desired: z.target}.Encode()
	return exclusive.Act{Subject: subject, Number: number, Content: content, Supersedes: true}, true
}

func sumOfTargets(zones map[string]*zone) int64 {
	sum := int64(0)
	for _, z := range zones {
		sum += z.target
	}
	return sum
}

// lastDecidedTarget is the last target that was decided of a subject; false for none.
func lastDecidedTarget(table *exclusive.Table, subject exclusive.Subject) (Target, bool) {
	record := table.Record(subject)
	if len(record.LastContent) == 0 {
		return Target{}, false
	}
	target, err := DecodeTarget(record.LastContent)
	return target, err == nil
}
