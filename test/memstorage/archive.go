// Package memstorage provides in-memory replacements for the on-disk storage of a store, for the
// simulator (test/simulator) and the capacity model (test/capacitymodel). Its types are not safe
// for concurrent use.
package memstorage

import (
	"maps"
	"slices"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Archive is the in-memory counterpart of internal/storage.Archive. It maps the number of each
// file to record bodies by unit, and implements batchstore.Archive.
type Archive map[uint64]map[string][]byte

// Put adds a file with the bodies of the records by unit.
func (a Archive) Put(file uint64, records []machine.Record) {
	bodies := make(map[string][]byte, len(records))
	for _, record := range records {
		bodies[record.Unit] = record.Body
	}
	a[file] = bodies
}

// Delete removes files. Missing files are ignored.
func (a Archive) Delete(files []uint64) {
	for _, file := range files {
		delete(a, file)
	}
}

// Get returns the body of a unit in a file, or an errs.Corrupt error if there is none.
func (a Archive) Get(file uint64, unit string) ([]byte, error) {
	if body, ok := a[file][unit]; ok {
		return body, nil
	}
	return nil, errs.New(errs.Corrupt, "", "no %s in archive file %d", unit, file)
}

// Files returns the numbers of the files in ascending order.
func (a Archive) Files() []uint64 { return slices.Sorted(maps.Keys(a)) }

// LastFile returns the highest file number, or 0 if there are no files.
func (a Archive) LastFile() uint64 {
	last := uint64(0)
	for file := range a {
		last = max(last, file)
	}
	return last
}
