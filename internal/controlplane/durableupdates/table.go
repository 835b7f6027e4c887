// Package durableupdates persists, on the disk of each core, the updates without which requests
// cannot be served: the platform's updates on model servers, and the configuration in force.
//
// Updates on servers originate at any daemon, which holds them in memory only; the configuration
// is published only by the primary core, which must be elected first. Each core persists them as
// they arrive, so that they survive a stop of the whole fleet (DESIGN §8.3), and publishes them
// again when it starts. A configuration is published only once it is confirmed, and daemons use
// the newest, so an older one that a core publishes after a stop does not undo a newer one. The
// table only selects the records; its caller writes them. It is not safe for concurrent use.
package durableupdates

import (
	"encoding/json"
	"maps"
	"slices"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// maxUpdates bounds the table. Updates beyond it are gossiped as usual but not persisted, so they
// are lost when all daemons stop.
const maxUpdates = 10_000

// Table holds the newest update of each key that is kept.
type Table struct {
	updates     map[string]machine.Update // by key
	republished bool
}

// New returns an empty table.
func New() *Table { return &Table{updates: map[string]machine.Update{}} }

// LimitError reports that an update is not kept because the table is full.
type LimitError struct {
	Key string // of the update
}

func (e *LimitError) Error() string {
	return "the table of durable updates is full; the update " + e.Key + " is not persisted"
}

// Accept adds an update to the table and returns the record to write. There is none if
// updates with the key are not kept or the update is not newer than the known one. The
// error is a *LimitError.
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

// Restore adds the update in a stored record to the table. It returns false if the record belongs
// to another unit.
func (t *Table) Restore(record machine.Record) (bool, error) {
	if record.Unit != unitUpdates {
		return false, nil
	}
	var update machine.Update
	if err := json.Unmarshal(record.Body, &update); err != nil {
		return true, errs.New(errs.Corrupt, "move the whole data folder away and start with an empty one: the cores then give this core a vote again",
			"decoding a stored update: %v", err)
	}
	if update.Newer(t.updates[update.Key]) {
		t.updates[update.Key] = update
	}
	return true, nil
}

// Republish returns, on its first call, the updates in the table sorted by key, so that those
// restored from disk are published again. Later calls return nil.
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

// Records returns one record for each update in the table, sorted by key. Together they are
// equivalent to all records written so far.
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
