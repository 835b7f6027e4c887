package scheduler

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scoring"
)

// Assignment is a request's place on its chosen server. Its holder ends it once, with
// Release, Abandon or Rejected; whatever comes after that does nothing.
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
	usage        *poolUsage // of the scaled pool that the server is in; nil: of none
	released     bool
}

// assign counts a request in at its chosen server.
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

// countStart counts the assignment in the pool's usage.
func (a *Assignment) countStart(now clock.Micros) {
	if a.usage == nil {
		return
	}
	a.usage.add(1, now)
	if !a.isBatchItem {
		a.usage.started++
	}
}

// CountLate counts that the request's response came later than its route's targets.
func (a *Assignment) CountLate() {
	if a.usage != nil {
		a.usage.late++
	}
}

// PrefillDone notes that the server has produced the first event: the prompt is
// prefilled, and decoding has begun.
func (a *Assignment) PrefillDone(now clock.Micros) {
	if a.released || a.prefillDone {
		return
	}
	a.server.lastProgressAt = now
	a.endPrefill()
}

// Release ends the assignment and reports on the server. duration is how long the
// request ran, 0 where that is unknown; succeeded is false where the server failed.
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

// recordItemDuration takes how long a batch item ran; 0 where that is unknown.
func (a *Assignment) recordItemDuration(duration clock.Micros) {
	if a.isBatchItem && duration > 0 {
		mean := &a.scheduler.batch.itemDuration
		*mean += (duration - *mean) / latencySmoothing
	}
}

// ServerFailed ends the assignment of a request that the server answered with a failure of its own:
// it can be reached, so it gets no backoff, but it counts as less reliable.
func (a *Assignment) ServerFailed(now clock.Micros) {
	if a.released {
		return
	}
	a.releaseCapacity(now)
	a.scheduler.observeOutcome(a.server, true, now)
	a.server.recordSuccess(0, now)
}

// Abandon ends the assignment without a report on the server: the request ended for
// reasons of its own, such as a caller that disconnected.
func (a *Assignment) Abandon(now clock.Micros) {
	if a.released {
		return
	}
	a.releaseCapacity(now)
}

// Rejected ends the assignment because the server was full: it is given a backoff.
func (a *Assignment) Rejected(now clock.Micros) {
	a.server.backoffUntil = now + a.scheduler.backoff()
	if a.released {
		return
	}
	a.releaseCapacity(now)
	a.server.recordSuccess(0, now)
}

// backoff is how long a server is left alone after a rejection or failure.
func (sc *Scheduler) backoff() clock.Micros {
	if sc.IsDisabled(mechanism.ServerBackoff) {
		return 0
	}
	return sc.settings.ServerBackoff
}

// releaseCapacity gives the place on the server back.
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
