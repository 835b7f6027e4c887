package shard

import "testing"

// An item that ran twice is listed once, with its first result; the second position is consumed
// nevertheless.
func TestResultOfAnItemIsListedOnce(t *testing.T) {
	s := apply(submitOpen(2), listResult(0, 5), listResult(0, 6))
	batch := s.Batches["b"]
	if len(batch.Results) != 1 || batch.Results[0].Position != 5 {
		t.Fatalf("the list is %+v", batch.Results)
	}
	if batch.State != Open || !batch.HasResult(0) || batch.HasResult(1) {
		t.Fatalf("the batch is %+v", batch)
	}
	if s.LastPositions[1] != 6 {
		t.Fatalf("writer 1 is at position %d, want 6", s.LastPositions[1])
	}
}

func TestLastResultCompletesTheBatch(t *testing.T) {
	s := apply(submitOpen(2), listResult(1, 5), listResult(0, 6))
	batch := s.Batches["b"]
	if batch.State != Done || batch.Results[0].Item != 1 || batch.Results[1].Item != 0 {
		t.Fatalf("the batch is %+v", batch)
	}
}

func TestInputIsReleasedOnceTheResultIsListed(t *testing.T) {
	batch := apply(submitOpen(2), listResult(0, 5)).Batches["b"]
	if batch.Items[0].Input != "" || batch.Items[1].Input == "" {
		t.Fatalf("the items are %+v", batch.Items)
	}
}

func TestResultIsNotListedUnlessBatchIsOpen(t *testing.T) {
	for name, s := range map[string]*State{
		"ended":     apply(submitOpen(2), EndBatch{Batch: "b"}, listResult(0, 5)),
		"forgotten": apply(submitOpen(2), Purge{Batches: []string{"b"}}, listResult(0, 5)),
	} {
		if batch := s.Batches["b"]; batch != nil && len(batch.Results) > 0 {
			t.Errorf("%s: the list is %+v", name, batch.Results)
		}
		if s.LastPositions[1] != 5 {
			t.Errorf("%s: writer 1 is at position %d, want 5", name, s.LastPositions[1])
		}
	}
}
