package scheduler

import (
	"container/list"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// assignedRequest is a request with its assignment.
type assignedRequest struct {
	request    *Request
	assignment *Assignment
}

// MatchUntilStable calls Match until nothing changes any more. The daemon's state machine
// calls it at the end of each step.
func (sc *Scheduler) MatchUntilStable(now clock.Micros) {
	for sc.changed {
		sc.Match(now)
	}
}

// Match drops requests that can no longer start and assigns those for which a server has
// capacity, highest level first. All assignments are made before the first callback runs,
// because callbacks may submit requests and release assignments.
func (sc *Scheduler) Match(now clock.Micros) {
	sc.changed = false
	expired := sc.queue.removeExpired(now)
	sc.DeadlineExceeded += int64(len(expired))
	var assigned []assignedRequest
	var stale []*Request
	switch {
	case !sc.IsFresh(now):
		// Other daemons may use this daemon's quota of live requests by now, so these must
		// not stay queued. Batch items stay queued because they were accepted.
		stale = sc.queue.removeLive()
	case sc.configuration != nil:
		assigned = sc.assignQueued(now)
	}
	sc.startAssigned(assigned, now)
	for _, r := range expired {
		sc.countRejected(r, now)
		r.Drop(errDeadlineExceeded(sc.RetryAfter(now)), now)
	}
	for _, r := range stale {
		r.Drop(errStale(), now)
	}
}

// assignQueued assigns requests from all lists of the queue, highest level first.
func (sc *Scheduler) assignQueued(now clock.Micros) []assignedRequest {
	sc.demoteOverdue(now)
	sc.promoteIfDue()
	sc.promoteItemsIfDue(now)
	pass := &matchPass{noBatchSlots: map[*config.Route]bool{}}
	for _, level := range sc.queue.nonEmptyLevels() {
		for _, requests := range sc.queue.listsAt(level) {
			sc.assignFromList(pass, requests, now)
		}
	}
	return pass.assigned
}

// matchPass is the state of one pass over the queue.
type matchPass struct {
	assigned []assignedRequest
	// noBatchSlots holds the routes for whose forwarded batch items no server has a free batch slot.
	// This is the same at all levels of a route, of which there may be one per tenant, so that the
	// other levels need not be tried.
	noBatchSlots map[*config.Route]bool
}

// assignFromList assigns the requests of one level and route, oldest first, until no server can
// take one. A request with server constraints for which there is no server is skipped, because
// the requests behind it may still be assignable.
func (sc *Scheduler) assignFromList(pass *matchPass, requests *list.List, now clock.Micros) {
	var next *list.Element
	for e := requests.Front(); e != nil; e = next {
		next = e.Next()
		r := e.Value.(*Request)
		if pass.noBatchSlots[r.Route] && r.isForwardedItem() && !r.hasServerConstraints() {
			return
		}
		assignment := sc.assignToBest(r, now)
		if assignment == nil {
			if r.hasServerConstraints() {
				continue
			}
			// While no batch item runs, a starving one may still start at another level (isStarving).
			pass.noBatchSlots[r.Route] = r.isForwardedItem() && sc.runningBatchItems > 0
			return
		}
		sc.queue.remove(r)
		r.started = true
		pass.assigned = append(pass.assigned, assignedRequest{request: r, assignment: assignment})
	}
}

// startAssigned starts the assigned requests, except those whose MayStart returns false.
func (sc *Scheduler) startAssigned(assigned []assignedRequest, now clock.Micros) {
	for _, a := range assigned {
		if a.request.MayStart != nil && !a.request.MayStart(now) {
			a.assignment.Release(0, true, now)
			sc.NotPermitted++
			a.request.Drop(errNotPermitted(), now)
			continue
		}
		a.request.Start(a.assignment, now)
	}
}
