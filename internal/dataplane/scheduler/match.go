package scheduler

import (
	"container/list"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// assignedRequest is a request with the server that was chosen for it.
type assignedRequest struct {
	request    *Request
	assignment *Assignment
}

// MatchUntilStable matches for as long as that changes something. The daemon's state
// machine calls it at the end of each of its steps.
func (sc *Scheduler) MatchUntilStable(now clock.Micros) {
	for sc.changed {
		sc.Match(now)
	}
}

// Match drops what can't start any more and assigns what can be assigned now, the
// highest level first. All choices are made before the first callback runs, because
// callbacks may submit and release.
func (sc *Scheduler) Match(now clock.Micros) {
	sc.changed = false
	expired := sc.queue.removeExpired(now)
	sc.DeadlineExceeded += int64(len(expired))
	var assigned []assignedRequest
	var stale []*Request
	switch {
	case !sc.IsFresh(now):
		// Other daemons lend this one's quota of live requests anew, so these must
		// not stay. Batch items were accepted, and stay queued.
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

// assignQueued assigns from all lists of the queue, the highest level first.
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

// matchPass is one pass through the queue.
type matchPass struct {
	assigned []assignedRequest
	// noBatchSlots are the routes for whose forwarded batch items no server has a place. It is the same
	// at each of their levels, of which there may be one for each tenant.
	noBatchSlots map[*config.Route]bool
}

// assignFromList assigns the requests of one level and route, the oldest first, until no
// server is left for them. A request that not every server may take says nothing about the
// rest, so the list goes on behind it.
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
			// While none of them runs, one that has waited long may start all the same (isStarving).
			pass.noBatchSlots[r.Route] = r.isForwardedItem() && sc.runningBatchItems > 0
			return
		}
		sc.queue.remove(r)
		r.started = true
		pass.assigned = append(pass.assigned, assignedRequest{request: r, assignment: assignment})
	}
}

// startAssigned starts the assigned requests that may start now.
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
