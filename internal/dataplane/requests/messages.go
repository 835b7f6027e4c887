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

// Decision is what the gateway has to do next about a live request: an Attempt, or to give
// the caller its Response.
type Decision interface{ decision() }

func (Attempt) decision()  {}
func (Response) decision() {}

// What the event loop hands in; each is a call, whose answer is the next word.
type (
	// LiveRequest is a live order as it came.
	LiveRequest struct {
		ID             string // the name this edge gave it
		APIKey         string // the key the caller carries
		Route          string
		IdempotencyKey string // idempotency key; "" for none
		Input          string
		MaxTokens      int64
		TimeoutUS      int64 // 0: the route's
	}
	// AttemptResult tells how a try on a server went.
	AttemptResult struct {
		RequestID   string
		Outcome     modelclient.Outcome
		Reason      string // what went wrong
		Output      string // all that has come so far, over all tries
		ContextDone bool   // the order's deadline passed, or its caller left
	}
	// AttemptStarted tells that a server has begun the order: until then it waits, in the
	// server's own queue as well.
	AttemptStarted struct{ RequestID string }
	// CallerDisconnected tells that the caller has gone.
	CallerDisconnected struct{ RequestID string }
	// SubmitBatchRequest is a batch as it came.
	SubmitBatchRequest struct {
		APIKey         string
		Route          string
		IdempotencyKey string
		Items          []shard.Item
	}
	// BatchStatusRequest asks how a batch stands; End ends it.
	BatchStatusRequest struct {
		APIKey, Batch string
		Cancel        bool
	}
	// PageRequest reads one batch's list, or the feed.
	PageRequest struct {
		APIKey string
		Read   reader.Request
	}
	// SubmitForwardedBatchRequest is a batch of requests to be passed on, under its own name; no
	// caller's key comes with it (DESIGN §12.5).
	SubmitForwardedBatchRequest struct {
		Route string
		ID    string
		Items []shard.Item
	}
	// ForwardedBatchStatusRequest asks how such a batch stands; End ends it.
	ForwardedBatchStatusRequest struct {
		Batch  string
		Cancel bool
	}
	// ForwardedPageRequest reads such a batch's list.
	ForwardedPageRequest struct{ Read reader.Request }
	// ItemBodyRequest asks for the body of an item of such a batch that is not listed yet.
	ItemBodyRequest struct{ Batch, Item string }
)

// What the event loop is told.
type (
	// Attempt says: run the order on this server, then tell how it went.
	Attempt struct {
		Request   modelclient.Request
		RouteKind string // of the route
		Deadline  clock.Micros
	}
	// Response is the end of an order that is whole.
	Response struct {
		RequestID string `json:"order"`
		Status    string `json:"status"`
		Output    string `json:"output"`
		Server    string `json:"server"`
		Replayed  bool   `json:"-"` // it is the key's first order's
	}
)
