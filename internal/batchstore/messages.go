package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// The requests of reading daemons to a store, and its responses. They are sent as gob: the
// names of types and fields never change; neither do the JSON keys. A Timeout is in
// microseconds; when it has passed, the store answers that the outcome is unknown, before
// its caller gives up.
type (
	// SubmitRequest submits a batch.
	SubmitRequest struct {
		Shard   int
		Batch   shard.Batch
		By      Access // by which the caller recognises a batch that it has submitted before
		Timeout clock.Micros
	}
	// SubmitResponse acknowledges a batch, once it is durable on every member of its
	// shard's group.
	SubmitResponse struct {
		Batch    string
		Items    int
		Repeated bool // the shard had the batch already
		Store    string
	}
	// EndRequest ends a batch; the response is its BatchStatus.
	EndRequest struct {
		Shard   int
		Batch   string
		By      Access
		Timeout clock.Micros
	}
	// BatchStatusRequest asks for the status of a batch.
	BatchStatusRequest struct {
		Shard    int
		Batch    string
		By       Access
		Operator bool // the batch may be any tenant's; the response has its results
	}
	// BatchStatus is the status of a batch.
	BatchStatus struct {
		Batch       string         `json:"bundle"`
		Route       string         `json:"route"`
		State       string         `json:"state"` // a shard.BatchState
		Items       int            `json:"items"`
		Finished    int            `json:"listed"` // items that have their result
		Store       string         `json:"keeper"`
		Writer      int            `json:"writer"`
		Shard       int            `json:"slot"`
		Epoch       uint64         `json:"epoch"`
		Replicas    []string       `json:"replicas"`    // addresses of the group's other members
		SubmittedAt clock.Micros   `json:"enrolled_us"` // a point in time
		Tenant      string         `json:"customer"`
		Results     []shard.Result `json:"rows"` // for operators, without their outputs
	}
	// ReadRequest reads results after a vector of positions, up to another one: of one
	// batch, or of all batches of a tenant in the given shards.
	ReadRequest struct {
		Shards map[int]uint64 // the epoch of each shard that is read
		Batch  string         // "" for all batches
		By     Access
		After  token.Vector
		Bound  map[int]token.Vector // by shard: the last positions that may be read
		Limit  int                  // of results; 0 is no limit
		// Indexed reads the list of one batch from the index From on instead, as far as
		// every result before may be read. Outputs have at most MaxBytes bytes together (0
		// is no limit), unless the first result alone has more.
		Indexed  bool
		From     int
		MaxBytes int
	}
	// ReadResponse is a page of results.
	ReadResponse struct {
		Results []shard.Result
		State   string // of the batch, as far as the reader may read it
		Items   int    // of the batch
		More    bool   // the page was cut at a limit
		Index   int    // of the first result in the batch's list; of an indexed read only
		// Writer and PersistedUpTo tell the reader this store's position, like an announcement.
		Writer        int
		PersistedUpTo int64
	}
	// ItemBodyRequest asks for the body of a forwarded item that has no result yet.
	ItemBodyRequest struct {
		Shard       int
		Batch, Item string // IDs
		By          Access
	}
	// ItemBodyResponse is that body.
	ItemBodyResponse struct{ Body []byte }
	// ClaimRequest claims an idempotency key for a one-shot request.
	ClaimRequest struct {
		Shard   int
		Claim   shard.Claim
		Timeout clock.Micros
	}
	// ClaimResponse is the claim on the key: the requester's own, or that of an earlier
	// request.
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
	// StatusRequest asks for the status of the store. Brief is not used.
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
	// ShardStatus is the status of one shard of it.
	ShardStatus struct {
		Shard   int    `json:"slot"`
		Role    string `json:"role"`
		Epoch   uint64 `json:"epoch"`
		Seq     uint64 `json:"seq"`  // of the last entry
		Open    int    `json:"open"` // entries that are not durable on every member
		Batches int    `json:"bundles"`
		Peer    string `json:"peer"` // address of the primary, at the primary of the first replica
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
