package storage

import (
	"path/filepath"
	"sync"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Archive stores finished records in files beside a Folder, from which they are read individually.
// Put is called from the goroutine that writes the Folder; Get and Delete may be called from any.
type Archive struct {
	folder *Folder // builds paths and reads files; it has no versions of its own
	// initialFiles are the files that existed at the start.
	initialFiles []uint64
	lastFile     uint64

	mu sync.Mutex // guards the fields below
	// The file that was read last stays decoded, because readers page through the records of one
	// file. cachedRecords are its records' bodies by unit; nil if no file is cached.
	cachedFile    uint64
	cachedRecords map[string][]byte
}

// OpenArchive opens an archive and removes files that were never completed. It creates the folder if
// there is none. The error is a WriteError or an errs.Corrupt.
func OpenArchive(folder string) (*Archive, error) { return OpenArchiveOn(localFiles{}, folder) }

// OpenArchiveOn is OpenArchive on another file system.
func OpenArchiveOn(files FileSystem, folder string) (*Archive, error) {
	if err := syncFolderNames(files, folder); err != nil {
		return nil, err
	}
	names, err := files.List(folder)
	if err != nil {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "the archive folder can't be listed: %v", err)
	}
	archive := &Archive{folder: &Folder{files: files, folder: folder}}
	for _, name := range names {
		if filepath.Ext(name) == temporarySuffix {
			_ = files.Remove(filepath.Join(folder, name)) // if it remains, no reader opens it
			continue
		}
		file, err := versionOfName(name)
		if err != nil {
			return nil, err
		}
		archive.initialFiles = append(archive.initialFiles, file)
		archive.lastFile = max(archive.lastFile, file)
	}
	return archive, nil
}

// Files returns the numbers of the files that existed at the start.
func (a *Archive) Files() []uint64 { return a.initialFiles }

// LastFile returns the highest of Files, or 0 if there were none.
func (a *Archive) LastFile() uint64 { return a.lastFile }

// Put writes records to a durable file; each record must have a different unit. The write is counted
// in counts. The error is a WriteError if the disk refused the write.
func (a *Archive) Put(file uint64, records []machine.Record, counts *Folder) error {
	data, err := encodeFile(records)
	if err != nil {
		return err
	}
	if err := writeFileAtomically(a.folder.files, a.folder.path(file, archiveSuffix), data, a.folder.BeforeStep); err != nil {
		return err
	}
	counts.countWrite(len(data))
	return nil
}

// Get returns the body of one record. The error is an errs.Corrupt.
func (a *Archive) Get(file uint64, unit string) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.load(file); err != nil {
		return nil, err
	}
	body, ok := a.cachedRecords[unit]
	if !ok {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "archive file %d does not contain %s", file, unit)
	}
	return body, nil
}

// load decodes a file into the cache. a.mu must be held.
func (a *Archive) load(file uint64) error {
	if a.cachedRecords != nil && a.cachedFile == file {
		return nil
	}
	records, err := a.folder.read(file, archiveSuffix)
	if err != nil {
		return err
	}
	a.cachedFile = file
	a.cachedRecords = make(map[string][]byte, len(records))
	for _, record := range records {
		a.cachedRecords[record.Unit] = record.Body
	}
	return nil
}

// Delete removes files. One that can't be removed is found to be unused at the next start.
func (a *Archive) Delete(files []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, file := range files {
		if file == a.cachedFile {
			a.cachedRecords = nil
		}
		_ = a.folder.files.Remove(a.folder.path(file, archiveSuffix))
	}
}
