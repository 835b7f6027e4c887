package scheduler

import (
	"container/list"

	"tuliprudder/internal/dataplane/mechanism"
)

// Where live requests of a higher level take all that servers have, those of a lower one would never start, and a
// tenant of a lower priority would get nothing for as long as that lasts. So of startsPerPromotion+1 forwarded
// live requests that start while some of lower levels wait, one is the oldest of these (docs/DESIGN.md section 11.1).
const startsPerPromotion = 3

// livePromotion say when a live request of a lower level goes before the others.
type livePromotion struct {
	startsSincePromotion int      // live requests that started before lower ones that wait, since a promoted one did
	isDue                bool     // the next to start is one of a lower level
	promoted             *Request // it was chosen
}

// countLiveStart counts a live request that starts.
func (sc *Scheduler) countLiveStart(r *Request) {
	if !r.isForwardedLive() || sc.IsDisabled(mechanism.LivePromotion) {
		return
	}
	if r.promotedLevel > 0 {
		sc.livePromotion = livePromotion{}
		return
	}
	if sc.queue.oldestLiveBelow(queueLevel(r)) == nil {
		return
	}
	sc.livePromotion.startsSincePromotion++
	sc.livePromotion.isDue = sc.livePromotion.startsSincePromotion >= startsPerPromotion
}

// promoteIfDue puts the oldest live request of the lower levels before those of the highest, when it is its turn. One
// that was dropped meanwhile is replaced by the next.
func (sc *Scheduler) promoteIfDue() {
	isChosen := sc.livePromotion.promoted != nil && sc.livePromotion.promoted.isQueued()
	if !sc.livePromotion.isDue || isChosen {
		return
	}
	highest := sc.queue.highestLiveLevel()
	if oldest := sc.queue.oldestLiveBelow(highest); oldest != nil {
		sc.queue.promoteTo(oldest, highest)
		sc.livePromotion.promoted = oldest
	}
}

// highestLiveLevel is the highest level of a forwarded live request that is queued; 0 where none is.
func (q *requestQueue) highestLiveLevel() int64 {
	highest := int64(0)
	for level, lists := range q.byLevel {
		for _, requests := range lists {
			if firstOf(requests).isForwardedLive() {
				highest = max(highest, level)
			}
		}
	}
	return highest
}

// oldestLiveBelow is the forwarded live request below a level that was submitted first; nil where there is none.
func (q *requestQueue) oldestLiveBelow(level int64) *Request {
	var oldest *Request
	for other, lists := range q.byLevel {
		if other >= level {
			continue
		}
		for _, requests := range lists {
			first := firstOf(requests)
			if first.isForwardedLive() && (oldest == nil || bySubmission(first, oldest) < 0) {
				oldest = first
			}
		}
	}
	return oldest
}

// promoteTo puts a queued request before the others of a higher level.
func (q *requestQueue) promoteTo(r *Request, level int64) {
	q.removeFromList(r)
	r.promotedLevel = level
	q.insertIntoList(r, (*list.List).PushFront)
}

// isForwardedLive tells whether the request is a live one that is forwarded unchanged.
func (r *Request) isForwardedLive() bool {
	return !r.IsBatchItem && r.Route != nil && r.Route.Forward != nil
}
