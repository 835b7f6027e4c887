package batchstore

import (
	"slices"
	"testing"
)

func TestByEntryKeepsUnitsAndEntriesApart(t *testing.T) {
	values := byEntry[string]{}
	values.put("u", 12, "u12")
	values.put("u", 3, "u3")
	values.put("u", 4, "u4")
	values.put("t", 3, "t3")
	if got, ok := values.take("u", 4); !ok || got != "u4" {
		t.Fatalf("took %q, %v", got, ok)
	}
	if got, ok := values.take("u", 4); ok {
		t.Fatalf("took %q again", got)
	}
	if got := values.takeUnit("u"); !slices.Equal(got, []string{"u3", "u12"}) {
		t.Fatalf("took %v from the unit, want u3 and u12", got)
	}
	if got := values.takeUnit("u"); len(got) != 0 {
		t.Fatalf("took %v from the unit again", got)
	}
	if got, ok := values.take("t", 3); !ok || got != "t3" {
		t.Fatalf("took %q, %v from the other unit", got, ok)
	}
}
