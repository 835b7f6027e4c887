package scheduler

import (
	"maps"
	"math"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
)

const (
	// loadHalvingTime is after how long what a server told of its load counts half: a queue is gone soon.
	loadHalvingTime = 250 * clock.Millisecond
	// outcomeHalvingTime is after how long a request's outcome counts half.
	outcomeHalvingTime = 2 * clock.Second
	// priorOutcomes is how many requests a server is taken to have served well before any was seen.
	priorOutcomes = 2
)

// Observation is what a daemon saw of a server since it last told other daemons: the latest load that
// the server told it, and how its requests there ended.
type Observation struct {
	Server string
	// Load is nil where the server told none.
	Load *endpoints.ReportedLoad
	// At is when it was told.
	At clock.Micros
	// Succeeded and Failed count requests that the server answered, and those that it failed.
	Succeeded, Failed int
}

// outcomeRate is the share of a server's requests that fail, with older ones counting less.
type outcomeRate struct {
	succeeded, failed float64
	decayedAt         clock.Micros // up to when they have decayed
}

// add counts outcomes.
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

// failureRate is from 0 to 1; 0 where nothing was seen lately.
func (r *outcomeRate) failureRate(now clock.Micros) float64 {
	r.decay(now)
	return r.failed / (r.succeeded + r.failed + priorOutcomes)
}

// decayFactor is what is left of 1 after a while.
func decayFactor(elapsed, halvingTime clock.Micros) float64 {
	return math.Exp2(-float64(max(0, elapsed)) / float64(halvingTime))
}

// ObserveLoad takes the load that a server told this daemon with an answer; nil is none.
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

// observeOutcome takes how a request of this daemon's ended on a server.
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

// TakeObservations returns what this daemon saw of servers since the last call, by the servers'
// names, for other daemons.
func (sc *Scheduler) TakeObservations() []Observation {
	var out []Observation
	for _, name := range slices.Sorted(maps.Keys(sc.observations)) {
		out = append(out, *sc.observations[name])
	}
	clear(sc.observations)
	return out
}

// ReceiveObservation takes what another daemon saw of a server.
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

// observeLoad takes a load that a server told some daemon, unless a later one is known.
func (s *serverState) observeLoad(load endpoints.ReportedLoad, at clock.Micros) {
	if at > s.reportedAt {
		s.reportedLoad, s.reportedAt = load, at
	}
}

// expectedWaiting is how many requests wait on the server by what it told: the longer ago that was,
// the less it counts.
func (s *serverState) expectedWaiting(now clock.Micros) float64 {
	return float64(s.reportedLoad.Waiting) * decayFactor(now-s.reportedAt, loadHalvingTime)
}
