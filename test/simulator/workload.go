package simulator

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/membership"
)

// Workload is the callers and the checks of a simulated fleet.
type Workload struct {
	world               *World
	Violations          []Violation
	CheckCounts         map[Guarantee]int
	Batches             []*Batch
	batchByID           map[string]*Batch
	batchByKey          map[string]*Batch
	Requests            []*Request
	requestByInput      map[string]*Request
	unansweredRequests  []*Request // live orders without a word yet
	itemAtPosition      map[string]string
	feedItemCounts      map[string]int
	feedLastPositions   map[string]int64
	FeedResults         int
	feedToken           string
	Reading             bool
	Calling             bool
	configurationBodies map[uint64]string
	ConfigurationPuts   []*ConfigurationPut
	ConfigurationReads  []*ConfigurationRead
	// documentNumbers are the configurations of the day, numbered in the order they were
	// written; documents is the last number.
	documentNumbers   map[string]int
	lastDocument      int
	ClaimAttempts     []*ClaimAttempt
	claimWinners      map[string]string
	BatchOperations   []*BatchOperation
	drainPeriods      map[string][]drainPeriod
	endpointUpdates   map[string]int          // the platform's words on each server, counted
	LastServed        map[string]clock.Micros // by edge and route: the last whole answer
	OutcomeCounts     map[string]int
	RequestsStarted   int // orders that began on servers
	ForwardedRequests int // requests that were handed in to be passed on
	// MaxWaiting is the most that waited of each tenant, SlowestResult the longest
	// from a whole result to a waiting reader with no fault near, SlowestRecovery the
	// longest until a kind of service was back after the day's last fault.
	MaxWaiting      map[string]int
	SlowestResult   clock.Micros
	SlowestRecovery clock.Micros
	SlowestService  string
	// OnAcknowledgement is told of each batch as its caller hears that it is accepted.
	OnAcknowledgement func(b *Batch, owner string)
	PendingCalls      int
	// Recovery is what was measured before the day's failures.
	Recovery Recovery
	// UndecidedHistories counts histories that the checker did not decide in time.
	UndecidedHistories int
	lastNumber         int
	FaultsInjected     int
}

func newWorkload(w *World) *Workload {
	return &Workload{world: w, CheckCounts: map[Guarantee]int{}, batchByID: map[string]*Batch{}, batchByKey: map[string]*Batch{}, requestByInput: map[string]*Request{}, itemAtPosition: map[string]string{}, feedItemCounts: map[string]int{}, feedLastPositions: map[string]int64{}, configurationBodies: map[uint64]string{}, documentNumbers: map[string]int{}, claimWinners: map[string]string{},
		drainPeriods: map[string][]drainPeriod{}, endpointUpdates: map[string]int{}, LastServed: map[string]clock.Micros{}, OutcomeCounts: map[string]int{}, MaxWaiting: map[string]int{}}
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

// callEdge asks an edge for a caller, over a connection that breaks when it crashes;
// back is told once.
func (v *Workload) callEdge(n *Node, body any, callback func(any, error)) {
	finished := false
	var removeCrashHook func()
	finish := func(response any, err error) {
		if !finished {
			finished = true
			removeCrashHook()
			callback(response, err)
		}
	}
	lost := func() {
		finish(nil, errs.New(errs.OutcomeUnknown, "ask again with the same key", "the connection broke"))
	}
	removeCrashHook = func() {}
	if !n.up {
		v.world.After(clock.Millisecond, func() { finish(nil, errs.New(errs.NotReady, "ask another edge", "no connection")) })
		return
	}
	removeCrashHook = n.onCrash(lost)
	v.world.After(callerTimeout, lost)
	n.CallLocal(body, finish)
}
