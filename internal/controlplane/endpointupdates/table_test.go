package endpointupdates

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

// accept takes an update that has to be written or ignored.
func accept(t *testing.T, table *Table, u machine.Update, written bool) []machine.Record {
	t.Helper()
	records, err := table.Accept(u)
	if err != nil || (len(records) == 1) != written {
		t.Fatalf("%s %d: %d records, %v", u.Key, u.Seq, len(records), err)
	}
	return records
}

func TestOnlyNewerUpdatesOfEndpointsAreWritten(t *testing.T) {
	table := New()
	accept(t, table, update("server/a", 2), true)
	accept(t, table, update("server/a", 2), false)
	accept(t, table, update("server/a", 1), false)
	accept(t, table, update("server/a", 3), true)
	accept(t, table, update("plan", 9), false)
	if n := len(table.Records()); n != 1 {
		t.Errorf("%d records say the same as all", n)
	}
}

// What was written is read back and published once, in the order of keys, whatever the
// order of the records.
func TestUpdatesReadBack(t *testing.T) {
	written, table := New(), New()
	old := accept(t, written, update("server/b", 1), true)
	records := accept(t, written, update("server/b", 4), true)
	records = append(records, accept(t, written, update("server/a", 2), true)...)
	for _, record := range append(records, old...) {
		if isEndpoint, err := table.Restore(record); !isEndpoint || err != nil {
			t.Fatalf("%+v: %v %v", record, isEndpoint, err)
		}
	}
	published := table.Republish()
	if len(published) != 2 || published[0].Key != "server/a" || published[1].Key != "server/b" || published[1].Seq != 4 {
		t.Errorf("published are %+v", published)
	}
	if again := table.Republish(); again != nil {
		t.Errorf("published a second time are %+v", again)
	}
}

func TestOtherRecordsAndDamage(t *testing.T) {
	table := New()
	if isEndpoint, err := table.Restore(machine.Record{Unit: "core"}); isEndpoint || err != nil {
		t.Errorf("another unit: %v %v", isEndpoint, err)
	}
	if isEndpoint, err := table.Restore(machine.Record{Unit: unitEndpoints, Body: []byte("{")}); !isEndpoint || !errs.Is(err, errs.Corrupt) || errs.Of(err).Remedy == "" {
		t.Errorf("a damaged record: %v %v", isEndpoint, err)
	}
}

func TestTheTableIsBounded(t *testing.T) {
	table := New()
	for i := range maxEndpoints {
		accept(t, table, update(fmt.Sprint("server/", i), 1), true)
	}
	var limit *LimitError
	if _, err := table.Accept(update("server/more", 1)); !errors.As(err, &limit) || limit.Endpoint != "server/more" {
		t.Errorf("one more: %v", err)
	}
	accept(t, table, update("server/0", 2), true) // a known one is still updated
}
