package shard

import "tuliprudder/internal/clock"

// Claim is a claim on a tenant's idempotency key by a one-shot request. It is stored and sent
// between daemons, so the names of its fields and JSON keys must not change.
type Claim struct {
	Tenant    string       `json:"customer"`
	Key       string       `json:"key"`
	Hash      string       `json:"hash"`  // of the request's body, see Hash
	RequestID string       `json:"order"` // of the request that holds the claim
	State     string       `json:"state"` // Claimed, Answered or Voided
	Response  []byte       `json:"answer,omitempty"`
	At        clock.Micros `json:"at"` // when the claim began
}

// BeginClaim claims a key before its request is forwarded. The code that appends it has
// checked that the key is free.
type BeginClaim struct {
	Claim Claim `json:"Claim"`
}

// Apply adds the claim. It replaces a voided claim on the same key.
func (e BeginClaim) Apply(s *State) {
	claim := e.Claim
	s.Claims[ClaimID(claim.Tenant, claim.Key)] = &claim
}

// CompleteClaim records the outcome of a claimed request.
type CompleteClaim struct {
	ID       string `json:"ID"`
	State    string `json:"State"` // Answered or Voided
	Response []byte `json:"Answer"`
}

// Apply records the outcome, unless the claim already has one.
func (e CompleteClaim) Apply(s *State) {
	claim := s.Claims[e.ID]
	if claim == nil || claim.State != Claimed {
		return
	}
	claim.State = e.State
	claim.Response = e.Response
}
