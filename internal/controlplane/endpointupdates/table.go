// Package endpointupdates keeps what the platform says of model servers on the disk of each core.
//
// These updates start at any daemon and are in memory only there. Each core writes them
// down, so that they outlive a stop of the whole fleet (DESIGN §8.3), and publishes them
// again when it starts. The table decides nothing else; its caller writes the
// records that it returns. It is not safe for concurrent use.
package endpointupdates

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// maxEndpoints bounds the table; a further endpoint is known until all daemons stop, but
// not on disk.
const maxEndpoints = 10_000

// Table is the newest update of each endpoint.
type Table struct {
	updates     map[string]machine.Update // by key
	republished bool
}

// New is an empty table.
func New() *Table { return &Table{updates: map[string]machine.Update{}} }

// LimitError tells that an update is not kept, as the table is full.
type LimitError struct {
	Endpoint string // the key of the update
}

func (e *LimitError) Error() string {
	return "more endpoints than a core keeps; " + e.Endpoint + " is not on disk"
}

// Accept takes an update into the table, and returns the record to write. There is none
// where the update is of something else, or not newer than what is known. The error is
// a *LimitError.
func (t *Table) Accept(update machine.Update) (records []machine.Record, err error) {
	known, isKnown := t.updates[update.Key]
	if !strings.HasPrefix(update.Key, keyPrefix) || !update.Newer(known) {
		return nil, nil
	}
	if !isKnown && len(t.updates) >= maxEndpoints {
		return nil, &LimitError{Endpoint: update.Key}
	}
	t.updates[update.Key] = update
	return []machine.Record{recordOf(update)}, nil
}

// Restore reads an update back from a record; false when the record is none of an endpoint.
func (t *Table) Restore(record machine.Record) (bool, error) {
	if record.Unit != unitEndpoints {
		return false, nil
	}
	var update machine.Update
	if err := json.Unmarshal(record.Body, &update); err != nil {
		return true, errs.New(errs.Corrupt, "move the whole data folder away and start empty: the cores give it a vote",
			"the update of an endpoint can't be read: %v", err)
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
	return machine.Record{Unit: unitEndpoints, Kind: kindEndpoint, Epoch: update.Epoch, Seq: update.Seq, Body: body}
}
