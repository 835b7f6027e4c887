package shard

import "testing"

// Failed attempts are counted per item, are part of a snapshot, and are deleted once their batch is no
// longer open.
func TestFailuresAreCountedWhileTheBatchIsOpen(t *testing.T) {
	s := New()
	batch := Batch{ID: "b", State: Open, Items: []Item{{ID: "x"}, {ID: "y"}, {ID: "z"}}}
	apply := func(e Entry) {
		decoded, err := Decode(Encode(e))
		if err != nil {
			t.Fatal(err)
		}
		decoded.Apply(s)
	}
	apply(SubmitBatch{Batch: batch})
	for _, item := range []int{0, 1, 1, 7, -1} {
		apply(RecordFailure{Batch: "b", Item: item})
	}
	apply(RecordFailure{Batch: "other", Item: 0})
	check := func(s *State, want ...int) {
		t.Helper()
		for item, count := range want {
			if got := s.FailedAttempts["b"][item]; got != count {
				t.Errorf("item %d: %d failures, want %d", item, got, count)
			}
		}
	}
	check(s, 1, 2, 0)
	snapshot := s.Snapshot(nil)
	var parts [][]byte
	for i := range snapshot.Sizes() {
		parts = append(parts, snapshot.Part(i))
	}
	restored, err := Restore(parts)
	if err != nil {
		t.Fatal(err)
	}
	check(restored, 1, 2, 0)
	apply(ListResult{Result: Result{Batch: "b", Item: 1}})
	apply(RecordFailure{Batch: "b", Item: 1})
	check(s, 1, 2, 0) // the item's count is deleted together with the batch's
	apply(EndBatch{Batch: "b"})
	check(s, 0, 0, 0)
}
