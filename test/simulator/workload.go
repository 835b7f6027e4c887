package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/membership"
)

// Workload is the callers and operators of a simulated fleet, what they saw, and the checks
// of that.
type Workload struct {
	world *World
	Checker
	History
	RequestLog
	BatchLog
	FeedLog
	Statistics

	Calling      bool // the callers go on
	PendingCalls int  // calls of callers and operators that await an answer
	// OnAcknowledgement, where it is set, receives each batch as its caller receives the
	// acknowledgement, and the store that gave it.
	OnAcknowledgement func(b *Batch, owner string)

	lastNumber      int // numbers callers' requests and keys
	drainPeriods    map[string][]drainPeriod
	endpointUpdates map[string]int          // the platform's updates of each server, counted
	LastServed      map[string]clock.Micros // by edge and route: the last complete answer
}

// RequestLog is the requests of all callers, and what servers reported of them.
type RequestLog struct {
	Requests           []*Request
	requestByInput     map[string]*Request
	unansweredRequests []*Request     // live requests without an outcome that did not start
	OutcomeCounts      map[string]int // requests by outcome
	RequestsStarted    int            // starts that servers reported
	ForwardedRequests  int            // requests sent to be forwarded, items of batches included
}

// BatchLog is the batches of all callers.
type BatchLog struct {
	Batches    []*Batch
	batchByID  map[string]*Batch
	batchByKey map[string]*Batch
}

// FeedLog is what readers of results saw.
type FeedLog struct {
	Reading           bool // the readers go on
	FeedResults       int  // results read in the feed
	feedToken         string
	feedItemCounts    map[string]int    // by item
	feedLastPositions map[string]int64  // by batch
	itemAtPosition    map[string]string // in the feed and in lists
}

// Statistics are figures of a run for its report.
type Statistics struct {
	FaultsInjected int
	// MaxWaiting is the maximum that waited of each tenant.
	MaxWaiting map[string]int
	// SlowestResult is the longest time from a complete result to a waiting reader with no
	// fault near.
	SlowestResult clock.Micros
	// SlowestRecovery is the longest time until a kind of service was restored after the
	// last fault.
	SlowestRecovery clock.Micros
	SlowestService  string
	// Recovery is what was measured before the faults.
	Recovery Recovery
}

func newWorkload(w *World) *Workload {
	return &Workload{
		world:   w,
		Checker: Checker{world: w, CheckCounts: map[Guarantee]int{}},
		History: History{
			configurationBodies: map[uint64]string{},
			patchNumbers:        map[string]int{},
			documentNumbers:     map[string]int{},
			claimWinners:        map[string]string{},
		},
		RequestLog: RequestLog{
			requestByInput: map[string]*Request{},
			OutcomeCounts:  map[string]int{},
		},
		BatchLog: BatchLog{
			batchByID:  map[string]*Batch{},
			batchByKey: map[string]*Batch{},
		},
		FeedLog: FeedLog{
			feedItemCounts:    map[string]int{},
			feedLastPositions: map[string]int64{},
			itemAtPosition:    map[string]string{},
		},
		Statistics:      Statistics{MaxWaiting: map[string]int{}},
		drainPeriods:    map[string][]drainPeriod{},
		endpointUpdates: map[string]int{},
		LastServed:      map[string]clock.Micros{},
	}
}

// configurationsServed is the key in LastServed of confirmed configurations.
const configurationsServed = "configurations"

// randomEdge picks a live edge.
func (v *Workload) randomEdge() *Node {
	var live []*Node
	for _, name := range v.world.Names(membership.Edge) {
		if n := v.world.Nodes[name]; n.up && !n.frozen {
			live = append(live, n)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[v.world.Random.Intn(len(live))]
}

// callEdge calls an edge for a caller, over a connection that breaks when the edge crashes.
// The callback runs once.
func (v *Workload) callEdge(n *Node, body any, callback func(any, error)) {
	if !n.up {
		v.world.After(clock.Millisecond, func() { callback(nil, errs.New(errs.NotReady, "call another edge", "no connection")) })
		return
	}
	finished := false
	var removeCrashHook func()
	finish := func(response any, err error) {
		if !finished {
			finished = true
			removeCrashHook()
			v.checkKeyAccepted(n, body, err)
			callback(response, err)
		}
	}
	lost := func() {
		finish(nil, errs.New(errs.OutcomeUnknown, "send it again with the same key", "the connection broke"))
	}
	removeCrashHook = n.onCrash(lost)
	v.world.After(callerTimeout, lost)
	n.CallLocal(body, finish)
}
