package scheduler

import (
	"container/list"
	"sort"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/scoring"
	"tuliprudder/internal/errs"
)

// MatchUntilStable looks for as long as looking changes something: the daemon's machine
// calls it at the end of each of its steps.
func (sc *Scheduler) MatchUntilStable(now clock.Micros) {
	for sc.changed {
		sc.Match(now)
	}
}

// Match assigns what can be assigned now, higher ranks first.
func (sc *Scheduler) Match(now clock.Micros) {
	type start struct {
		request    *Request
		assignment *Assignment
	}
	var starts []start
	var dropped []*Request
	sc.changed = false
	for len(sc.byDeadline) > 0 && now >= sc.byDeadline[0].Deadline {
		r := sc.byDeadline[0]
		sc.dequeue(r)
		dropped = append(dropped, r)
		sc.DeadlineExceeded++
	}
	if !sc.IsFresh(now) {
		dropped = append(dropped, sc.dequeueLive()...)
	} else if sc.configuration != nil {
		for _, level := range sc.nonEmptyLevels() {
			for _, queue := range sc.queuesAt(level) {
				sc.assignFromQueue(queue, now, func(r *Request, assignment *Assignment) { starts = append(starts, start{r, assignment}) })
			}
		}
	}
	for _, s := range starts {
		if s.request.MayStart != nil && !s.request.MayStart(now) {
			s.assignment.Release(0, true, now)
			sc.NotPermitted++
			s.request.Drop(errs.New(errs.Rejected, "nothing to do: another store runs it, or it has ended", "no permit to start"), now)
			continue
		}
		s.request.Start(s.assignment, now)
	}
	for _, r := range dropped {
		if r.Deadline == 0 || now < r.Deadline {
			r.Drop(errs.NewWithRetry(errs.NotReady, clock.Second, "ask another daemon, or come back", "this daemon's news are old; the order did not run and will not"), now)
			continue
		}
		r.Drop(errs.NewWithRetry(errs.DeadlineExceeded, sc.RetryAfter(now), "ask again with a later expiry, or when it is less busy", "the order expired in the backlog; it did not run and will not"), now)
	}
}

// assignFromQueue assigns from one queue until no server is left for its route. Only an
// order that has servers to avoid is stepped over.
func (sc *Scheduler) assignFromQueue(queue *list.List, now clock.Micros, start func(*Request, *Assignment)) {
	var next *list.Element
	for e := queue.Front(); e != nil; e = next {
		next = e.Next()
		r := e.Value.(*Request)
		assignment := sc.tryAssign(r, now)
		if assignment == nil {
			if len(r.AvoidedServers) == 0 {
				return
			}
			continue
		}
		sc.dequeue(r)
		r.started = true
		start(r, assignment)
	}
}

// tryAssign assigns an order to the server with the highest sum of scores; ties fall by
// seeded chance. It returns nil where no server may take the order now.
func (sc *Scheduler) tryAssign(r *Request, now clock.Micros) *Assignment {
	best, scores := sc.bestServers(r, now)
	if len(best) == 0 {
		return nil
	}
	return sc.assign(r, sc.servers[best[sc.random.Intn(len(best))]], scores, now)
}

// scoreTolerance is how far apart two sums of scores may be and count as equal.
const scoreTolerance = 1e-9

// bestServers are the servers with the highest sum of scores for an order, and the
// scores of the first of them.
func (sc *Scheduler) bestServers(r *Request, now clock.Micros) (best []string, bestScores []scoring.Score) {
	names, fastest := sc.activeServers()
	limit := sc.utilizationLimit(r, now)
	lastServerOfPrefix := sc.serverByPrefix[prefixKey(r)]
	requirements := scoring.Requirements{Model: r.Route.Model, Adapter: r.Route.Adapter, Weights: r.Route.Weights}
	avoided := r.AvoidedServers
	if r.IsBatchItem && len(avoided) > 0 && !sc.hasOtherServer(r, names) {
		avoided = nil // what was accepted rather goes where it failed than nowhere
	}
	highest := -1.0
	offset := int(sc.serverOffset * float64(len(names)))
	for i, name := range names {
		s := sc.servers[name]
		if !sc.serves(r, s.server.Labels) || avoided[name] >= ExcludeServer {
			continue
		}
		candidate := sc.candidate(s, r, now)
		candidate.UtilizationLimit, candidate.HasPrefix, candidate.FastestLatency = limit, lastServerOfPrefix == name, fastest
		candidate.Rotation = float64((i-offset+len(names))%len(names)) / float64(len(names))
		sum, scores, ok := scoring.Sum(sc.configuration.ScorerWeights, requirements, candidate)
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

// activeServers are the names of the servers that are not gone, in order, and the
// latency of the fastest server; 0 where none is known.
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
	sort.Strings(names)
	return names, fastest
}

// candidate is what is known of a server by itself.
func (sc *Scheduler) candidate(s *serverState, r *Request, now clock.Micros) scoring.Candidate {
	out := scoring.Candidate{Name: s.server.Name, Labels: s.server.Labels, Slots: s.server.Slots, OwnRequests: s.ownRequests, OtherRequests: s.otherRequests,
		Draining: s.server.Draining && !sc.IgnoreStaleness, Healthy: s.isHealthy(), Latency: s.latency,
		BackoffUntil: s.backoffUntil, Now: now, PrefillTokens: s.prefillTokens, UnresponsiveFor: s.unresponsiveFor(now)}
	if r.IsBatchItem && r.Route.Forward != nil {
		out.BatchUsage = &scoring.BatchUsage{Share: sc.batchShare, Window: s.batchWindow.capacity(), Running: s.runningBatchItems, Prefilling: s.prefillingBatchItems}
	}
	return out
}

// assignmentTimeSamples is how many of the latest assignments the pace is taken from.
const assignmentTimeSamples = 64

// assign counts an order in at its chosen server.
func (sc *Scheduler) assign(r *Request, server *serverState, scores []scoring.Score, now clock.Micros) *Assignment {
	server.ownRequests++
	if r.IsBatchItem {
		sc.runningBatchItems++
	}
	interval := &runInterval{startedAt: now}
	server.runIntervals = append(server.runIntervals, interval)
	sc.Assigned++
	sc.retryBudget = min(maxRetryBudget, sc.retryBudget+retryBudgetPerAssignment)
	if sc.assignmentTimes = append(sc.assignmentTimes, now); len(sc.assignmentTimes) > assignmentTimeSamples {
		sc.assignmentTimes = sc.assignmentTimes[1:]
	}
	sc.rememberPrefix(prefixKey(r), server.server.Name)
	assignment := &Assignment{Server: server.server, Scores: scores, AssignedAt: now, isBatchItem: r.IsBatchItem, promptTokens: r.PromptTokens, interval: interval, scheduler: sc, server: server}
	server.prefilling, server.prefillTokens = append(server.prefilling, assignment), server.prefillTokens+assignment.promptTokens
	if r.IsBatchItem {
		server.runningBatchItems++
		server.prefillingBatchItems++
	}
	return assignment
}

func (sc *Scheduler) serves(r *Request, labels config.Labels) bool {
	if r.Pools != nil {
		return sc.configuration.Selects(r.Pools, labels)
	}
	return sc.configuration.Serves(r.Route, labels)
}

// hasOtherServer tells whether there is a sound server for an order besides those it
// avoids; one that is full or rests counts, for it will take orders again.
func (sc *Scheduler) hasOtherServer(r *Request, names []string) bool {
	for _, name := range names {
		if s := sc.servers[name]; r.AvoidedServers[name] < ExcludeServer && s.isHealthy() && !s.server.Draining && sc.serves(r, s.server.Labels) {
			return true
		}
	}
	return false
}

func (sc *Scheduler) rememberPrefix(prefix uint64, server string) {
	if _, known := sc.serverByPrefix[prefix]; !known {
		sc.prefixesByAge.PushBack(prefix)
		if sc.prefixesByAge.Len() > sc.settings.MaxPrefixes {
			oldest := sc.prefixesByAge.Remove(sc.prefixesByAge.Front()).(uint64)
			delete(sc.serverByPrefix, oldest)
		}
	}
	sc.serverByPrefix[prefix] = server
}
