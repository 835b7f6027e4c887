package shard

import "tuliprudder/internal/clock"

// Claim is a claim on a tenant's idempotency key by one one-shot request. It is sent between
// daemons and stored: the names of its fields and keys never change.
type Claim struct {
	Tenant    string       `json:"customer"`
	Key       string       `json:"key"`
	Hash      string       `json:"hash"`  // of the request's body, see Hash
	RequestID string       `json:"order"` // of the request that holds the claim
	State     string       `json:"state"` // Claimed, Answered or Voided
	Response  []byte       `json:"answer,omitempty"`
	At        clock.Micros `json:"at"` // when the claim began
}

// BeginClaim claims a key before its request is forwarded. Who appends it has checked that
// the key is free.
type BeginClaim struct {
	Claim Claim `json:"Claim"`
}

// Apply adds the claim, in place of a voided one of the same key.
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

// Apply records the first outcome; a claim that has one keeps it.
func (e CompleteClaim) Apply(s *State) {
	claim := s.Claims[e.ID]
	if claim == nil || claim.State != Claimed {
		return
	}
	claim.State = e.State
	claim.Response = e.Response
}
