package storage

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// FileSystem has the file operations that this package needs. Tests use an implementation that fails
// any operation, and that simulates a power loss between any two.
type FileSystem interface {
	// MakeFolder creates a folder and its parents; it is no error if the folder exists.
	MakeFolder(name string) error
	// List returns the names in a folder.
	List(folder string) ([]string, error)
	// Read returns the whole contents of a file.
	Read(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one.
	Create(name string) (File, error)
	// Rename renames a file atomically, and replaces a file that has the new name.
	Rename(from, to string) error
	// Remove removes a file. A power loss can bring it back until SyncFolder has returned.
	Remove(name string) error
	// SyncFolder makes all earlier creations, renames and removals of names in a folder durable.
	SyncFolder(name string) error
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	// Sync makes the contents durable.
	Sync() error
	// Close closes the file. It does not make the contents durable; Sync does.
	Close() error
}

// localFiles is the local file system.
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
