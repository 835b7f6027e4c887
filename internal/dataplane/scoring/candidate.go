package scoring

import "tuliprudder/internal/clock"

// Candidate is what is known of a server when a request looks for one. "Own" requests
// are those of this daemon.
type Candidate struct {
	Name   string
	Labels map[string]string
	// Slots is how many requests the server decodes at a time.
	Slots         int
	OwnRequests   int // on the server now
	OtherRequests int // of other daemons, at its latest load report
	// WaitingRequests is how many requests wait there, as far as the server told of late.
	WaitingRequests float64
	// FailureRate is the share of the requests that it failed lately, 0 to 1.
	FailureRate float64
	// SameZone says that it is in this daemon's zone.
	SameZone bool
	// UtilizationLimit is the utilization, in requests per slot, from which on this
	// request may not be assigned.
	UtilizationLimit float64
	// WeightVersion is the version of its weights, as it told it of late; 0: unknown.
	WeightVersion int64
	Draining      bool
	Healthy       bool // it answered at its latest load report
	// HasPrefix says that it ran a request with the same prompt prefix last.
	HasPrefix      bool
	Latency        clock.Micros // moving average of a request's duration; 0: unknown
	FastestLatency clock.Micros // the same of the fastest server
	BackoffUntil   clock.Micros // it gets nothing before
	Now            clock.Micros
	PrefillTokens  int64 // prompt tokens of own requests without a first event
	// UnresponsiveFor is how long it has shown no progress with own requests in prefill.
	UnresponsiveFor clock.Micros
	// Rotation is its position in this daemon's own rotation of servers, 0 up to 1.
	Rotation float64
	// BatchUsage is set where the request is a batch item that is forwarded unchanged.
	BatchUsage *BatchUsage
}

// BatchUsage is what one store's batch items take of a server. Each store keeps to its
// share, so that all together leave capacity for live requests.
type BatchUsage struct {
	Limit      int // this store's items that the server may run
	Running    int // this store's items on the server
	Prefilling int // those of them without a first event
}

// Requirements are what a request needs of a server; "" or 0 for anything.
type Requirements struct {
	Model, Adapter, Weights string
	WeightVersion           int64
}

// Load estimates how many requests the server has: of other daemons those at its latest
// load report, of this daemon those now.
func (c Candidate) Load() int { return c.OtherRequests + c.OwnRequests }

// utilization is the estimated load in requests per slot. Slots must be positive.
func (c Candidate) utilization() float64 { return float64(c.Load()) / float64(c.Slots) }
