package shard

import "testing"

func TestHashKeepsTheBoundariesOfFields(t *testing.T) {
	if Hash("ab", "c") == Hash("a", "bc") || Hash("ab") == Hash("ab", "") {
		t.Fatal("different fields have the same hash")
	}
	if BatchID("t", "k") == ClaimID("t", "k") {
		t.Fatal("a batch and a claim have the same ID")
	}
}

func TestBatchesAreSpreadOverAllShards(t *testing.T) {
	const shards, batches = 24, 2400
	counts := make([]int, shards)
	for i := range batches {
		counts[ShardOf(BatchID("t", string(rune('a'+i%26))+string(rune(i))), shards)]++
	}
	for index, count := range counts {
		if count < batches/shards/2 || count > 2*batches/shards {
			t.Errorf("shard %d has %d of %d batches", index, count, batches)
		}
	}
}
