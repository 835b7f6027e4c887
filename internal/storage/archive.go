package storage

import (
	"path/filepath"
	"sync"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Archive holds files of settled records beside a Folder's versions. Put and Drop
// are the disk thread's, Get may be called by any.
type Archive struct {
	folder   *Folder
	lastFile uint64
	files    []uint64
	mu       sync.Mutex
	// The file read last stays decoded: readers page through one batch.
	cachedFile    uint64
	cachedRecords map[string][]byte
}

// OpenArchive lists the files that are there; half-written ones are removed.
func OpenArchive(folder string) (*Archive, error) { return OpenArchiveOn(localFiles{}, folder) }

// OpenArchiveOn is OpenArchive on another file system.
func OpenArchiveOn(files FileSystem, folder string) (*Archive, error) {
	if err := syncFolderNames(files, folder); err != nil {
		return nil, err
	}
	names, err := files.List(folder)
	if err != nil {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "the shelf's folder can't be read: %v", err)
	}
	archive := &Archive{folder: &Folder{files: files, folder: folder}}
	for _, name := range names {
		if filepath.Ext(name) == temporarySuffix {
			_ = files.Remove(filepath.Join(folder, name))
			continue
		}
		number, err := versionOfName(name)
		if err != nil {
			return nil, err
		}
		archive.files = append(archive.files, number)
		archive.lastFile = max(archive.lastFile, number)
	}
	return archive, nil
}

// Files lists the files there were at the start; Top is the highest of them.
func (s *Archive) Files() []uint64 { return s.files }

// LastFile is the highest file number there was at the start.
func (s *Archive) LastFile() uint64 { return s.lastFile }

// Put makes a file durable.
func (s *Archive) Put(file uint64, records []machine.Record, folder *Folder) error {
	data, err := encode(records)
	if err != nil {
		return err
	}
	if err := writeFileAtomically(s.folder.files, s.folder.path(file, archiveSuffix), data, s.folder.BeforeStep); err != nil {
		return err
	}
	folder.Syncs.Add(2)
	folder.Bytes.Add(int64(len(data)))
	return nil
}

// Get reads one record back.
func (s *Archive) Get(file uint64, unit string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedFile != file || s.cachedRecords == nil {
		records, err := s.folder.read(file, archiveSuffix)
		if err != nil {
			return nil, err
		}
		s.cachedFile, s.cachedRecords = file, map[string][]byte{}
		for _, record := range records {
			s.cachedRecords[record.Unit] = record.Body
		}
	}
	body, ok := s.cachedRecords[unit]
	if !ok {
		return nil, errs.New(errs.Corrupt, "this disk is damaged: move the whole data folder away and start empty", "the shelf's file %d does not hold %s", file, unit)
	}
	return body, nil
}

// Delete removes files.
func (s *Archive) Delete(files []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, file := range files {
		if file == s.cachedFile {
			s.cachedRecords = nil
		}
		_ = s.folder.files.Remove(s.folder.path(file, archiveSuffix)) // one that stays is found unused at the next start
	}
}
