package scheduler

import (
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// queueOf returns a queue to which the requests were submitted in the given order, live requests
// and batch items on a route each.
func queueOf(requests ...*Request) *requestQueue {
	routes := map[bool]*config.Route{false: {Name: "live"}, true: {Name: "batch"}}
	q := newRequestQueue()
	for _, r := range requests {
		r.Route = routes[r.IsBatchItem]
		r.Tenant = "t"
		q.submit(r)
	}
	return &q
}

func ids(requests []*Request) []string {
	var out []string
	for _, r := range requests {
		out = append(out, r.ID)
	}
	return out
}

func requireIDs(t *testing.T, what string, got []*Request, want ...string) {
	t.Helper()
	if !slices.Equal(ids(got), want) {
		t.Errorf("%s: %v, not %v", what, ids(got), want)
	}
}

func TestQueueKeepsTheOrderOfSubmission(t *testing.T) {
	q := queueOf(&Request{ID: "a", Priority: 1}, &Request{ID: "b", Priority: 9}, &Request{ID: "c", Priority: 1, IsBatchItem: true})
	requireIDs(t, "in order", q.inOrder(), "a", "b", "c")
	if got, want := q.nonEmptyLevels(), []int64{liveLevel(9), liveLevel(1), batchLevel(1)}; !slices.Equal(got, want) {
		t.Errorf("levels %v, not %v", got, want)
	}
	requireIDs(t, "live ones", q.removeLive(), "a", "b")
	requireIDs(t, "the rest", q.removeAll(), "c")
	if q.length != 0 || len(q.weights) != 0 || len(q.nonEmptyLevels()) != 0 {
		t.Errorf("the queue is not empty: %+v", q)
	}
}

func TestExpiredRequestsLeaveTheQueueEarliestFirst(t *testing.T) {
	q := queueOf(&Request{ID: "late", Deadline: 30}, &Request{ID: "none"}, &Request{ID: "early", Deadline: 10}, &Request{ID: "next", Deadline: 20})
	requireIDs(t, "before the first deadline", q.removeExpired(9))
	requireIDs(t, "after two deadlines", q.removeExpired(20), "early", "next")
	requireIDs(t, "at the end", q.removeExpired(clock.Second), "late")
	requireIDs(t, "without a deadline", q.inOrder(), "none")
}
