package scheduler

import (
	"container/list"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
)

// Where items that go first take all places, those behind them would never start. So they have turns
// (docs/DESIGN.md section 12.6): of onTimePerOverdue+1 items that start while overdue ones wait, one is the oldest
// of these, and of startsPerPromotion+1 forwarded items that start in time while some of lower levels wait, one is
// the oldest of these. Only items that some server can run take a turn.

// onTimeStartsPerOverdue is how many items that can be ready in time go before one that can't.
const onTimeStartsPerOverdue = 8

// itemPromotion say when an item goes before the others.
type itemPromotion struct {
	startsSinceOverdue             int      // items that started in time since an overdue one did
	startsSinceLower               int      // items that started before lower ones that wait, since one of those did
	promotedOverdue, promotedLower *Request // those whose turn it is; nil or not queued: none was chosen
}

// countItemStart counts a batch item that starts.
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

// promoteItemsIfDue puts the items whose turn it is before the others. One that was dropped meanwhile is replaced by
// the next; where there is none, the turn passes.
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

// isOnTimeItem tells whether the request is a forwarded batch item that goes by its level, and is not overdue.
func (r *Request) isOnTimeItem() bool { return r.isForwardedItem() && r.dueState == stateOnTime }

// oldestRunnableItem is the batch item that was submitted first, of those in the lists that are wanted, and that some server
// can run; nil where there is none.
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

// firstRunnable is the first request of a list that some server can run; nil where there is none.
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

// hasServerFor tells whether there is a server for a request, however busy it is.
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

// highestOnTimeItemLevel is the highest level of a forwarded item that waits in time.
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

// hasOnTimeItemBelow tells whether a forwarded item waits in time below a level.
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

// promoteItem puts a queued item before the others; false where it is nil.
func (q *requestQueue) promoteItem(r *Request, state dueState) bool {
	if r == nil {
		return false
	}
	q.removeFromList(r)
	r.dueState = state
	q.insertIntoList(r, (*list.List).PushFront)
	return true
}
