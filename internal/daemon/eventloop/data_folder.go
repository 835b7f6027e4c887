package eventloop

import (
	"path/filepath"

	"tuliprudder/internal/machine"
	"tuliprudder/internal/storage"
)

// OpenRecords opens the records under a data folder and reads them.
func OpenRecords(dataFolder string) (*storage.Folder, []machine.Record, error) {
	return storage.Open(filepath.Join(dataFolder, recordsFolder))
}

// OpenArchive opens the archive of finished batches under a data folder.
func OpenArchive(dataFolder string) (*storage.Archive, error) {
	return storage.OpenArchive(filepath.Join(dataFolder, archiveFolder))
}
