package shard

import (
	"reflect"
	"testing"
)

func TestOwnershipSpansFollowTheWriters(t *testing.T) {
	s := New()
	for _, step := range []Ownership{{Writer: 1, First: 3}, {Writer: 1, First: 8}, {Writer: 2, First: 21}, {Writer: 1, First: 40}, {Writer: 1, First: 41}} {
		s.recordOwnership(step.Writer, step.First)
	}
	want := []Ownership{{Writer: 1, First: 3, Last: 8}, {Writer: 2, First: 21, Last: 21}, {Writer: 1, First: 40, Last: 41}}
	if !reflect.DeepEqual(s.Ownerships, want) {
		t.Fatalf("the spans are %v, want %v", s.Ownerships, want)
	}
}

func TestOnlyTheNewestOwnershipsAreKept(t *testing.T) {
	s := New()
	for i := range maxOwnerships + 3 {
		s.recordOwnership(i%2+1, int64(i))
	}
	if len(s.Ownerships) != maxOwnerships || s.Ownerships[0].First != 3 {
		t.Fatalf("%d spans are kept, and the oldest starts at %d", len(s.Ownerships), s.Ownerships[0].First)
	}
}
