package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/transport"
)

// These are the requests of reading daemons to a store, and its responses. They are sent as gob, so
// the names of types and fields must not change; neither must the JSON keys. A Timeout is in
// microseconds. When it expires, the store replies that the outcome is unknown, before the caller
// itself times out.
type (
	// SubmitRequest submits a batch.
	SubmitRequest struct {
		Shard   int
		Batch   shard.Batch
		By      Access // determines whether the caller may see an existing batch of the same ID
		Timeout clock.Micros
	}
	// SubmitResponse acknowledges a batch once it is durable on every member of its shard's
	// group.
	SubmitResponse struct {
		Batch    string
		Items    int
		Repeated bool // the shard already had the batch
		Store    string
	}
	// EndRequest ends a batch. The response is a BatchStatus.
	EndRequest struct {
		Shard   int
		Batch   string
		By      Access
		Timeout clock.Micros
	}
	// BatchStatusRequest requests the status of a batch.
	BatchStatusRequest struct {
		Shard    int
		Batch    string
		By       Access
		Operator bool // allows batches of any tenant, and adds the results to the response
	}
	// BatchStatus is the status of a batch.
	BatchStatus struct {
		Batch       string         `json:"bundle"`
		Route       string         `json:"route"`
		RouteID     config.RouteID `json:"route_id,omitempty"`
		State       string         `json:"state"` // a shard.BatchState
		Items       int            `json:"items"`
		Finished    int            `json:"listed"` // items that have a result
		Store       string         `json:"keeper"`
		Writer      int            `json:"writer"`
		Shard       int            `json:"slot"`
		Epoch       uint64         `json:"epoch"`
		Replicas    []string       `json:"replicas"`    // addresses of the group's other members
		SubmittedAt clock.Micros   `json:"enrolled_us"` // a point in time, in microseconds
		Tenant      string         `json:"customer"`
		Results     []shard.Result `json:"rows"` // for operators only, without the outputs
	}
	// ReadRequest reads the results of one batch, or of all batches of a tenant in the given
	// shards, that lie after one vector of positions and within another.
	ReadRequest struct {
		Shards map[int]uint64 // the reader's epoch of each shard to read
		Batch  string         // "" for all batches
		By     Access
		After  token.Vector
		Bound  map[int]token.Vector // by shard: the highest positions that may be read
		Limit  int                  // maximum number of results; 0 for no limit
		// Indexed instead reads the result list of one batch, from the index From up to the
		// first result that may not be read yet. The outputs total at most MaxBytes bytes (0
		// for no limit), unless the first result alone exceeds that.
		Indexed  bool
		From     int
		MaxBytes int
	}
	// ReadResponse is a page of results.
	ReadResponse struct {
		Results []shard.Result
		State   string // of the batch; open until the reader may read all its results
		Items   int    // of the batch
		More    bool   // the page was truncated at a limit
		Index   int    // in the batch's list, of the first result; for indexed reads only
		// Writer and PersistedUpTo give the reader this store's position, as an announcement does.
		Writer        int
		PersistedUpTo int64
	}
	// ItemBodyRequest requests the body of a forwarded item that has no result yet.
	ItemBodyRequest struct {
		Shard       int
		Batch, Item string // IDs
		By          Access
	}
	// ItemBodyResponse returns the body of an item.
	ItemBodyResponse struct{ Body []byte }
	// ClaimRequest claims an idempotency key for a one-shot request.
	ClaimRequest struct {
		Shard   int
		Claim   shard.Claim
		Timeout clock.Micros
	}
	// ClaimResponse returns the claim on the key: the requester's own, in which case Yours is set,
	// or that of an earlier request.
	ClaimResponse struct {
		Yours bool
		Claim shard.Claim
	}
	// CompleteClaimRequest records the outcome of a claimed request.
	CompleteClaimRequest struct {
		Shard    int
		ID       string // of the claim
		State    string // shard.Answered or shard.Voided
		Response []byte
		Timeout  clock.Micros
	}
	// CompleteClaimResponse acknowledges that the outcome is durable. Done is not used.
	CompleteClaimResponse struct{ Done bool }
	// StatusRequest requests the status of the store. Brief is not used.
	StatusRequest struct{ Brief bool }
	// StatusResponse is the status of the store.
	StatusResponse struct {
		Store         string        `json:"store"`
		Zone          string        `json:"zone"`
		Writer        int           `json:"writer"`
		Incarnation   uint64        `json:"life"`
		PersistedUpTo int64         `json:"up_to"`
		Next          int64         `json:"next"`       // position
		Unfinished    int           `json:"unfinished"` // positions
		Shards        []ShardStatus `json:"slots"`
	}
	// ShardStatus is the status of one shard of the store.
	ShardStatus struct {
		Shard   int    `json:"slot"`
		Role    string `json:"role"`
		Epoch   uint64 `json:"epoch"`
		Seq     uint64 `json:"seq"`  // of the last entry
		Open    int    `json:"open"` // entries that are not yet durable on every member
		Batches int    `json:"bundles"`
		Peer    string `json:"peer"` // address of the primary; on the primary, of the first replica
	}
)

// Response is a response of a store to a Call.
type Response interface{ response() }

func (SubmitResponse) response()        {}
func (BatchStatus) response()           {}
func (ReadResponse) response()          {}
func (ItemBodyResponse) response()      {}
func (ClaimResponse) response()         {}
func (CompleteClaimResponse) response() {}
func (StatusResponse) response()        {}

func init() {
	transport.Register(SubmitRequest{}, SubmitResponse{}, EndRequest{}, BatchStatusRequest{}, BatchStatus{}, ReadRequest{}, ReadResponse{}, ItemBodyRequest{}, ItemBodyResponse{},
		ClaimRequest{}, ClaimResponse{}, CompleteClaimRequest{}, CompleteClaimResponse{}, StatusRequest{}, StatusResponse{})
}
