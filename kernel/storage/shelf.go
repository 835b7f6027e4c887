package storage

import (
	"path/filepath"
	"sync"

	"tuliprudder/kernel/errs"
	"tuliprudder/kernel/machine"
)

// Shelf holds files of settled records beside a Folder's versions. Put and Drop
// are the disk thread's, Get may be called by any.
type Shelf struct {
	room *Folder
	top  uint64
	held []uint64
	mu   sync.Mutex
	// The file read last stays decoded: readers page through one bundle.
	last    uint64
	decoded map[string][]byte
}

// OpenShelf lists the files that are there; half-written ones are removed.
func OpenShelf(folder string) (*Shelf, error) { return OpenShelfOn(localFiles{}, folder) }

// OpenShelfOn is OpenShelf on another file system.
func OpenShelfOn(files FileSystem, folder string) (*Shelf, error) {
	if err := prepareFolder(files, folder); err != nil {
		return nil, err
	}
	names, err := files.List(folder)
	if err != nil {
		return nil, errs.New(errs.Corrupt, remedyDamaged, "the shelf's folder can't be read: %v", err)
	}
	shelf := &Shelf{room: &Folder{files: files, folder: folder}}
	for _, name := range names {
		if filepath.Ext(name) == asideSuffix {
			_ = files.Remove(filepath.Join(folder, name))
			continue
		}
		number, err := numberOf(name)
		if err != nil {
			return nil, err
		}
		shelf.held = append(shelf.held, number)
		shelf.top = max(shelf.top, number)
	}
	return shelf, nil
}

// Held lists the files there were at the start; Top is the highest of them.
func (s *Shelf) Held() []uint64 { return s.held }

// Top is the highest file number there was at the start.
func (s *Shelf) Top() uint64 { return s.top }

// Put makes a file durable.
func (s *Shelf) Put(file uint64, records []machine.Record, room *Folder) error {
	data, err := encode(records)
	if err != nil {
		return err
	}
	if err := writeAside(s.room.files, s.room.path(file, shelfSuffix), data, s.room.Step); err != nil {
		return err
	}
	room.Syncs.Add(2)
	room.Bytes.Add(int64(len(data)))
	return nil
}

// Get reads one record back.
func (s *Shelf) Get(file uint64, unit string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != file || s.decoded == nil {
		records, err := s.room.read(file, shelfSuffix)
		if err != nil {
			return nil, err
		}
		s.last, s.decoded = file, map[string][]byte{}
		for _, record := range records {
			s.decoded[record.Unit] = record.Body
		}
	}
	body, ok := s.decoded[unit]
	if !ok {
		return nil, errs.New(errs.Corrupt, "this disk is damaged: move the whole data folder away and start empty", "the shelf's file %d does not hold %s", file, unit)
	}
	return body, nil
}

// Drop removes files.
func (s *Shelf) Drop(files []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, file := range files {
		if file == s.last {
			s.decoded = nil
		}
		_ = s.room.files.Remove(s.room.path(file, shelfSuffix)) // one that stays is found unused at the next start
	}
}
