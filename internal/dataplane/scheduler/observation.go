package scheduler

import (
	"maps"
	"math"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

const (
	// loadHalvingTime is the half-life of a load that a server reported. It is short because a queue soon drains.
	loadHalvingTime = 250 * clock.Millisecond
	// outcomeHalvingTime is the half-life of a request's outcome.
	outcomeHalvingTime = 2 * clock.Second
	// priorOutcomes is the number of assumed successes in a server's failure rate, so that few outcomes weigh little.
	priorOutcomes = 2
)

// Observation is what a daemon observed of a server since it last sent its observations to other daemons:
// the latest load that the server reported to it, and the outcomes of its requests there.
type Observation struct {
	Server string
	// Load is nil if the server reported none.
	Load *endpoints.ReportedLoad
	// At is when the load was reported.
	At clock.Micros
	// Succeeded and Failed count the requests that succeeded and failed on the server.
	Succeeded, Failed int
}

// outcomeRate holds exponentially decaying counts of a server's outcomes.
type outcomeRate struct {
	succeeded, failed float64
	decayedAt         clock.Micros // the time up to which the counts have decayed
}

// add adds outcomes to the counts.
func (r *outcomeRate) add(succeeded, failed int, now clock.Micros) {
	r.decay(now)
	r.succeeded += float64(succeeded)
	r.failed += float64(failed)
}

func (r *outcomeRate) decay(now clock.Micros) {
	factor := decayFactor(now-r.decayedAt, outcomeHalvingTime)
	r.succeeded *= factor
	r.failed *= factor
	r.decayedAt = now
}

// failureRate returns the fraction of requests that fail, 0 if there were no recent outcomes.
func (r *outcomeRate) failureRate(now clock.Micros) float64 {
	r.decay(now)
	return r.failed / (r.succeeded + r.failed + priorOutcomes)
}

// decayFactor returns the factor by which a value decays exponentially within elapsed.
func decayFactor(elapsed, halvingTime clock.Micros) float64 {
	return math.Exp2(-float64(max(0, elapsed)) / float64(halvingTime))
}

// ObserveLoad records the load that a server reported to this daemon with a response; nil means none.
func (sc *Scheduler) ObserveLoad(name string, load *endpoints.ReportedLoad, now clock.Micros) {
	s := sc.servers[name]
	if s == nil || load == nil {
		return
	}
	s.observeLoad(*load, now)
	unsent := sc.unsentObservation(name)
	unsent.Load, unsent.At = load, now
	sc.changed = true
}

// observeOutcome records the outcome of one of this daemon's requests on a server.
func (sc *Scheduler) observeOutcome(s *serverState, failed bool, now clock.Micros) {
	unsent := sc.unsentObservation(s.server.Name)
	if failed {
		s.outcomes.add(0, 1, now)
		unsent.Failed++
		return
	}
	s.outcomes.add(1, 0, now)
	unsent.Succeeded++
}

func (sc *Scheduler) unsentObservation(name string) *Observation {
	if sc.observations[name] == nil {
		sc.observations[name] = &Observation{Server: name}
	}
	return sc.observations[name]
}

// TakeObservations returns what this daemon has observed of servers since the last call, sorted by
// server name, to be sent to other daemons.
func (sc *Scheduler) TakeObservations() []Observation {
	var out []Observation
	for _, name := range slices.Sorted(maps.Keys(sc.observations)) {
		out = append(out, *sc.observations[name])
	}
	clear(sc.observations)
	return out
}

// ReceiveObservation records another daemon's observation of a server.
func (sc *Scheduler) ReceiveObservation(observation Observation, now clock.Micros) {
	s := sc.servers[observation.Server]
	if s == nil {
		return
	}
	if observation.Load != nil {
		s.observeLoad(*observation.Load, observation.At)
	}
	s.outcomes.add(observation.Succeeded, observation.Failed, now)
	sc.changed = true
}

// observeLoad records a load that the server reported to any daemon, unless a later one is known.
func (s *serverState) observeLoad(load endpoints.ReportedLoad, at clock.Micros) {
	if at > s.reportedAt {
		s.reportedLoad, s.reportedAt = load, at
	}
}

// expectedWaiting returns the number of requests waiting on the server by its last reported load,
// which decays with its age.
func (s *serverState) expectedWaiting(now clock.Micros) float64 {
	return float64(s.reportedLoad.Waiting) * decayFactor(now-s.reportedAt, loadHalvingTime)
}
