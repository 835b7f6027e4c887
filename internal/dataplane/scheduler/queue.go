package scheduler

import (
	"cmp"
	"container/heap"
	"container/list"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// requestQueue holds the queued requests. Each is in the list of its level and route, in
// submission order, and in byDeadline if it has a deadline; weights and length count the same
// requests. There is a list per route because requests of one route can run on the same
// servers: if there is no server for the first, the rest need not be tried.
type requestQueue struct {
	byLevel      map[int64]map[listKey]*list.List // no list is empty
	byDeadline   deadlineHeap
	weights      map[string]int // queued weight by tenant; tenants without any have no entry
	length       int
	overdueCount int // number of requests in lists of overdue requests
	lastSeq      uint64
}

// listKey identifies a list within a level.
type listKey struct {
	route     *config.Route
	isOverdue bool
}

func keyOf(r *Request) listKey { return listKey{route: r.Route, isOverdue: r.dueState == stateOverdue} }

func newRequestQueue() requestQueue {
	return requestQueue{byLevel: map[int64]map[listKey]*list.List{}, weights: map[string]int{}}
}

// submit appends a new request to the queue.
func (q *requestQueue) submit(r *Request) {
	q.lastSeq++
	r.seq = q.lastSeq
	q.add(r)
}

// add appends a request to the list of its level and route.
func (q *requestQueue) add(r *Request) {
	q.insertIntoList(r, (*list.List).PushBack)
	r.started = false
	r.removed = false
	if r.Deadline > 0 {
		heap.Push(&q.byDeadline, r)
	}
	q.length++
	q.weights[r.Tenant] += r.queueWeight()
}

// insertIntoList adds a request to its list with push, (*list.List).PushBack or PushFront.
func (q *requestQueue) insertIntoList(r *Request, push func(l *list.List, value any) *list.Element) {
	r.queueElement = push(q.listFor(r), r)
	if r.dueState == stateOverdue {
		q.overdueCount++
	}
}

// removeFromList removes a request from its list, and the list if it is empty then.
func (q *requestQueue) removeFromList(r *Request) {
	lists := q.byLevel[queueLevel(r)]
	requests := lists[keyOf(r)]
	requests.Remove(r.queueElement)
	if requests.Len() == 0 {
		delete(lists, keyOf(r))
	}
	if r.dueState == stateOverdue {
		q.overdueCount--
	}
}

// listFor returns the list for a request, creating it if there is none.
func (q *requestQueue) listFor(r *Request) *list.List {
	level := queueLevel(r)
	if q.byLevel[level] == nil {
		q.byLevel[level] = map[listKey]*list.List{}
	}
	out := q.byLevel[level][keyOf(r)]
	if out == nil {
		out = list.New()
		q.byLevel[level][keyOf(r)] = out
	}
	return out
}

// remove removes a queued request from the queue.
func (q *requestQueue) remove(r *Request) {
	q.removeFromList(r)
	if r.Deadline > 0 {
		heap.Remove(&q.byDeadline, r.heapIndex)
	}
	r.removed = true
	q.length--
	q.weights[r.Tenant] -= r.queueWeight()
	if q.weights[r.Tenant] <= 0 {
		delete(q.weights, r.Tenant)
	}
}

// removeAll empties the queue and returns its requests in submission order.
func (q *requestQueue) removeAll() []*Request {
	out := q.inOrder()
	for _, r := range out {
		q.remove(r)
	}
	return out
}

// removeLive removes the live requests and returns them in submission order.
func (q *requestQueue) removeLive() []*Request {
	out := slices.DeleteFunc(q.inOrder(), func(r *Request) bool { return r.IsBatchItem })
	for _, r := range out {
		q.remove(r)
	}
	return out
}

// removeExpired removes the requests whose deadline has passed and returns them by deadline.
func (q *requestQueue) removeExpired(now clock.Micros) []*Request {
	var out []*Request
	for len(q.byDeadline) > 0 && now >= q.byDeadline[0].Deadline {
		r := q.byDeadline[0]
		q.remove(r)
		out = append(out, r)
	}
	return out
}

// inOrder returns the queued requests in submission order.
func (q *requestQueue) inOrder() []*Request {
	out := make([]*Request, 0, q.length)
	for _, routes := range q.byLevel {
		for _, requests := range routes {
			for e := requests.Front(); e != nil; e = e.Next() {
				out = append(out, e.Value.(*Request))
			}
		}
	}
	slices.SortFunc(out, bySubmission)
	return out
}

// nonEmptyLevels returns the levels that have requests, highest first.
func (q *requestQueue) nonEmptyLevels() []int64 {
	out := make([]int64, 0, len(q.byLevel))
	for level, routes := range q.byLevel {
		if len(routes) > 0 {
			out = append(out, level)
		}
	}
	slices.Sort(out)
	slices.Reverse(out)
	return out
}

// listsAt returns a level's lists, sorted by the age of their first request, oldest first. Lists that begin with a
// promoted request come before the others, lists of overdue requests after them.
func (q *requestQueue) listsAt(level int64) []*list.List {
	out := slices.Collect(maps.Values(q.byLevel[level]))
	slices.SortFunc(out, func(a, b *list.List) int {
		first, second := firstOf(a), firstOf(b)
		return cmp.Or(
			cmp.Compare(overdueRank(first), overdueRank(second)),
			cmp.Compare(second.promotedLevel, first.promotedLevel),
			bySubmission(first, second))
	})
	return out
}

func firstOf(requests *list.List) *Request { return requests.Front().Value.(*Request) }

func bySubmission(a, b *Request) int { return cmp.Compare(a.seq, b.seq) }
