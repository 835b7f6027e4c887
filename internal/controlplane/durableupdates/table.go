// Package durableupdates keeps the updates that callers can't be served without on the disk of each
// core: what the platform says of model servers, and the configuration in force.
//
// Updates on servers start at any daemon and are in memory only there; the configuration is
// published by the primary core alone, which has to be elected first. Each core writes them down as
// they come, so that they outlive a stop of the whole fleet (DESIGN §8.3), and publishes them
// again when it starts. A configuration is published only once it is confirmed, and daemons go by
// the newest, so an older one that a core publishes after a stop takes nothing back. The table
// decides nothing else; its caller writes the records that it returns. It is not safe for
// concurrent use.
package durableupdates

import (
	"encoding/json"
	"maps"
	"slices"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// maxUpdates bounds the table; a further update is known until all daemons stop, but not on disk.
const maxUpdates = 10_000

// Table is the newest update of each key that is kept.
type Table struct {
	updates     map[string]machine.Update // by key
	republished bool
}

// New is an empty table.
func New() *Table { return &Table{updates: map[string]machine.Update{}} }

// LimitError tells that an update is not kept, as the table is full.
type LimitError struct {
	Key string // of the update
}

func (e *LimitError) Error() string {
	return "more updates than a core keeps; " + e.Key + " is not on disk"
}

// Accept takes an update into the table, and returns the record to write. There is none
// where the update is of something else, or not newer than what is known. The error is
// a *LimitError.
func (t *Table) Accept(update machine.Update) (records []machine.Record, err error) {
	known, isKnown := t.updates[update.Key]
	if !IsKept(update.Key) || !update.Newer(known) {
		return nil, nil
	}
	if !isKnown && len(t.updates) >= maxUpdates {
		return nil, &LimitError{Key: update.Key}
	}
	t.updates[update.Key] = update
	return []machine.Record{recordOf(update)}, nil
}

// Restore reads an update back from a record; false when the record is of something else.
func (t *Table) Restore(record machine.Record) (bool, error) {
	if record.Unit != unitUpdates {
		return false, nil
	}
	var update machine.Update
	if err := json.Unmarshal(record.Body, &update); err != nil {
		return true, errs.New(errs.Corrupt, "move the whole data folder away and start empty: the cores give it a vote",
			"an update can't be read: %v", err)
	}
	if update.Newer(t.updates[update.Key]) {
		t.updates[update.Key] = update
	}
	return true, nil
}

// Republish returns the updates that were read back, in the order of their keys, the first
// time that it is called.
func (t *Table) Republish() []machine.Update {
	if t.republished {
		return nil
	}
	t.republished = true
	var out []machine.Update
	for _, key := range t.keys() {
		out = append(out, t.updates[key])
	}
	return out
}

// Records are records that say the same as all written so far, in the order of their keys.
func (t *Table) Records() []machine.Record {
	var out []machine.Record
	for _, key := range t.keys() {
		out = append(out, recordOf(t.updates[key]))
	}
	return out
}

func (t *Table) keys() []string { return slices.Sorted(maps.Keys(t.updates)) }

func recordOf(update machine.Update) machine.Record {
	body, _ := json.Marshal(update)
	return machine.Record{Unit: unitUpdates, Kind: kindUpdate, Epoch: update.Epoch, Seq: update.Seq, Body: body}
}
