package shard

import "testing"

func TestClaimKeepsItsFirstOutcome(t *testing.T) {
	id := ClaimID("t", "k")
	s := apply(
		BeginClaim{Claim: Claim{Tenant: "t", Key: "k", State: Claimed}},
		CompleteClaim{ID: id, State: Answered, Response: []byte("first")},
		CompleteClaim{ID: id, State: Voided},
		CompleteClaim{ID: "unknown", State: Answered},
	)
	if claim := s.Claims[id]; claim.State != Answered || string(claim.Response) != "first" || len(s.Claims) != 1 {
		t.Fatalf("the claim is %+v", claim)
	}
}

func TestClaimReplacesAVoidedOne(t *testing.T) {
	id := ClaimID("t", "k")
	s := apply(
		BeginClaim{Claim: Claim{Tenant: "t", Key: "k", RequestID: "1", State: Claimed}},
		CompleteClaim{ID: id, State: Voided},
		BeginClaim{Claim: Claim{Tenant: "t", Key: "k", RequestID: "2", State: Claimed}},
	)
	if claim := s.Claims[id]; claim.State != Claimed || claim.RequestID != "2" {
		t.Fatalf("the claim is %+v", claim)
	}
}
