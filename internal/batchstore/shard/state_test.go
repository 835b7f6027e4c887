package shard

import "testing"

// apply returns the state after applying the entries to an empty shard.
func apply(entries ...Entry) *State {
	s := New()
	for _, entry := range entries {
		entry.Apply(s)
	}
	return s
}

// submitOpen returns an entry that submits the open batch "b" with the given number of items.
func submitOpen(items int) SubmitBatch {
	batch := Batch{ID: "b", Tenant: "t", State: Open}
	for range items {
		batch.Items = append(batch.Items, Item{Input: "input"})
	}
	return SubmitBatch{Batch: batch}
}

// listResult returns an entry that lists writer 1's result of an item of the batch "b".
func listResult(item int, position int64) ListResult {
	return ListResult{Result: Result{Writer: 1, Position: position, Batch: "b", Item: item, Status: StatusOK}}
}

func TestHasOpenBatch(t *testing.T) {
	for name, c := range map[string]struct {
		state *State
		want  bool
	}{
		"an empty shard":               {apply(), false},
		"a batch without results":      {apply(submitOpen(2)), true},
		"a batch with one of two":      {apply(submitOpen(2), listResult(0, 1)), true},
		"a batch with all its results": {apply(submitOpen(1), listResult(0, 1)), false},
		"a batch that was ended":       {apply(submitOpen(2), EndBatch{Batch: "b"}), false},
	} {
		if got := c.state.HasOpenBatch(); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

func TestHighestPositionCoversAllWriters(t *testing.T) {
	s := apply()
	if got := s.HighestPosition(); got != 0 {
		t.Fatalf("the highest position of an empty shard is %d, want 0", got)
	}
	s.LastPositions = map[int]int64{1: 7, 2: 90, 3: 12}
	if got := s.HighestPosition(); got != 90 {
		t.Fatalf("the highest position is %d, want 90", got)
	}
}
