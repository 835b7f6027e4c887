package scheduler

import (
	"container/list"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// Request is one piece of work that needs a server: a live request, or an item of a
// batch. Its Priority, Route, IsBatchItem, Weight, Tenant and Deadline must not be
// changed by the caller while it is queued: they are the queue's keys.
type Request struct {
	ID          string
	Tenant      string
	Route       *config.Route
	Priority    int64 // of the tenant's class, or of a forwarded route; higher goes first
	IsBatchItem bool
	// Weight is what the request adds to its tenant's queued work; 0 counts as 1.
	Weight int
	// Prefix is the part of the prompt that it shares with other requests.
	Prefix string
	// PromptTokens is how many tokens the server prefills before the first token.
	PromptTokens int64
	// WantedWeights is the version of the weights that it has to be run with; 0 for any.
	WantedWeights int64
	Deadline      clock.Micros // 0: none
	// DueAt is when a batch item's result is due; 0: never. One that can't be ready by then goes
	// behind those that can, see overdue.go.
	DueAt clock.Micros
	// AvoidedServers counts, by server, how often this request failed there. From
	// MaxFailuresPerServer on the server isn't chosen for it.
	AvoidedServers map[string]int
	// Pools, where set, are those that serve this request instead of its route's.
	Pools config.Selector
	// MayStart, where set, is called right before the start; false drops the request.
	MayStart func(now clock.Micros) bool
	// Start is called with the chosen server.
	Start func(assignment *Assignment, now clock.Micros)
	// Drop is called instead of Start when the request will never start.
	Drop func(err error, now clock.Micros)

	queuedAt     clock.Micros
	seq          uint64        // order of submission at this daemon
	heapIndex    int           // in the deadlineHeap
	queueElement *list.Element // in the queue of its level and route
	dueState     dueState
	// promotedLevel is the level that a live request was promoted to; 0: it was not.
	promotedLevel int64
	started       bool
	removed       bool
}

// MaxFailuresPerServer is how often one request may fail on a server before that
// server is no longer chosen for it.
const MaxFailuresPerServer = 3

func (r *Request) queueWeight() int { return max(1, r.Weight) }

// excludes tells whether the request has failed too often on a server.
func (r *Request) excludes(server string) bool {
	return r.AvoidedServers[server] >= MaxFailuresPerServer
}

// hasServerConstraints tells whether there may be servers that can't take this request and can take others of
// its route.
func (r *Request) hasServerConstraints() bool {
	return len(r.AvoidedServers) > 0 || r.WantedWeights != 0
}

// isForwardedItem tells whether the request is a batch item that is forwarded unchanged.
func (r *Request) isForwardedItem() bool {
	return r.IsBatchItem && r.Route != nil && r.Route.Forward != nil
}

// isQueued tells whether the request waits in a queue now.
func (r *Request) isQueued() bool {
	return r.queueElement != nil && !r.started && !r.removed
}
