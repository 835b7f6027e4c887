package execution

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/modelclient"
)

// Task is a task for the event loop: an Attempt or a CancelAttempt.
type Task interface{ task() }

func (Attempt) task()       {}
func (CancelAttempt) task() {}

// Attempt requests that an item is run on a server. The event loop reports AttemptStarted once the
// server has begun, and then the AttemptResult.
type Attempt struct {
	ID             uint64
	Request        modelclient.Request
	MaxOutputBytes int
	// ForwardedItem is set for an opaque item. In that case only the address, the request ID, the
	// priority and the idle timeout of Request apply.
	ForwardedItem *ForwardedItem
}

// ForwardedItem is an opaque item to be forwarded to a server (DESIGN §12.5).
type ForwardedItem struct {
	Request     *shard.Request
	Batch       string
	ItemID      string
	Instance    string // name of the server
	LastEventID int    // of the last event received over all attempts; 0 for none
	// IsAuthenticated is set where callers are identified by API keys. The server then gets the name of
	// the tenant, and any key or tenant in the item's own headers is removed.
	IsAuthenticated bool
	Tenant          string // that the batch belongs to; "" for none
}

// CancelAttempt requests that an attempt is cancelled. Its result is ignored.
type CancelAttempt struct{ AttemptID uint64 }

// AttemptStarted reports that the server has sent the first part of its response, so that the
// prefill is complete.
type AttemptStarted struct {
	AttemptID uint64
	Load      *endpoints.ReportedLoad // that the server reported with its response; nil for none
	// WeightVersion is the version of the server's weights as reported with its response; 0 for none.
	WeightVersion int64
}

// AttemptResult reports the outcome of an attempt. For an opaque item, the outcomes mean:
//   - Complete: the response is complete.
//   - NotStarted: the item certainly did not run, because the server said so or accepted no
//     connection.
//   - Interrupted: the item may be resumed.
//   - Rejected: the item can never succeed.
type AttemptResult struct {
	AttemptID uint64
	Outcome   modelclient.Outcome
	Output    string // of a chat item
	Reason    string // human-readable cause of a failure

	// Events holds the data of an opaque item's events received in this attempt, in order, starting
	// after ForwardedItem.LastEventID.
	Events []string
	// LastEventID is the ID of the last event received over all attempts; 0 for none.
	LastEventID int
	// ServerFailed is set if the server failed while processing an opaque item. Only such attempts
	// count towards the route's limit.
	ServerFailed bool
	// Load is the server's load as reported with a response without events; nil for none.
	Load *endpoints.ReportedLoad
	// WeightVersion is the version of the server's weights as last reported; 0 for none.
	WeightVersion int64
	// WrongWeights is set with the outcome NotStarted if the item requires a version of the weights
	// other than the server's.
	WrongWeights bool
}
