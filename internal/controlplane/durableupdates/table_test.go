package durableupdates

import (
	"errors"
	"fmt"
	"testing"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

func update(key string, seq uint64) machine.Update {
	return machine.Update{Key: key, Epoch: 1, Seq: seq, Value: []byte(`{}`)}
}

// accept passes an update to the table and checks whether it is to be written.
func accept(t *testing.T, table *Table, u machine.Update, written bool) []machine.Record {
	t.Helper()
	records, err := table.Accept(u)
	if err != nil || (len(records) == 1) != written {
		t.Fatalf("%s %d: %d records, %v", u.Key, u.Seq, len(records), err)
	}
	return records
}

func TestOnlyNewerUpdatesAreWritten(t *testing.T) {
	table := New()
	accept(t, table, update("server/a", 2), true)
	accept(t, table, update("server/a", 2), false)
	accept(t, table, update("server/a", 1), false)
	accept(t, table, update("server/a", 3), true)
	accept(t, table, update("map", 9), false)
	accept(t, table, update("planet", 9), false)
	accept(t, table, update("plan", 9), true)
	accept(t, table, update("plan", 8), false)
	if n := len(table.Records()); n != 2 {
		t.Errorf("got %d records, want 2", n)
	}
}

// Written updates are restored, whatever the order of the records, and are published once, sorted
// by key.
func TestUpdatesRoundTrip(t *testing.T) {
	written, table := New(), New()
	old := accept(t, written, update("server/b", 1), true)
	records := accept(t, written, update("server/b", 4), true)
	records = append(records, accept(t, written, update("server/a", 2), true)...)
	records = append(records, accept(t, written, update("plan", 7), true)...)
	for _, record := range append(records, old...) {
		if isKept, err := table.Restore(record); !isKept || err != nil {
			t.Fatalf("%+v: %v %v", record, isKept, err)
		}
	}
	published := table.Republish()
	if len(published) != 3 || published[0].Key != "plan" || published[1].Key != "server/a" || published[2].Key != "server/b" || published[2].Seq != 4 {
		t.Errorf("published: %+v", published)
	}
	if again := table.Republish(); again != nil {
		t.Errorf("published a second time: %+v", again)
	}
}

func TestRestoreOfOtherAndDamagedRecords(t *testing.T) {
	table := New()
	if isKept, err := table.Restore(machine.Record{Unit: "core"}); isKept || err != nil {
		t.Errorf("record of another unit: %v %v", isKept, err)
	}
	if isKept, err := table.Restore(machine.Record{Unit: unitUpdates, Body: []byte("{")}); !isKept || !errs.Is(err, errs.Corrupt) || errs.Of(err).Remedy == "" {
		t.Errorf("damaged record: %v %v", isKept, err)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range maxUpdates {
		accept(t, table, update(fmt.Sprint("server/", i), 1), true)
	}
	var limit *LimitError
	if _, err := table.Accept(update("server/more", 1)); !errors.As(err, &limit) || limit.Key != "server/more" {
		t.Errorf("one update above the limit: got error %v", err)
	}
	accept(t, table, update("server/0", 2), true) // a known key is still updated
}
