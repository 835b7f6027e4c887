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

// onTimePerOverdue is how many items that can be ready in time go before one that can't.
const onTimePerOverdue = 8

// itemTurns say when an item goes before the others.
type itemTurns struct {
	startsBeforeOverdue int      // items that started in time since an overdue one did
	startsBeforeLower   int      // items that started before lower ones that wait, since one of those did
	overdue, lower      *Request // those whose turn it is; nil or not queued: none was chosen
}

// countItemStart counts a batch item that starts.
func (sc *Scheduler) countItemStart(r *Request) {
	if r.overdue == isOnTime || r.overdue == isAdvanced {
		sc.turns.startsBeforeOverdue++
	} else {
		sc.turns.startsBeforeOverdue = 0
	}
	switch {
	case r.overdue == isAdvanced:
		sc.turns.startsBeforeLower = 0
	case r.isInTime() && !sc.Disables(mechanism.ItemPromotion) && sc.queue.hasItemBelow(queueLevel(r)):
		sc.turns.startsBeforeLower++
	}
}

// promoteItemsIfDue puts the items whose turn it is before the others. One that was dropped meanwhile is replaced by
// the next; where there is none, the turn passes.
func (sc *Scheduler) promoteItemsIfDue(now clock.Micros) {
	if sc.turns.startsBeforeOverdue >= onTimePerOverdue && !isWaiting(sc.turns.overdue) {
		sc.turns.overdue = sc.oldestItem(now, func(key listKey, _ *Request) bool { return key.isOverdue })
		if !sc.queue.promoteItem(sc.turns.overdue, isPromoted) {
			sc.turns.startsBeforeOverdue = 0
		}
	}
	if sc.turns.startsBeforeLower >= startsPerPromotion && !isWaiting(sc.turns.lower) {
		highest := sc.queue.highestItemLevel()
		sc.turns.lower = sc.oldestItem(now, func(_ listKey, r *Request) bool { return r.isInTime() && queueLevel(r) < highest })
		if !sc.queue.promoteItem(sc.turns.lower, isAdvanced) {
			sc.turns.startsBeforeLower = 0
		}
	}
}

func isWaiting(r *Request) bool { return r != nil && r.isQueued() }

// isInTime tells whether the request is a forwarded batch item that goes by its level, and is not overdue.
func (r *Request) isInTime() bool { return r.isForwardedItem() && r.overdue == isOnTime }

// oldestItem is the batch item that was submitted first, of those in the lists that are wanted, and that some server
// can run; nil where there is none.
func (sc *Scheduler) oldestItem(now clock.Micros, isWanted func(key listKey, first *Request) bool) *Request {
	var oldest *Request
	for _, lists := range sc.queue.byLevel {
		for key, requests := range lists {
			if !isWanted(key, firstOf(requests)) {
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
		if !r.isParticular() {
			return nil
		}
	}
	return nil
}

// hasServerFor tells whether there is a server for a request, however busy it is.
func (sc *Scheduler) hasServerFor(r *Request, now clock.Micros) bool {
	for _, s := range sc.servers {
		isUsable := !s.server.Removed && !s.server.Draining && s.isHealthy()
		weights := s.weights.at(now)
		hasWeights := r.WantedWeights == 0 || weights == 0 || weights == r.WantedWeights
		if isUsable && hasWeights && sc.serves(r, s.server.Labels) {
			return true
		}
	}
	return false
}

// highestItemLevel is the highest level of a forwarded item that waits in time.
func (q *requestQueue) highestItemLevel() int64 {
	highest := overdueItemLevel(0)
	for level, lists := range q.byLevel {
		for _, requests := range lists {
			if firstOf(requests).isInTime() {
				highest = max(highest, level)
			}
		}
	}
	return highest
}

// hasItemBelow tells whether a forwarded item waits in time below a level.
func (q *requestQueue) hasItemBelow(level int64) bool {
	for other, lists := range q.byLevel {
		for _, requests := range lists {
			if other < level && firstOf(requests).isInTime() {
				return true
			}
		}
	}
	return false
}

// promoteItem puts a queued item before the others; false where it is nil.
func (q *requestQueue) promoteItem(r *Request, state overdueState) bool {
	if r == nil {
		return false
	}
	q.unlist(r)
	r.overdue = state
	q.enlist(r, (*list.List).PushFront)
	return true
}
