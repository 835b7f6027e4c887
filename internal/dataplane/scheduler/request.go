package scheduler

import (
	"container/list"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// Request is a unit of work that needs a server: a live request or a batch item. The caller
// must not change Priority, Route, IsBatchItem, Weight, Tenant or Deadline while the request
// is queued: the queue is indexed by them.
type Request struct {
	ID          string
	Tenant      string
	Route       *config.Route
	Priority    int64 // of the tenant's class, or of a forwarded route; higher goes first
	IsBatchItem bool
	// Weight is what the request adds to its tenant's queued weight; 0 counts as 1.
	Weight int
	// Prefix is the part of the prompt that it shares with other requests.
	Prefix string
	// PromptTokens is the number of prompt tokens that the server prefills.
	PromptTokens int64
	// WantedWeights is the required version of the model weights; 0 for any.
	WantedWeights int64
	Deadline      clock.Micros // 0: none
	// DueAt is when a batch item's result is due; 0: never. Items that can't be ready by then are
	// queued behind those that can, see overdue.go.
	DueAt clock.Micros
	// AvoidedServers counts this request's failures by server. A server with MaxFailuresPerServer
	// failures is no longer chosen for it.
	AvoidedServers map[string]int
	// Pools, if set, selects the pools that serve this request, instead of its route's pools.
	Pools config.Selector
	// MayStart, if set, is called immediately before Start; false drops the request.
	MayStart func(now clock.Micros) bool
	// Start is called when the request has been assigned to a server.
	Start func(assignment *Assignment, now clock.Micros)
	// Drop is called instead of Start if the request will never start.
	Drop func(err error, now clock.Micros)

	queuedAt     clock.Micros
	seq          uint64        // submission order at this daemon
	heapIndex    int           // index in the deadlineHeap
	queueElement *list.Element // in the list of its level and route
	dueState     dueState
	// promotedLevel is the level that a live request was promoted to; 0: not promoted.
	promotedLevel int64
	started       bool
	removed       bool
}

// MaxFailuresPerServer is the number of failures of one request on a server after which that
// server is no longer chosen for it.
const MaxFailuresPerServer = 3

func (r *Request) queueWeight() int { return max(1, r.Weight) }

// excludes reports whether the request has failed too often on a server to be assigned there again.
func (r *Request) excludes(server string) bool {
	return r.AvoidedServers[server] >= MaxFailuresPerServer
}

// hasServerConstraints reports whether some servers may be unable to take this request although they can
// take other requests of its route.
func (r *Request) hasServerConstraints() bool {
	return len(r.AvoidedServers) > 0 || r.WantedWeights != 0
}

// isForwardedItem reports whether the request is a batch item that is forwarded unchanged.
func (r *Request) isForwardedItem() bool {
	return r.IsBatchItem && r.Route != nil && r.Route.Forward != nil
}

// isQueued reports whether the request is queued now.
func (r *Request) isQueued() bool {
	return r.queueElement != nil && !r.started && !r.removed
}
