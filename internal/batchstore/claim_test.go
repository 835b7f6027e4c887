package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

func claimRequest(requestID, hash string) ClaimRequest {
	claim := shard.Claim{Tenant: "t", Key: "k", RequestID: requestID, Hash: hash}
	return ClaimRequest{Claim: claim, Timeout: clock.Second}
}

// A key belongs to the first request that claims it until that claim is voided.
func TestKeyIsClaimedByOneRequest(t *testing.T) {
	c := newCluster(t)
	if got := c.mustCall(claimRequest("1", "h")).(ClaimResponse); !got.Yours {
		t.Fatalf("the first request received %+v", got)
	}
	if got := c.mustCall(claimRequest("1", "h")).(ClaimResponse); !got.Yours {
		t.Fatalf("the repeated first request received %+v", got)
	}
	if got := c.mustCall(claimRequest("2", "h")).(ClaimResponse); got.Yours || got.Claim.RequestID != "1" {
		t.Fatalf("another request with the key received %+v", got)
	}
	c.mustReject(errs.Conflict, claimRequest("2", "other"))
	c.mustCall(CompleteClaimRequest{ID: shard.ClaimID("t", "k"), State: shard.Voided, Timeout: clock.Second})
	if got := c.mustCall(claimRequest("3", "other")).(ClaimResponse); !got.Yours {
		t.Fatalf("the first request after the claim was voided received %+v", got)
	}
}
