// Package memstorage holds what a store's disk keeps in memory instead, for the simulator
// (test/simulator) and the capacity model (test/capacitymodel). Its values belong to one
// goroutine.
package memstorage

import (
	"maps"
	"slices"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Archive is an archive of a store (internal/storage.Archive on a real disk): the bodies of
// each file by unit. It implements batchstore.Archive.
type Archive map[uint64]map[string][]byte

// Put adds a file with a body for each record's unit.
func (a Archive) Put(file uint64, records []machine.Record) {
	bodies := make(map[string][]byte, len(records))
	for _, record := range records {
		bodies[record.Unit] = record.Body
	}
	a[file] = bodies
}

// Delete removes files; those that are not there are skipped.
func (a Archive) Delete(files []uint64) {
	for _, file := range files {
		delete(a, file)
	}
}

// Get returns the body of a unit in a file; errs.Corrupt where there is none.
func (a Archive) Get(file uint64, unit string) ([]byte, error) {
	if body, ok := a[file][unit]; ok {
		return body, nil
	}
	return nil, errs.New(errs.Corrupt, "", "no %s in archive file %d", unit, file)
}

// Files are the numbers of the files, in order.
func (a Archive) Files() []uint64 { return slices.Sorted(maps.Keys(a)) }

// LastFile is the highest number of a file; 0 where there is none.
func (a Archive) LastFile() uint64 {
	last := uint64(0)
	for file := range a {
		last = max(last, file)
	}
	return last
}
