package execution

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/modelclient"
)

// Task is what the event loop is asked to execute: an Attempt or a CancelAttempt.
type Task interface{ task() }

func (Attempt) task()       {}
func (CancelAttempt) task() {}

// Attempt asks to run an item on a server; the event loop reports AttemptStarted, once the server
// has begun, and the AttemptResult.
type Attempt struct {
	ID             uint64
	Request        modelclient.Request
	MaxOutputBytes int
	// ForwardedItem is set for an opaque item. Then only the address, the request ID, the
	// priority and the idle time-out of Request apply.
	ForwardedItem *ForwardedItem
}

// ForwardedItem is an opaque item on its way to a server (DESIGN §12.5).
type ForwardedItem struct {
	Request     *shard.Request
	Batch       string
	ItemID      string // the item's ID
	Instance    string // name of the server
	LastEventID int    // of the last event that came, over all attempts; 0 for none
	// IsAuthenticated: callers are known by their API keys. The server gets the name of the tenant, and
	// nothing that the item's own headers say of a key or a tenant.
	IsAuthenticated bool
	Tenant          string // of the batch; "" for none
}

// CancelAttempt asks to cancel an attempt, whose result is ignored.
type CancelAttempt struct{ AttemptID uint64 }

// AttemptStarted reports that the server has sent the first part of its response: its prefill is
// done.
type AttemptStarted struct {
	AttemptID uint64
	Load      *endpoints.ReportedLoad // that the server told with its response; nil for none
	// WeightVersion is the version of the server's weights, as its response told it; 0 for none.
	WeightVersion int64
}

// AttemptResult reports how an attempt went. For an opaque item, the outcomes mean: Complete,
// the response is complete; NotStarted, it certainly did not run (the server stated so, or
// accepted no connection); Interrupted, it may be resumed; Rejected, it can never be done.
type AttemptResult struct {
	AttemptID uint64
	Outcome   modelclient.Outcome
	Output    string // of a chat item
	Reason    string // what went wrong, for people

	// Events are the data of the events of an opaque item that came in this attempt, in order:
	// only those after ForwardedItem.LastEventID.
	Events []string
	// LastEventID is the ID of the last event that came, over all attempts; 0 for none.
	LastEventID int
	// ServerFailed: the server failed an opaque item. Only such attempts count towards the
	// number that the route allows.
	ServerFailed bool
	// Load is that of the server, as it told it with a response without events; nil for none.
	Load *endpoints.ReportedLoad
	// WeightVersion is the version of the server's weights, as it told it last; 0 for none.
	WeightVersion int64
	// WrongWeights: with the outcome NotStarted, the item wants other weights than the server has.
	WrongWeights bool
}
