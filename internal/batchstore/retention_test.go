package batchstore

import (
	"testing"

	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
)

// Finished batches and claims are purged once their retention has expired. Open batches are kept.
func TestExpiredBatchesAndClaimsArePurged(t *testing.T) {
	c := newCluster(t)
	for _, s := range c.stores {
		s.settings.RetainFinished = 90 * clock.Second
	}
	c.mustCall(forwardedBatch("open", 1))
	c.mustCall(forwardedBatch("done", 1))
	c.do("a", finished("done", 0))
	c.mustCall(claimRequest("1", "h"))
	c.advance(60 * clock.Second)
	state := c.stores["a"].shard(Unit(0)).state
	if len(state.Batches) != 2 || len(state.Claims) != 1 {
		t.Fatalf("before the retention expired the batches are %v and the claims %v", state.Batches, state.Claims)
	}
	c.advance(100 * clock.Second)
	for id, s := range c.stores {
		state := s.shard(Unit(0)).state
		if len(state.Batches) != 1 || state.Batches["open"] == nil || len(state.Claims) != 0 {
			t.Fatalf("after the retention expired store %s has the batches %v and the claims %v", id, state.Batches, state.Claims)
		}
	}
}

func TestExpiryIsAfterTheRetentionLimit(t *testing.T) {
	state := shard.New()
	state.Batches["b"] = &shard.Batch{ID: "b", State: shard.Done, SubmittedAt: 10}
	state.Claims["c"] = &shard.Claim{At: 10}
	if entry := purgeBefore(state, 10); !entry.IsEmpty() {
		t.Fatalf("purged exactly at the retention limit: %+v", entry)
	}
	if entry := purgeBefore(state, 11); len(entry.Batches) != 1 || len(entry.Claims) != 1 {
		t.Fatalf("purged after the retention limit: %+v, want the batch and the claim", entry)
	}
}
