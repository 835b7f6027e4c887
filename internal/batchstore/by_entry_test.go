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
		t.Fatalf("taken %q, %v", got, ok)
	}
	if got, ok := values.take("u", 4); ok {
		t.Fatalf("taken again %q", got)
	}
	if got := values.takeUnit("u"); !slices.Equal(got, []string{"u3", "u12"}) {
		t.Fatalf("the unit had %v", got)
	}
	if got := values.takeUnit("u"); len(got) != 0 {
		t.Fatalf("the unit still had %v", got)
	}
	if got, ok := values.take("t", 3); !ok || got != "t3" {
		t.Fatalf("taken of the other unit %q, %v", got, ok)
	}
}
