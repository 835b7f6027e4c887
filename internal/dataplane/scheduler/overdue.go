package scheduler

import (
	"container/list"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
)

// If more batch items are queued than the servers can run in time, submission order would make all of
// them late: each would start when its result is already overdue. So an item that can no longer be
// ready in time is moved behind those that can (docs/DESIGN.md section 12.6). It is promoted
// eventually, see item_promotion.go.

// dueState is a request's state with regard to the time at which its result is due.
type dueState int

const (
	stateOnTime dueState = iota
	stateOverdue
	statePromotedOverdue // was overdue, and is now ahead of the others
	statePromotedOnTime  // on time, of a lower level, and is now ahead of the others
)

// overdueRank is a sort key for lists of requests: those of overdue requests come last.
func overdueRank(r *Request) int {
	if r.dueState == stateOverdue {
		return 1
	}
	return 0
}

// demoteOverdue moves the batch items that would be ready only after their due time behind the others.
func (sc *Scheduler) demoteOverdue(now clock.Micros) {
	if sc.IsDisabled(mechanism.OverdueLast) {
		return
	}
	readyAt := now + sc.batch.itemDuration
	for _, lists := range sc.queue.byLevel {
		for key, requests := range lists {
			if !key.isOverdue {
				sc.queue.demoteFirst(requests, readyAt)
			}
		}
	}
}

// demoteFirst demotes requests from the front of a list, up to the first that is due at readyAt or
// later. Lists are in submission order, so those behind it are due even later, except for retries.
func (q *requestQueue) demoteFirst(requests *list.List, readyAt clock.Micros) {
	for requests.Len() > 0 {
		r := firstOf(requests)
		if r.DueAt == 0 || r.DueAt >= readyAt || r.dueState != stateOnTime {
			return
		}
		q.removeFromList(r)
		r.dueState = stateOverdue
		q.insertIntoList(r, (*list.List).PushBack)
	}
}

// OverdueBatchItems returns the number of queued batch items that can't be ready in time.
func (sc *Scheduler) OverdueBatchItems() int { return sc.queue.overdueCount }
