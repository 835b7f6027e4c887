package requests

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/reader"
)

// Input is a report of the gateway about a live request, which is answered by a Decision: first a
// LiveRequest, then the AttemptResult of each Attempt.
type Input interface{ input() }

func (LiveRequest) input()   {}
func (AttemptResult) input() {}

// LiveRequest is a live request from a caller.
type LiveRequest struct {
	ID             string // assigned by the edge, unique among the requests in flight
	APIKey         string // authenticates the caller
	Route          string
	IdempotencyKey string // "" for none
	Input          string
	MaxTokens      int64        // 0 for the route's limit
	TimeoutUS      clock.Micros // from the request's arrival; 0 for the route's timeout
}

// AttemptResult reports the outcome of an Attempt.
type AttemptResult struct {
	RequestID   string
	Outcome     modelclient.Outcome
	Reason      string // human-readable cause of a failure
	Output      string // output of all attempts so far
	ContextDone bool   // the deadline passed, or the caller disconnected
}

// AttemptStarted reports that the server of the current attempt has sent its first chunk. Until
// then the request counts as queued for the quota, even while it is in the server's own queue. The
// reply is empty.
type AttemptStarted struct{ RequestID string }

// CallerDisconnected reports that the caller of a live request has disconnected. The reply is empty.
type CallerDisconnected struct{ RequestID string }

// Decision is the next step that the gateway has to take for a live request: start an Attempt or send
// the Response to the caller.
type Decision interface{ decision() }

func (Attempt) decision()  {}
func (Response) decision() {}

// Attempt tells the gateway to run the request on a server and to report the AttemptResult.
type Attempt struct {
	Request   modelclient.Request
	RouteKind string // config.OneShot, config.Stream or config.Resumable
	Deadline  clock.Micros
}

// Response is a complete response. Its JSON form is sent to callers and stored in the claim of an
// idempotency key.
type Response struct {
	RequestID string `json:"order"`
	Status    string `json:"status"`
	Output    string `json:"output"`
	Server    string `json:"server"`
	// Replayed is set if this is the stored response of the first request with the same key.
	Replayed bool `json:"-"`
}

// SubmitBatchRequest submits a tenant's batch; the reply is a batchstore.SubmitResponse.
type SubmitBatchRequest struct {
	APIKey         string
	Route          string
	IdempotencyKey string
	Items          []shard.Item
}

// BatchStatusRequest reads the status of a tenant's batch, or cancels the batch if Cancel is set. The
// reply is a batchstore.BatchStatus.
type BatchStatusRequest struct {
	APIKey, Batch string
	Cancel        bool
}

// PageRequest reads results of one batch of a tenant, or of all its batches (the change feed). The
// reply is a reader.Page.
type PageRequest struct {
	APIKey string
	Read   reader.Request
}

// SubmitForwardedBatchRequest submits a batch of opaque requests, under its own ID (DESIGN §12.5). The
// reply is a batchstore.SubmitResponse.
type SubmitForwardedBatchRequest struct {
	APIKey string // sent by the caller; "" for none, also in the requests below
	Route  config.RouteID
	ID     string
	Items  []shard.Item
	// Deadline is when the caller must have its reply; 0 means the default timeout.
	Deadline clock.Micros
}

// ResubmitForwardedBatchRequest submits a batch of opaque requests whose route is not in this edge's
// configuration. The reply is a batchstore.SubmitResponse if the cluster has accepted the batch
// before, otherwise errs.UnknownRoute.
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

// ItemBodyRequest reads the body of an item that has no result yet, in a batch of opaque requests. The
// reply is a batchstore.ItemBodyResponse.
type ItemBodyRequest struct{ APIKey, Batch, Item string }
