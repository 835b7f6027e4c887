package autoscale

import (
	"maps"
	"math"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/exclusive"
)

// service is a pool whose number of servers is scaled.
type service struct {
	bounds  config.Autoscale
	zones   map[string]*zone // zones that it runs in, by name
	slots   int              // of all serving servers
	history history
	// hasHadLoad: the service has had load under this primary, or the primary has served for idleDelay.
	hasHadLoad bool
	raisedAt   clock.Micros
	loweredAt  clock.Micros
}

// zone is the state of a service in one zone.
type zone struct {
	target int64 // 0: not known yet
	// initialTarget is the target derived from the running servers, for a zone without a decided target.
	initialTarget int64
	// serving is the number of serving servers.
	serving int64
	// peakServing is the highest number of serving servers so far, and peakReachedAt is when it was
	// reached. It becomes the target of a zone without a decided one.
	peakServing   int64
	peakReachedAt clock.Micros
	// emptySince is the time since which the zone has had no serving server; 0: it has some.
	emptySince clock.Micros
	// belowTargetSince is the time since which the zone has had fewer servers than its target; 0: it has enough.
	belowTargetSince clock.Micros
	// repeatNumber is the number of the act that repeats the last one, whose servers have not appeared; 0: none.
	repeatNumber uint64
}

// addServer adds a server to the counts of its zone and service.
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

// initializeTargets sets the targets of zones for which this primary has none: to the last decided target, or else to
// the peak number of serving servers once that has stopped growing.
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

// availableZones returns the zones over which the servers are spread. It leaves out zones without a target, and
// zones that have had no server for longer than replacements take to boot.
func (s *service) availableZones(now clock.Micros) map[string]*zone {
	out := maps.Clone(s.zones)
	maps.DeleteFunc(out, func(_ string, z *zone) bool {
		isLost := z.emptySince > 0 && now-z.emptySince >= s.bounds.BootTime+replaceDelay
		return isLost || z.target == 0
	})
	return out
}

// serversPerZone returns the number of servers of each zone that yields the given total.
func (s *service) serversPerZone(total float64, zones map[string]*zone) int64 {
	return s.bounds.Clamp(int64(math.Ceil(total / float64(len(zones)))))
}

// trackEmpty records since when the zone has had no serving server.
func (z *zone) trackEmpty(now clock.Micros) {
	switch {
	case z.serving > 0:
		z.emptySince = 0
	case z.emptySince == 0:
		z.emptySince = now
	}
}

// trackBelowTarget schedules a repetition of the last act if its servers have not appeared in time.
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

// proposeAct returns the act that sets the target of the zone; false if there is none to propose.
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

// lastDecidedTarget returns the last decided target of a subject; false if there is none.
func lastDecidedTarget(table *exclusive.Table, subject exclusive.Subject) (Target, bool) {
	record := table.Record(subject)
	if len(record.LastContent) == 0 {
		return Target{}, false
	}
	target, err := DecodeTarget(record.LastContent)
	return target, err == nil
}
