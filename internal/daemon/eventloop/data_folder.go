package eventloop

import (
	"path/filepath"

	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

// OpenRecords opens the records folder within a data folder and reads its records.
func OpenRecords(dataFolder string) (*storage.Folder, []machine.Record, error) {
	return storage.Open(filepath.Join(dataFolder, recordsFolder))
}

// OpenArchive opens the archive of finished batches within a data folder.
func OpenArchive(dataFolder string) (*storage.Archive, error) {
	return storage.OpenArchive(filepath.Join(dataFolder, archiveFolder))
}
