package shard

import "testing"

func TestPurgeDropsOnlyWhatItLists(t *testing.T) {
	other := submitOpen(1)
	other.Batch.ID = "other"
	entry := Purge{Batches: []string{"b"}, Claims: []string{ClaimID("t", "k")}}
	s := apply(submitOpen(1), other,
		BeginClaim{Claim: Claim{Tenant: "t", Key: "k"}}, BeginClaim{Claim: Claim{Tenant: "t", Key: "k2"}}, entry)
	if len(s.Batches) != 1 || s.Batches["other"] == nil || len(s.Claims) != 1 || s.Claims[ClaimID("t", "k2")] == nil {
		t.Fatalf("the remaining batches are %v, the remaining claims %v", s.Batches, s.Claims)
	}
	if entry.IsEmpty() || !(Purge{}).IsEmpty() {
		t.Fatal("IsEmpty must be true only for an entry that lists nothing")
	}
}
