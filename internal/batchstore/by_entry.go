package batchstore

import (
	"maps"
	"slices"
)

// byEntry maps entries of the replication groups, by unit and sequence number, to the values that are
// needed once the entry is durable.
type byEntry[V any] map[string]map[uint64]V

// put sets the value of an entry.
func (t byEntry[V]) put(unit string, seq uint64, value V) {
	if t[unit] == nil {
		t[unit] = map[uint64]V{}
	}
	t[unit][seq] = value
}

// take removes and returns the value of an entry.
func (t byEntry[V]) take(unit string, seq uint64) (V, bool) {
	value, ok := t[unit][seq]
	delete(t[unit], seq)
	return value, ok
}

// takeUnit removes and returns the values of all entries of a unit, in the entries' order.
func (t byEntry[V]) takeUnit(unit string) []V {
	entries := t[unit]
	delete(t, unit)
	values := make([]V, 0, len(entries))
	for _, seq := range slices.Sorted(maps.Keys(entries)) {
		values = append(values, entries[seq])
	}
	return values
}
