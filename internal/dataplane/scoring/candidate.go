package scoring

import "tuliprudder/internal/clock"

// Candidate is what this daemon knows about a server when it chooses one for a request. "Own"
// requests are those of this daemon.
type Candidate struct {
	Name   string
	Labels map[string]string
	// Slots is the number of requests that the server decodes at a time.
	Slots         int
	OwnRequests   int // on the server now
	OtherRequests int // of other daemons, according to the latest load report
	// WaitingRequests is the number of requests queued on the server, as it reported lately.
	WaitingRequests float64
	// FailureRate is the fraction of requests that failed on the server lately, 0 to 1.
	FailureRate float64
	// SameZone says that the server is in this daemon's zone.
	SameZone bool
	// UtilizationLimit is the utilization, in requests per slot, at or above which this
	// request may not be assigned.
	UtilizationLimit float64
	// WeightVersion is the version of the server's weights, as it last reported it; 0 if unknown.
	WeightVersion int64
	Draining      bool
	Healthy       bool // it was healthy in the latest load report
	// HasPrefix says that the server was the last to run a request with the same prompt prefix.
	HasPrefix      bool
	Latency        clock.Micros // moving average of the duration of a request; 0 if unknown
	FastestLatency clock.Micros // that of the fastest server
	BackoffUntil   clock.Micros // it gets no requests before this time
	Now            clock.Micros
	PrefillTokens  int64 // prompt tokens of own requests that have no first event yet
	// UnresponsiveFor is how long the server has made no progress with own requests in prefill.
	UnresponsiveFor clock.Micros
	// Rotation is the server's position in this daemon's own rotation of servers, from 0 to below 1.
	Rotation float64
	// BatchUsage is set if the request is a batch item that is forwarded unchanged.
	BatchUsage *BatchUsage
}

// BatchUsage is the part of a server that one store's batch items may use and use. Each store stays
// within its share, so that all stores together leave capacity for live requests.
type BatchUsage struct {
	Limit      int // items of this store that the server may run
	Running    int // items of this store on the server
	Prefilling int // running items that have no first event yet
}

// Requirements are what a request requires of a server; "" or 0 means no requirement.
type Requirements struct {
	Model, Adapter, Weights string
	WeightVersion           int64
}

// Load estimates the number of requests on the server: those of other daemons according to the
// latest load report, and the current ones of this daemon.
func (c Candidate) Load() int { return c.OtherRequests + c.OwnRequests }

// utilization returns the estimated load in requests per slot. Slots must be positive.
func (c Candidate) utilization() float64 { return float64(c.Load()) / float64(c.Slots) }
