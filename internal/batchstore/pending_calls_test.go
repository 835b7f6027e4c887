package batchstore

import (
	"slices"
	"testing"
)

// callNumbers returns the numbers of the given calls.
func callNumbers(calls []pendingCall) []uint64 {
	var out []uint64
	for _, call := range calls {
		out = append(out, call.number)
	}
	return out
}

func testPendingCalls() pendingCalls {
	p := newPendingCalls()
	p.add("u", 8, pendingCall{number: 1, deadline: 50})
	p.add("u", 7, pendingCall{number: 2, deadline: 30})
	p.add("u", 7, pendingCall{number: 3, deadline: 40})
	p.add("t", 9, pendingCall{number: 4, deadline: 30})
	return p
}

func TestPendingCallsOfAnEntryAreTakenOnce(t *testing.T) {
	p := testPendingCalls()
	if got := callNumbers(p.takeDurable("u", 7)); !slices.Equal(got, []uint64{2, 3}) {
		t.Fatalf("took the calls %v, want 2 and 3", got)
	}
	if got := p.takeDurable("u", 7); len(got) != 0 {
		t.Fatalf("took the calls %v again", got)
	}
}

func TestPendingCallsOfAUnitAreInTheOrderOfEntries(t *testing.T) {
	p := testPendingCalls()
	if got := callNumbers(p.takeUnit("u")); !slices.Equal(got, []uint64{2, 3, 1}) {
		t.Fatalf("took the calls %v, want 2, 3 and 1", got)
	}
	if got := callNumbers(p.takeUnit("t")); !slices.Equal(got, []uint64{4}) {
		t.Fatalf("took the calls %v from the other unit, want 4", got)
	}
}

func TestPendingCallsExpireAtTheirDeadlines(t *testing.T) {
	p := testPendingCalls()
	for _, step := range []struct {
		now  int64
		want []uint64
	}{{29, nil}, {30, []uint64{4, 2}}, {49, []uint64{3}}, {50, []uint64{1}}, {90, nil}} {
		if got := callNumbers(p.takeOverdue(step.now)); !slices.Equal(got, step.want) {
			t.Fatalf("at %d the calls %v expired, want %v", step.now, got, step.want)
		}
	}
}
