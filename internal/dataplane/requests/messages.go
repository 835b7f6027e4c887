package requests

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/reader"
)

// Input is what the gateway reports of a live request and waits for the Decision on: a
// LiveRequest, then the AttemptResult of each Attempt.
type Input interface{ input() }

func (LiveRequest) input()   {}
func (AttemptResult) input() {}

// LiveRequest is a live request that a caller sent.
type LiveRequest struct {
	ID             string // the edge's own name for it, unique among those in flight
	APIKey         string // authenticates the caller
	Route          string
	IdempotencyKey string // "" for none
	Input          string
	MaxTokens      int64        // 0: the route's
	TimeoutUS      clock.Micros // from its arrival on; 0: the route's
}

// AttemptResult reports how an Attempt went.
type AttemptResult struct {
	RequestID   string
	Outcome     modelclient.Outcome
	Reason      string // what went wrong, for people
	Output      string // all output so far, over all attempts
	ContextDone bool   // the deadline passed, or the caller disconnected
}

// AttemptStarted reports that the server of the current attempt has sent its first chunk. Until
// then the request counts as queued for the quota, in the server's own queue as well. The reply
// is empty.
type AttemptStarted struct{ RequestID string }

// CallerDisconnected reports that the caller of a live request has left. The reply is empty.
type CallerDisconnected struct{ RequestID string }

// Decision is what the gateway has to do next about a live request: an Attempt, or to give
// the caller its Response.
type Decision interface{ decision() }

func (Attempt) decision()  {}
func (Response) decision() {}

// Attempt decides that the request is run on a server; the gateway reports the AttemptResult.
type Attempt struct {
	Request   modelclient.Request
	RouteKind string // config.OneShot and so on
	Deadline  clock.Micros
}

// Response is a complete response. Its JSON is the callers' wire form, and stored in the claim
// of an idempotency key.
type Response struct {
	RequestID string `json:"order"`
	Status    string `json:"status"`
	Output    string `json:"output"`
	Server    string `json:"server"`
	// Replayed: it is the stored response of the first request with the same key.
	Replayed bool `json:"-"`
}

// SubmitBatchRequest submits a tenant's batch; the reply is a batchstore.SubmitResponse.
type SubmitBatchRequest struct {
	APIKey         string
	Route          string
	IdempotencyKey string
	Items          []shard.Item
}

// BatchStatusRequest reads the status of a tenant's batch, or cancels it; the reply is a
// batchstore.BatchStatus.
type BatchStatusRequest struct {
	APIKey, Batch string
	Cancel        bool
}

// PageRequest reads results of one batch of a tenant, or of all (the change feed); the reply
// is a reader.Page.
type PageRequest struct {
	APIKey string
	Read   reader.Request
}

// SubmitForwardedBatchRequest submits a batch of opaque requests, under its own ID (DESIGN §12.5). The
// reply is a batchstore.SubmitResponse.
type SubmitForwardedBatchRequest struct {
	APIKey string // that the caller carries; "" for none, also in the following requests
	Route  string
	ID     string
	Items  []shard.Item
	// Deadline is when the caller has to have its answer; 0: the usual time after the request.
	Deadline clock.Micros
}

// ResubmitForwardedBatchRequest submits a batch of opaque requests that has no route here. The reply
// is a batchstore.SubmitResponse if the cluster has accepted the batch before, otherwise
// errs.UnknownRoute.
type ResubmitForwardedBatchRequest struct {
	APIKey   string
	ID       string
	Items    []shard.Item
	Deadline clock.Micros // as in SubmitForwardedBatchRequest
}

// ForwardedBatchStatusRequest is a BatchStatusRequest for a batch of opaque requests.
type ForwardedBatchStatusRequest struct {
	APIKey   string
	Batch    string
	Cancel   bool
	Deadline clock.Micros // of a cancellation, as in SubmitForwardedBatchRequest
}

// ForwardedPageRequest reads results of a batch of opaque requests; the reply is a reader.Page.
type ForwardedPageRequest struct {
	APIKey string
	Read   reader.Request
}

// ItemBodyRequest reads the body of an item without a result, in a batch of opaque requests; the
// reply is a batchstore.ItemBodyResponse.
type ItemBodyRequest struct{ APIKey, Batch, Item string }
