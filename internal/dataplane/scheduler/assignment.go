package scheduler

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scoring"
)

// Assignment is the assignment of a request to a server. Its holder ends it once, with Release,
// ServerFailed, Abandon or Rejected. Later calls have no effect, except that Rejected still gives
// the server a backoff.
type Assignment struct {
	Server     endpoints.Server
	Scores     []scoring.Score // why this server was chosen
	AssignedAt clock.Micros

	isBatchItem  bool
	promptTokens int64
	prefillDone  bool
	interval     *runInterval
	scheduler    *Scheduler
	server       *serverState
	usage        *poolUsage // of the autoscaled pool that the server is in; nil if it is in none
	released     bool
}

// assign assigns a request to a server and updates the counts of both.
func (sc *Scheduler) assign(r *Request, server *serverState, scores []scoring.Score, now clock.Micros) *Assignment {
	sc.Assigned++
	sc.retries.refill()
	sc.assignments.Record(now)
	sc.prefixes.record(r, server.server.Name)
	if r.IsBatchItem {
		sc.runningBatchItems++
		sc.countItemStart(r)
	} else {
		sc.countLiveStart(r)
	}
	assignment := &Assignment{
		Server:       server.server,
		Scores:       scores,
		AssignedAt:   now,
		isBatchItem:  r.IsBatchItem,
		promptTokens: r.PromptTokens,
		interval:     &runInterval{startedAt: now},
		scheduler:    sc,
		server:       server,
		usage:        sc.usageOf(server.scaledPool, now),
	}
	server.add(assignment)
	assignment.countStart(now)
	return assignment
}

// countStart adds the assignment to its pool's usage.
func (a *Assignment) countStart(now clock.Micros) {
	if a.usage == nil {
		return
	}
	a.usage.add(1, now)
	if !a.isBatchItem {
		a.usage.started++
	}
}

// CountLate counts a response that missed its route's latency targets.
func (a *Assignment) CountLate() {
	if a.usage != nil {
		a.usage.late++
	}
}

// PrefillDone records that the server has produced the first event: the prompt is prefilled
// and decoding has begun.
func (a *Assignment) PrefillDone(now clock.Micros) {
	if a.released || a.prefillDone {
		return
	}
	a.server.lastProgressAt = now
	a.endPrefill()
}

// Release ends the assignment and records the outcome for the server. duration is how long the
// request ran, 0 if unknown; succeeded is false if the server failed.
func (a *Assignment) Release(duration clock.Micros, succeeded bool, now clock.Micros) {
	if a.released {
		return
	}
	a.releaseCapacity(now)
	a.scheduler.observeOutcome(a.server, !succeeded, now)
	if succeeded {
		a.server.recordSuccess(duration, now)
		a.recordItemDuration(duration)
		return
	}
	a.server.recordFailure(a.scheduler.backoff(), now)
}

// recordItemDuration adds a batch item's duration to the moving average; 0 means unknown.
func (a *Assignment) recordItemDuration(duration clock.Micros) {
	if a.isBatchItem && duration > 0 {
		mean := &a.scheduler.batch.itemDuration
		*mean += (duration - *mean) / latencySmoothing
	}
}

// ServerFailed ends the assignment of a request to which the server responded with a server error.
// The server is reachable, so it gets no backoff, but the failure lowers its reliability score.
func (a *Assignment) ServerFailed(now clock.Micros) {
	if a.released {
		return
	}
	a.releaseCapacity(now)
	a.scheduler.observeOutcome(a.server, true, now)
	a.server.recordSuccess(0, now)
}

// Abandon ends the assignment without recording an outcome for the server: the request ended
// for another reason, such as a caller that disconnected.
func (a *Assignment) Abandon(now clock.Micros) {
	if a.released {
		return
	}
	a.releaseCapacity(now)
}

// Rejected ends the assignment because the server was full, and gives the server a backoff.
func (a *Assignment) Rejected(now clock.Micros) {
	a.server.backoffUntil = now + a.scheduler.backoff()
	if a.released {
		return
	}
	a.releaseCapacity(now)
	a.server.recordSuccess(0, now)
}

// backoff returns how long no request is assigned to a server after a rejection or failure.
func (sc *Scheduler) backoff() clock.Micros {
	if sc.IsDisabled(mechanism.ServerBackoff) {
		return 0
	}
	return sc.settings.ServerBackoff
}

// releaseCapacity ends the assignment and returns its capacity to the server.
func (a *Assignment) releaseCapacity(now clock.Micros) {
	a.endPrefill()
	a.released = true
	a.interval.endedAt = now
	a.server.ownRequests--
	if a.usage != nil {
		a.usage.add(-1, now)
	}
	if a.isBatchItem {
		a.scheduler.runningBatchItems--
		a.server.runningBatchItems--
	}
	a.scheduler.changed = true
}

func (a *Assignment) endPrefill() {
	if a.prefillDone {
		return
	}
	a.prefillDone = true
	a.scheduler.changed = true
	a.server.prefillTokens -= a.promptTokens
	if a.isBatchItem {
		a.server.prefillingBatchItems--
	}
	a.server.prefilling = slices.DeleteFunc(a.server.prefilling, func(other *Assignment) bool { return other == a })
}
