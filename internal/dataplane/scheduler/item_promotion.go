package scheduler

import (
	"container/list"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
)

// If the batch items at the front of the queue use all batch slots, those behind them would starve. So some of these
// are promoted (docs/DESIGN.md section 12.6). Of onTimeStartsPerOverdue+1 items that start while overdue items wait,
// one is the oldest overdue item. Of startsPerPromotion+1 on-time forwarded items that start while on-time items of
// lower levels wait, one is the oldest of these. Only items that some server can run are promoted.

// onTimeStartsPerOverdue is the number of on-time items that start before an overdue item is promoted.
const onTimeStartsPerOverdue = 8

// itemPromotion decides when a batch item is promoted to the front of the queue of items.
type itemPromotion struct {
	startsSinceOverdue             int      // on-time items that started since the last overdue one
	startsSinceLower               int      // items that started while items of lower levels waited, since the last promoted one started
	promotedOverdue, promotedLower *Request // the items promoted now; none if nil or no longer queued
}

// countItemStart counts the start of a batch item.
func (sc *Scheduler) countItemStart(r *Request) {
	if r.dueState == stateOnTime || r.dueState == statePromotedOnTime {
		sc.itemPromotion.startsSinceOverdue++
	} else {
		sc.itemPromotion.startsSinceOverdue = 0
	}
	switch {
	case r.dueState == statePromotedOnTime:
		sc.itemPromotion.startsSinceLower = 0
	case r.isOnTimeItem() && !sc.IsDisabled(mechanism.ItemPromotion) && sc.queue.hasOnTimeItemBelow(queueLevel(r)):
		sc.itemPromotion.startsSinceLower++
	}
}

// promoteItemsIfDue promotes an overdue item and an item of a lower level when the counts of starts call for it. If a
// promoted item has been dropped, the next one is promoted instead; if there is none, the count restarts.
func (sc *Scheduler) promoteItemsIfDue(now clock.Micros) {
	if sc.itemPromotion.startsSinceOverdue >= onTimeStartsPerOverdue && !isWaiting(sc.itemPromotion.promotedOverdue) {
		sc.itemPromotion.promotedOverdue = sc.oldestRunnableItem(now, func(key listKey, _ *Request) bool { return key.isOverdue })
		if !sc.queue.promoteItem(sc.itemPromotion.promotedOverdue, statePromotedOverdue) {
			sc.itemPromotion.startsSinceOverdue = 0
		}
	}
	if sc.itemPromotion.startsSinceLower >= startsPerPromotion && !isWaiting(sc.itemPromotion.promotedLower) {
		highest := sc.queue.highestOnTimeItemLevel()
		sc.itemPromotion.promotedLower = sc.oldestRunnableItem(now, func(_ listKey, r *Request) bool { return r.isOnTimeItem() && queueLevel(r) < highest })
		if !sc.queue.promoteItem(sc.itemPromotion.promotedLower, statePromotedOnTime) {
			sc.itemPromotion.startsSinceLower = 0
		}
	}
}

func isWaiting(r *Request) bool { return r != nil && r.isQueued() }

// isOnTimeItem reports whether the request is a forwarded batch item that is neither overdue nor promoted.
func (r *Request) isOnTimeItem() bool { return r.isForwardedItem() && r.dueState == stateOnTime }

// oldestRunnableItem returns the batch item that was submitted first among those that some server can run, in the
// lists that isCandidate selects; nil if there is none.
func (sc *Scheduler) oldestRunnableItem(now clock.Micros, isCandidate func(key listKey, first *Request) bool) *Request {
	var oldest *Request
	for _, lists := range sc.queue.byLevel {
		for key, requests := range lists {
			if !isCandidate(key, firstOf(requests)) {
				continue
			}
			first := sc.firstRunnable(requests, now)
			if first != nil && (oldest == nil || bySubmission(first, oldest) < 0) {
				oldest = first
			}
		}
	}
	return oldest
}

// firstRunnable returns the first request of a list that some server can run, nil if there is none.
func (sc *Scheduler) firstRunnable(requests *list.List, now clock.Micros) *Request {
	for e := requests.Front(); e != nil; e = e.Next() {
		r := e.Value.(*Request)
		if sc.hasServerFor(r, now) {
			return r
		}
		if !r.hasServerConstraints() {
			return nil
		}
	}
	return nil
}

// hasServerFor reports whether some server can run a request, regardless of its load.
func (sc *Scheduler) hasServerFor(r *Request, now clock.Micros) bool {
	for _, s := range sc.servers {
		isUsable := !s.server.Removed && !s.server.Draining && s.isHealthy()
		weights := s.weights.versionAt(now)
		hasWeights := r.WantedWeights == 0 || weights == 0 || weights == r.WantedWeights
		if isUsable && hasWeights && sc.serves(r, s.server.Labels) {
			return true
		}
	}
	return false
}

// highestOnTimeItemLevel returns the highest level with a queued on-time forwarded item. Without one it returns a
// level that is below all levels of on-time items.
func (q *requestQueue) highestOnTimeItemLevel() int64 {
	highest := overdueItemLevel(0)
	for level, lists := range q.byLevel {
		for _, requests := range lists {
			if firstOf(requests).isOnTimeItem() {
				highest = max(highest, level)
			}
		}
	}
	return highest
}

// hasOnTimeItemBelow reports whether an on-time forwarded item is queued below a level.
func (q *requestQueue) hasOnTimeItemBelow(level int64) bool {
	for other, lists := range q.byLevel {
		for _, requests := range lists {
			if other < level && firstOf(requests).isOnTimeItem() {
				return true
			}
		}
	}
	return false
}

// promoteItem sets a queued item's state and moves it to the front of the list for that state. It returns false if r
// is nil.
func (q *requestQueue) promoteItem(r *Request, state dueState) bool {
	if r == nil {
		return false
	}
	q.removeFromList(r)
	r.dueState = state
	q.insertIntoList(r, (*list.List).PushFront)
	return true
}
