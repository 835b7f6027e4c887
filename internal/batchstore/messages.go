package batchstore

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/batchstore/token"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/transport"
)

// What reading daemons ask a store; each has an deadline in its own body, so
// that the store answers before the asker gives up.
type (
	// SubmitRequest hands a batch in.
	SubmitRequest struct {
		Shard   int
		Batch   shard.Batch
		Timeout clock.Micros
	}
	// SubmitResponse is the answer once the batch is on two disks.
	SubmitResponse struct {
		Batch    string
		Items    int
		Repeated bool
		Store    string
	}
	// EndRequest ends a batch.
	EndRequest struct {
		Shard         int
		Batch, Tenant string
		AnyTenant     bool // see BatchStatusRequest
		Timeout       clock.Micros
	}
	// BatchStatusRequest asks how a batch stands.
	BatchStatusRequest struct {
		Shard         int
		Batch, Tenant string
		AnyTenant     bool // the caller carries no key: a batch without one is found by its name alone
		Operator      bool // of any tenant, with its items' servers
	}
	// BatchStatus is how a batch stands at its store.
	BatchStatus struct {
		Batch       string         `json:"bundle"`
		Route       string         `json:"route"`
		State       string         `json:"state"`
		Items       int            `json:"items"`
		Finished    int            `json:"listed"`
		Store       string         `json:"keeper"`
		Writer      int            `json:"writer"`
		Shard       int            `json:"slot"`
		Epoch       uint64         `json:"epoch"`
		Replicas    []string       `json:"replicas"`
		SubmittedAt clock.Micros   `json:"enrolled_us"`
		Tenant      string         `json:"customer"`
		Results     []shard.Result `json:"rows"` // for operators
	}
	// ReadRequest reads rows after a vector, up to a vector: of one batch, or of
	// all a tenant's batches in the shards named with their epochs.
	ReadRequest struct {
		Shards        map[int]uint64
		Batch, Tenant string
		AnyTenant     bool // see BatchStatusRequest
		After         token.Vector
		Bound         map[int]token.Vector // by shard
		Limit         int
		// Indexed reads one batch's own list by index instead: from From on, as
		// far as every row before is readable, with at most MaxBytes of outputs
		// (0: no bound) but at least one row where one is readable.
		Indexed  bool
		From     int
		MaxBytes int
	}
	// ReadResponse answers a read; More when the page was cut.
	ReadResponse struct {
		Results []shard.Result
		State   string
		Items   int // all the batch has, shelved or not
		More    bool
		Index   int // of the first row in the batch's list, where it was read by index
	}
	// ItemBodyRequest asks for the body of an item, by its id, that is not listed yet.
	ItemBodyRequest struct {
		Shard       int
		Batch, Item string
	}
	// ItemBodyResponse is that body.
	ItemBodyResponse struct{ Body []byte }
	// ClaimRequest claims a key for a one-shot order.
	ClaimRequest struct {
		Shard   int
		Claim   shard.Claim
		Timeout clock.Micros
	}
	// ClaimResponse says whether the claim is the asker's, or how the earlier
	// order of the key went.
	ClaimResponse struct {
		Yours bool
		Claim shard.Claim
	}
	// CompleteClaimRequest notes how a claimed order went.
	CompleteClaimRequest struct {
		Shard    int
		ID       string
		State    string
		Response []byte
		Timeout  clock.Micros
	}
	// CompleteClaimResponse answers it.
	CompleteClaimResponse struct{ Done bool }
	// StatusRequest asks for the store's own account of itself.
	StatusRequest struct{ Brief bool }
	// StatusResponse is that account.
	StatusResponse struct {
		Store         string        `json:"store"`
		Zone          string        `json:"zone"`
		Writer        int           `json:"writer"`
		Incarnation   uint64        `json:"life"`
		PersistedUpTo int64         `json:"up_to"`
		Next          int64         `json:"next"`
		Unfinished    int           `json:"unfinished"`
		Shards        []ShardStatus `json:"slots"`
	}
	// ShardStatus is one shard of it.
	ShardStatus struct {
		Shard   int    `json:"slot"`
		Role    string `json:"role"`
		Epoch   uint64 `json:"epoch"`
		Seq     uint64 `json:"seq"`
		Open    int    `json:"open"`
		Batches int    `json:"bundles"`
		Peer    string `json:"peer"`
	}
	// Heartbeat is a store's word to the cores.
	Heartbeat struct {
		ID, Zone, Peer string
		Name           string // the operator's name of the machine; "": none
		Incarnation    uint64
		Ready          map[int]uint64 // shards copied, by epoch
		Fleet          string         // "" before a core gave it a writer id
		Draining       bool
		Stalled        bool                        // its disk holds writes back
		Unreachable    map[int]UnreachableReplicas // of the shards it leads
		Busy           []int                       // owned shards with batches that are open: moving them runs items again
	}
	// UnreachableReplicas are the replicas that don't answer the primary of an epoch, by
	// their addresses.
	UnreachableReplicas struct {
		Epoch uint64
		Peers []string
	}
	// RegistrationRejected turns a store away for good: its folder is a copy, or an old one.
	RegistrationRejected struct {
		ID          string
		Incarnation uint64
		Reason      string
	}
	// Registered tells a store its writer id and the fleet.
	Registered struct {
		Fleet  string
		Writer int
		Seq    uint64
	}
)

func init() {
	transport.Register(SubmitRequest{}, SubmitResponse{}, EndRequest{}, BatchStatusRequest{}, BatchStatus{}, ReadRequest{}, ReadResponse{}, ItemBodyRequest{}, ItemBodyResponse{},
		ClaimRequest{}, ClaimResponse{}, CompleteClaimRequest{}, CompleteClaimResponse{}, StatusRequest{}, StatusResponse{}, Heartbeat{}, Registered{}, RegistrationRejected{})
}
