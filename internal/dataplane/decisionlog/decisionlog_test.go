package decisionlog

import (
	"fmt"
	"testing"
)

func TestOldestEntryIsEvicted(t *testing.T) {
	l := New(2)
	for _, id := range []string{"a", "b", "a", "c"} {
		l.Begin(Entry{RequestID: id, Route: "r"})
	}
	for id, want := range map[string]bool{"a": false, "b": true, "c": true} {
		if _, ok := l.Find(id); ok != want {
			t.Errorf("entry %s found: %v", id, ok)
		}
	}
}

func TestEntryRecordsAttemptsAndOutcome(t *testing.T) {
	l := New(2)
	l.Begin(Entry{RequestID: "a", Tenant: "t"})
	for i := range maxAttempts + 3 {
		l.RecordAttempt("a", Attempt{Server: fmt.Sprint("s", i)})
	}
	l.RecordAttempt("unknown", Attempt{Server: "s"})
	l.RecordOutcome("a", "done")
	l.RecordOutcome("unknown", "done")
	got, ok := l.Find("a")
	if !ok || got.Tenant != "t" || got.Outcome != "done" || len(got.Attempts) != maxAttempts || got.Attempts[0].Server != "s0" {
		t.Fatalf("%+v", got)
	}
	got.Attempts[0].Server = "changed"
	if again, _ := l.Find("a"); again.Attempts[0].Server != "s0" {
		t.Error("the entry returned by Find shares memory with the log")
	}
}

func TestSlowestAreSortedByLatency(t *testing.T) {
	l := New(10)
	for id, duration := range map[string]int64{"fast": 10, "slow": 900, "middle": 200} {
		l.Begin(Entry{RequestID: id, ReceivedAt: 1000})
		l.RecordAttempt(id, Attempt{StartedAt: 1100, Duration: 5000})
		l.RecordAttempt(id, Attempt{StartedAt: 1200, Duration: duration})
	}
	l.Begin(Entry{RequestID: "not started"})
	for count, want := range map[int]string{1: "[slow]", 2: "[slow middle]", 9: "[slow middle fast]"} {
		var ids []string
		for _, e := range l.Slowest(count) {
			ids = append(ids, e.RequestID)
		}
		if fmt.Sprint(ids) != want {
			t.Errorf("the slowest %d entries are %v, want %s", count, ids, want)
		}
	}
}
