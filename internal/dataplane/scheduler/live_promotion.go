package scheduler

import (
	"container/list"

	"tuliprudder/internal/dataplane/mechanism"
)

// While live requests of a higher level use all capacity of the servers, those of a lower level would never start,
// and tenants of a lower priority would starve. So of startsPerPromotion+1 forwarded live requests that start while
// some of lower levels wait, one is the oldest of these (docs/DESIGN.md section 11.1).
const startsPerPromotion = 3

// livePromotion decides when a live request of a lower level is promoted.
type livePromotion struct {
	startsSincePromotion int      // live requests that started while lower levels waited, since the last promoted one
	isDue                bool     // the next request to start is one of a lower level
	promoted             *Request // the request chosen for that; nil: none yet
}

// countLiveStart counts the start of a live request.
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

// promoteIfDue moves the oldest live request of the lower levels ahead of those of the highest level, if a promotion
// is due. If the promoted request has been dropped, the next one is promoted instead.
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

// highestLiveLevel returns the highest level with a queued forwarded live request, 0 if there is none.
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

// oldestLiveBelow returns the forwarded live request below a level that was submitted first, nil if there is none.
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

// promoteTo moves a queued request to the front of a higher level.
func (q *requestQueue) promoteTo(r *Request, level int64) {
	q.removeFromList(r)
	r.promotedLevel = level
	q.insertIntoList(r, (*list.List).PushFront)
}

// isForwardedLive reports whether the request is a live request that is forwarded unchanged.
func (r *Request) isForwardedLive() bool {
	return !r.IsBatchItem && r.Route != nil && r.Route.Forward != nil
}
