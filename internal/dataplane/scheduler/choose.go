package scheduler

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scoring"
)

// scoreTolerance is the difference up to which two sums of scores count as equal, because of
// floating-point rounding.
const scoreTolerance = 1e-9

// selection holds the inputs to the choice of a server for one request that are the same for
// all servers.
type selection struct {
	request          *Request
	now              clock.Micros
	servers          []string     // names of the servers that are not removed, sorted
	fastestLatency   clock.Micros // of all servers; 0: unknown
	utilizationLimit float64
	prefixServer     string // the server that ran the request's prefix last
	requirements     scoring.Requirements
	avoided          map[string]int // failures of this request, by server
	rotationStart    int            // index in servers at which this daemon's rotation begins
}

// assignToBest assigns a request to the server with the highest sum of scores; ties are broken
// by the seeded random source. It returns nil if no server may take the request now.
func (sc *Scheduler) assignToBest(r *Request, now clock.Micros) *Assignment {
	best, scores := sc.bestServers(sc.newSelection(r, now))
	if len(best) == 0 {
		return nil
	}
	chosen := best[sc.random.Intn(len(best))]
	return sc.assign(r, sc.servers[chosen], scores, now)
}

func (sc *Scheduler) newSelection(r *Request, now clock.Micros) selection {
	servers, fastest := sc.activeServers()
	avoided := r.AvoidedServers
	if sc.IsDisabled(mechanism.RetryAvoidance) {
		avoided = nil
	}
	if r.IsBatchItem && len(avoided) > 0 && !sc.hasOtherServer(r, servers) {
		// An accepted item is retried on a server where it failed rather than not at all.
		avoided = nil
	}
	return selection{
		request:          r,
		now:              now,
		servers:          servers,
		fastestLatency:   fastest,
		utilizationLimit: sc.utilizationLimit(r, now),
		prefixServer:     sc.prefixes.lastServer(r),
		requirements:     scoring.Requirements{Model: r.Route.Model, Adapter: r.Route.Adapter, Weights: r.Route.Weights, WeightVersion: r.WantedWeights},
		avoided:          avoided,
		rotationStart:    int(sc.rotationOffset * float64(len(servers))),
	}
}

// bestServers returns the servers with the highest sum of scores, sorted by name, and the
// scores of the first of them.
func (sc *Scheduler) bestServers(s selection) (best []string, bestScores []scoring.Score) {
	highest := -1.0 // lower than any sum
	for i, name := range s.servers {
		server := sc.servers[name]
		if s.avoided[name] >= MaxFailuresPerServer || !sc.serves(s.request, server.server.Labels) {
			continue
		}
		sum, scores, ok := scoring.Sum(sc.scorerWeights, s.requirements, sc.candidate(s, server, i))
		if !ok {
			continue
		}
		if sum > highest+scoreTolerance {
			highest, best, bestScores = sum, best[:0], scores
		}
		if sum >= highest-scoreTolerance {
			best = append(best, name)
		}
	}
	return best, bestScores
}

// candidate returns the scorers' input for the server at an index of the selection.
func (sc *Scheduler) candidate(s selection, server *serverState, index int) scoring.Candidate {
	count := len(s.servers)
	out := scoring.Candidate{
		Name:             server.server.Name,
		Labels:           server.server.Labels,
		Slots:            server.server.Slots,
		OwnRequests:      server.ownRequests,
		OtherRequests:    server.otherRequests,
		WaitingRequests:  server.expectedWaiting(s.now),
		UtilizationLimit: s.utilizationLimit,
		Draining:         server.server.Draining && !sc.InjectedFaults.IgnoreStaleness,
		Healthy:          server.isHealthy(),
		WeightVersion:    server.weights.versionAt(s.now),
		HasPrefix:        s.prefixServer == server.server.Name,
		FailureRate:      server.outcomes.failureRate(s.now),
		SameZone:         sc.zone != "" && server.server.Labels[endpoints.LabelZone] == sc.zone,
		Latency:          server.latency,
		FastestLatency:   s.fastestLatency,
		BackoffUntil:     server.backoffUntil,
		Now:              s.now,
		PrefillTokens:    server.prefillTokens,
		UnresponsiveFor:  server.unresponsiveFor(s.now),
		Rotation:         float64((index-s.rotationStart+count)%count) / float64(count),
	}
	if s.request.isForwardedItem() {
		out.BatchUsage = sc.batchUsage(s.request, server)
	}
	return out
}

func (sc *Scheduler) batchUsage(r *Request, server *serverState) *scoring.BatchUsage {
	out := &scoring.BatchUsage{Limit: sc.batchLimit(server.server), Running: server.runningBatchItems}
	if r.hasServerConstraints() {
		out.Limit = min(sc.freeBatchSlots(server.server), sc.connectionLimit(server.server))
	}
	if !sc.IsDisabled(mechanism.BatchPrefillLimit) {
		out.Prefilling = server.prefillingBatchItems
	}
	return out
}

// activeServers returns the sorted names of the servers that are not removed, and the latency
// of the fastest server, 0 if none is known.
func (sc *Scheduler) activeServers() (names []string, fastest clock.Micros) {
	names = make([]string, 0, len(sc.servers))
	for name, s := range sc.servers {
		if !s.server.Removed {
			names = append(names, name)
		}
		if s.latency > 0 && (fastest == 0 || s.latency < fastest) {
			fastest = s.latency
		}
	}
	slices.Sort(names)
	return names, fastest
}

// serves reports whether a server with these labels is in the request's pools.
func (sc *Scheduler) serves(r *Request, labels config.Labels) bool {
	if r.Pools != nil {
		return sc.configuration.Selects(r.Pools, labels)
	}
	return sc.configuration.Serves(r.Route, labels)
}

// hasOtherServer reports whether there is a healthy server for a request besides those
// that it avoids. A server that is full or in backoff counts, because it will accept requests
// again.
func (sc *Scheduler) hasOtherServer(r *Request, names []string) bool {
	return slices.ContainsFunc(names, func(name string) bool {
		s := sc.servers[name]
		isUsable := s.isHealthy() && !s.server.Draining
		return isUsable && !r.excludes(name) && sc.serves(r, s.server.Labels)
	})
}
