package shard

import (
	"reflect"
	"testing"
)

func TestSnapshotRestoresTheState(t *testing.T) {
	other := submitOpen(1)
	other.Batch.ID = "a"
	s := apply(submitOpen(2), other, listed(1, 5), BeginClaim{Claim: Claim{Tenant: "t", Key: "k", State: Claimed}})
	back, err := Restore(s.Snapshot(nil))
	if err != nil || !reflect.DeepEqual(back, s) {
		t.Fatalf("restored as %+v, %v", back, err)
	}
	if !reflect.DeepEqual(back.Snapshot(nil), s.Snapshot(nil)) {
		t.Fatal("the snapshot of the same state differs")
	}
	// The index of results is restored as well: the item is not listed again.
	listed(1, 6).Apply(back)
	if got := len(back.Batches["b"].Results); got != 1 {
		t.Fatalf("%d results", got)
	}
}

func TestSnapshotReadsArchivedBatchesOnlyWhenAsked(t *testing.T) {
	s := apply(submitOpen(1), listed(0, 5))
	complete := *s.Batches["b"]
	s.Batches["b"].CompleteArchiving(4)
	for name, c := range map[string]struct {
		read    func(*Batch) *Batch
		results int
	}{
		"for this disk":      {nil, 0},
		"for another member": {func(*Batch) *Batch { return &complete }, 1},
	} {
		back, err := Restore(s.Snapshot(c.read))
		if err != nil || len(back.Batches["b"].Results) != c.results {
			t.Errorf("%s: %+v, %v", name, back.Batches["b"], err)
		}
	}
}

func TestRestoreRejectsADamagedPart(t *testing.T) {
	if s, err := Restore([][]byte{[]byte(`{"bundle":`)}); err == nil {
		t.Fatalf("restored as %+v", s)
	}
}
