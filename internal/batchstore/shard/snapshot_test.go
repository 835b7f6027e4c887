package shard

import (
	"reflect"
	"strings"
	"testing"
)

// partsOf returns all parts of a snapshot.
func partsOf(snapshot *Snapshot) [][]byte {
	var parts [][]byte
	for index := range snapshot.Sizes() {
		parts = append(parts, snapshot.Part(index))
	}
	return parts
}

func TestSnapshotRestoresTheState(t *testing.T) {
	other := submitOpen(1)
	other.Batch.ID = "a"
	s := apply(submitOpen(2), other, listResult(1, 5), BeginClaim{Claim: Claim{Tenant: "t", Key: "k", State: Claimed}})
	for name, parts := range map[string][][]byte{"for another member": partsOf(s.Snapshot(nil)), "for this disk": s.LocalParts()} {
		back, err := Restore(parts)
		if err != nil || !reflect.DeepEqual(back, s) {
			t.Fatalf("%s: restored as %+v, %v", name, back, err)
		}
		if !reflect.DeepEqual(partsOf(back.Snapshot(nil)), parts) {
			t.Fatalf("%s: the snapshot of the same state differs", name)
		}
		// The set of items with results is restored as well, so the item is not listed again.
		listResult(1, 6).Apply(back)
		if got := len(back.Batches["b"].Results); got != 1 {
			t.Fatalf("%s: %d results", name, got)
		}
	}
}

// A snapshot for another member contains an archived batch completely; one for this daemon's own disk
// contains only its archive location, from the time when the archive file is being written.
func TestArchivedBatchesAreInlinedForOtherMembersOnly(t *testing.T) {
	s := apply(submitOpen(1), listResult(0, 5))
	batch := s.Batches["b"]
	encoded := batch.BeginArchiving(4)
	check := func(when string) {
		t.Helper()
		local, err := Restore(s.LocalParts())
		if err != nil || len(local.Batches["b"].Results) != 0 || local.Batches["b"].Archived.File != 4 {
			t.Errorf("%s, for this disk: %+v, %v", when, local.Batches["b"], err)
		}
		sent, err := Restore(partsOf(s.Snapshot(func(*Batch) []byte { return encoded })))
		if err != nil || len(sent.Batches["b"].Results) != 1 || sent.Batches["b"].Archived != nil || !sent.Batches["b"].HasResult(0) {
			t.Errorf("%s, for another member: %+v, %v", when, sent.Batches["b"], err)
		}
	}
	check("while the file is being written")
	if len(batch.Results) != 1 {
		t.Error("the results were released from memory before the file was durable")
	}
	batch.CompleteArchiving()
	check("once it is durable")
}

// The estimated sizes of the parts are close to the actual ones, so that chunks of a snapshot have an
// even size.
func TestSnapshotPartSizesAreCloseToEncoded(t *testing.T) {
	submit := submitOpen(40)
	for i := range submit.Batch.Items {
		submit.Batch.Items[i].Request = &Request{Target: "/some/target", Host: "host.example", Header: map[string]string{"name": "some value"}, Body: make([]byte, 1000)}
	}
	result := listResult(3, 5)
	result.Result.Output = strings.Repeat("some output\n", 2000)
	s := apply(submit, result)
	snapshot := s.Snapshot(nil)
	for index, size := range snapshot.Sizes() {
		if got := len(snapshot.Part(index)); size < got*3/4 || size > got*3/2+batchOverhead {
			t.Errorf("part %d is estimated at %d bytes, and has %d", index, size, got)
		}
	}
	batch := s.Batches["b"]
	batch.State = Ended
	encoded := batch.BeginArchiving(1)
	batch.CompleteArchiving()
	if got := s.Snapshot(nil).Sizes()[1]; got != len(encoded) {
		t.Errorf("an archived batch is estimated at %d bytes, and has %d", got, len(encoded))
	}
}

func TestRestoreRejectsADamagedPart(t *testing.T) {
	if s, err := Restore([][]byte{[]byte(`{"bundle":`)}); err == nil {
		t.Fatalf("restored as %+v", s)
	}
}
