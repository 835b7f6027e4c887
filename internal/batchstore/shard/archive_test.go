package shard

import (
	"reflect"
	"testing"
)

func TestArchivedBatchIsReadBackComplete(t *testing.T) {
	s := apply(submitOpen(2), listResult(1, 5), listResult(0, 9))
	batch := s.Batches["b"]
	before := *batch
	data := batch.BeginArchiving(4)
	if batch.IsArchivable() || !batch.IsBeingArchived() {
		t.Fatal("a batch that is being archived is archivable again")
	}
	batch.CompleteArchiving()
	if batch.IsArchivable() || batch.IsBeingArchived() || batch.Items != nil || batch.Results != nil {
		t.Fatalf("the archived batch is %+v", batch)
	}
	want := ArchiveLocation{File: 4, Items: 2, Results: 2, LastPositions: map[int]int64{1: 9}, size: len(data)}
	if !reflect.DeepEqual(*batch.Archived, want) {
		t.Fatalf("the archive location is %+v, want %+v", *batch.Archived, want)
	}
	if items, results := batch.Counts(); items != 2 || results != 2 {
		t.Fatalf("the archived batch has %d items and %d results, want 2 and 2", items, results)
	}
	back, err := DecodeArchived(data)
	if err != nil || !reflect.DeepEqual(back.Results, before.Results) || !reflect.DeepEqual(back.Items, before.Items) || back.State != Done || back.Archived != nil {
		t.Fatalf("the batch is decoded as %+v, %v", back, err)
	}
}

func TestOpenBatchIsNotArchivable(t *testing.T) {
	if apply(submitOpen(2), listResult(0, 5)).Batches["b"].IsArchivable() {
		t.Fatal("an open batch is archivable")
	}
}
