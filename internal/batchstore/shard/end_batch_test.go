package shard

import "testing"

func TestEndingKeepsResultsAndReleasesInputs(t *testing.T) {
	batch := apply(submitOpen(3), listResult(1, 5), EndBatch{Batch: "b", At: 70}).Batches["b"]
	if batch.State != Ended || batch.ChangedAt != 70 || len(batch.Results) != 1 {
		t.Fatalf("the batch is %+v", batch)
	}
	for i, item := range batch.Items {
		if item.Input != "" {
			t.Errorf("the input of item %d was not released", i)
		}
	}
}

func TestEndingChangesOnlyAnOpenBatch(t *testing.T) {
	s := apply(submitOpen(1), listResult(0, 5), EndBatch{Batch: "b", At: 70}, EndBatch{Batch: "unknown", At: 70})
	if batch := s.Batches["b"]; batch.State != Done || batch.ChangedAt != 0 || len(s.Batches) != 1 {
		t.Fatalf("the batch is %+v", batch)
	}
}
