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
	// hasServed: it has had something to run under this primary, or nothing for long.
	hasServed bool
	raisedAt  clock.Micros
	loweredAt clock.Micros
}

// zone is a service in a zone.
type zone struct {
	target int64 // 0: none is known
	// initial is the number of servers that the zone had before any was decided.
	initial int64
	// serving is how many of its servers serve.
	serving int64
	// highest is the highest number of servers that served while no target was known, and grownAt is when
	// that was reached.
	highest int64
	grownAt clock.Micros
	// emptySince is since when it has had no server; 0: it has some.
	emptySince clock.Micros
	// missingSince is since when it has had fewer servers than its target; 0: it has as many.
	missingSince clock.Micros
	// repeated is the number of the act that has to be repeated, as its servers haven't come; 0: none.
	repeated uint64
}

// addServer counts a server in its zone.
func (s *service) addServer(server Server) {
	z := s.zoneOf(server.Zone)
	if server.Serving {
		z.serving++
		s.slots += server.Slots
	}
}

func (s *service) zoneOf(name string) *zone {
	if s.zones[name] == nil {
		s.zones[name] = &zone{}
	}
	return s.zones[name]
}

// takeDecided takes the targets of zones that this primary has none of from what was decided, or else
// from the servers that there are, once these don't become more any longer.
func (s *service) takeDecided(name string, table *exclusive.Table, now clock.Micros) {
	for subject := range table.Subjects {
		if zoneName, ok := zoneOfSubject(subject, name); ok {
			s.zoneOf(zoneName)
		}
	}
	for zoneName, z := range s.zones {
		if z.grownAt == 0 || z.serving > z.highest {
			z.highest, z.grownAt = z.serving, now
		}
		decided, isDecided := decidedTarget(table, Subject(name, zoneName))
		switch {
		case z.target > 0:
		case isDecided:
			z.target = decided.Desired
		case now >= z.grownAt+growthTime:
			z.target, z.initial = z.highest, z.highest
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

// perZone is how many servers each zone has for a total of all.
func (s *service) perZone(total float64, zones map[string]*zone) int64 {
	return s.bounds.Clamp(int64(math.Ceil(total / float64(len(zones)))))
}

// watchEmpty notes since when the zone has had no server.
func (z *zone) watchEmpty(now clock.Micros) {
	switch {
	case z.serving > 0:
		z.emptySince = 0
	case z.emptySince == 0:
		z.emptySince = now
	}
}

// watchMissing has the last act repeated where its servers haven't come.
func (z *zone) watchMissing(record exclusive.Record, bounds config.Autoscale, now clock.Micros) {
	if z.serving >= z.target {
		z.missingSince = 0
		return
	}
	if z.missingSince == 0 {
		z.missingSince = now
	}
	waited := now - z.missingSince
	if waited >= bounds.BootTime+replaceDelay && len(record.Open) == 0 {
		z.missingSince = now
		z.repeated = record.LastNumber + 1
	}
}

// act is the act that sets a zone's target; false where there is none to propose.
func (z *zone) act(service, zoneName string, table *exclusive.Table) (exclusive.Act, bool) {
	subject := Subject(service, zoneName)
	record := table.Record(subject)
	number := record.LastNumber + 1
	decided, isDecided := decidedTarget(table, subject)
	isInForce := isDecided && decided.Desired == z.target || !isDecided && z.initial == z.target
	if z.target == 0 || isInForce && z.repeated != number {
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

// decidedTarget is the last target that was decided of a subject; false for none.
func decidedTarget(table *exclusive.Table, subject exclusive.Subject) (Target, bool) {
	record := table.Record(subject)
	if len(record.LastContent) == 0 {
		return Target{}, false
	}
	target, err := DecodeTarget(record.LastContent)
	return target, err == nil
}
