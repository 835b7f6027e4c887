package storage

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// FileSystem is all that this package asks of a disk. Tests give one that fails any operation,
// and that loses its power between any two.
type FileSystem interface {
	// MakeFolder makes a folder and those above it; one that is there is no error.
	MakeFolder(name string) error
	// List gives the names in a folder.
	List(folder string) ([]string, error)
	Read(name string) ([]byte, error)
	// Create makes a file, or empties the one that is there.
	Create(name string) (File, error)
	// Rename renames a file atomically, in place of one that has the new name.
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the names in a folder durable: those made, renamed and removed before.
	SyncFolder(name string) error
}

// File is a file that is being written.
type File interface {
	io.Writer
	// Sync makes the contents durable.
	Sync() error
	Close() error
}

// localFiles is the machine's own file system.
type localFiles struct{}

func (localFiles) MakeFolder(name string) error         { return os.MkdirAll(name, 0o755) }
func (localFiles) Read(name string) ([]byte, error)     { return os.ReadFile(name) }
func (localFiles) Create(name string) (File, error)     { return os.Create(name) }
func (localFiles) Rename(from, to string) error         { return os.Rename(from, to) }
func (localFiles) Remove(name string) error             { return os.Remove(name) }
func (localFiles) List(folder string) ([]string, error) { return listNames(folder) }

func listNames(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

func (localFiles) SyncFolder(name string) error {
	folder, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "opening the folder to sync it")
	}
	defer folder.Close()
	return folder.Sync()
}
