package mechanism

import (
	"strings"
	"testing"
)

func TestSetsAreParsed(t *testing.T) {
	empty, err := Parse("")
	if err != nil || empty.Has(BatchMemory) {
		t.Fatalf("empty set: got %v, %v", empty, err)
	}
	set, err := Parse("batch-memory, scorer-prefix")
	if err != nil || !set.Has(BatchMemory) || !set.Has(Scorer("prefix")) || set.Has(RetryBudget) {
		t.Fatalf("got set %v, %v", set, err)
	}
	for _, name := range All() {
		if set, err := Parse(string(name)); err != nil || !set.Has(name) {
			t.Errorf("%s: %v, %v", name, set, err)
		}
	}
}

func TestUnknownNamesAreRejected(t *testing.T) {
	for _, text := range []string{"pace", "batch-memory,", "scorer-leaving"} {
		_, err := Parse(text)
		if err == nil || !strings.Contains(err.Error(), "retry-budget") {
			t.Errorf("%q: %v", text, err)
		}
	}
}
