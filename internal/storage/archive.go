package storage

import (
	"path/filepath"
	"sync"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Archive holds files of finished records beside a Folder, to be read back one by one. Put is
// called from the goroutine that writes the Folder; Get and Delete may be called from any.
type Archive struct {
	folder *Folder // gives paths and reads files; it has no versions of its own
	// initialFiles are the files that were there at the start.
	initialFiles []uint64
	lastFile     uint64

	mu sync.Mutex // guards what follows
	// The file that was read last stays decoded, for readers page through the records of one file.
	// cachedRecords are its records' bodies by unit; nil where none is cached.
	cachedFile    uint64
	cachedRecords map[string][]byte
}

// OpenArchive opens an archive and removes files that were never completed. It makes the folder
// where there is none. The error is a WriteError or an errs.Corrupt.
func OpenArchive(folder string) (*Archive, error) { return OpenArchiveOn(localFiles{}, folder) }

// OpenArchiveOn is OpenArchive on another file system.
func OpenArchiveOn(files FileSystem, folder string) (*Archive, error) {
	if err := syncFolderNames(files, folder); err != nil {
		return nil, err
	}
	names, err := files.List(folder)
	if err != nil {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "the archive's folder can't be listed: %v", err)
	}
	archive := &Archive{folder: &Folder{files: files, folder: folder}}
	for _, name := range names {
		if filepath.Ext(name) == temporarySuffix {
			_ = files.Remove(filepath.Join(folder, name)) // no reader opens one that remains
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

// Files lists the numbers of the files that were there at the start.
func (a *Archive) Files() []uint64 { return a.initialFiles }

// LastFile is the highest of Files, 0 where there were none.
func (a *Archive) LastFile() uint64 { return a.lastFile }

// Put makes a file of records durable; each record has a unit of its own. The write is counted by
// counts. The error is a WriteError where the disk refused it.
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

// Get reads the body of one record. The error is an errs.Corrupt.
func (a *Archive) Get(file uint64, unit string) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.load(file); err != nil {
		return nil, err
	}
	body, ok := a.cachedRecords[unit]
	if !ok {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "the archive's file %d does not have %s", file, unit)
	}
	return body, nil
}

// load decodes a file into the cache. a.mu is held.
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

// Delete removes files. Those that remain are found unused at the next start.
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
