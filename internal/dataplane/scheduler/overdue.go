package scheduler

import (
	"container/list"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/mechanism"
)

// Where more batch items wait than servers can run in time, the order of submission would make all of
// them late: each runs only when its result is overdue already. So an item that can't be ready in time
// any more goes behind those that can (docs/DESIGN.md section 12.6). It isn't left for ever, see
// item_turns.go.

// dueState tells how a request stands with the time that its result is due.
type dueState int

const (
	stateOnTime dueState = iota
	stateOverdue
	statePromotedOverdue // was overdue, and goes before the others now
	statePromotedOnTime  // is in time, of a lower level, and goes before the others now
)

// overdueRank orders lists of requests: those of overdue ones are last.
func overdueRank(r *Request) int {
	if r.dueState == stateOverdue {
		return 1
	}
	return 0
}

// demoteOverdue puts the batch items behind the others that would be ready only after they are due.
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

// demoteFirst demotes the first requests of a list, up to one that is due after readyAt. Lists are in
// the order of submission, so those behind it are due later still, but for retries.
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

// OverdueBatchItems counts the queued batch items that can't be ready in time.
func (sc *Scheduler) OverdueBatchItems() int { return sc.queue.overdueCount }
