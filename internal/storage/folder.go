package storage

import (
	"fmt"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync/atomic"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// Folder is the log of one data folder: versions with increasing numbers, each of them the file of a
// commit group or of a snapshot. All methods must be called from one goroutine; the counters may be
// read from any.
type Folder struct {
	files       FileSystem
	folder      string
	nextVersion uint64
	// covered are the paths of the files that the next snapshot replaces.
	covered []string
	// Syncs and Bytes count the syncs and the bytes of the writes that succeeded.
	Syncs, Bytes atomic.Int64
	// BeforeStep, if set, is called before each step of a write; if it returns an error, the step
	// fails. Only tests and builds with planted faults (cmd/store) set it.
	BeforeStep StepHook
}

// damagedDiskRemedy is the remedy of every errs.Corrupt: files that were durable are damaged or
// missing, and only the other replicas have the data.
const damagedDiskRemedy = "this disk is damaged: move the whole data folder away and start with an empty one; the data is copied from the other replicas"

// Open reads the records of a folder: those of the newest snapshot and then those of the commit
// groups after it. It creates the folder if there is none. The error is a WriteError if the folder
// can't be prepared, and otherwise errs.Corrupt or errs.WrongFolder.
func Open(folder string) (*Folder, []machine.Record, error) {
	return OpenOn(localFiles{}, folder)
}

// OpenOn is Open on another file system.
func OpenOn(files FileSystem, folder string) (*Folder, []machine.Record, error) {
	// The versions that a snapshot replaces must not be removed durably while the snapshot's own
	// name may still be lost.
	if err := syncFolderNames(files, folder); err != nil {
		return nil, nil, err
	}
	versions, err := listVersions(files, folder)
	if err != nil {
		return nil, nil, err
	}
	f := &Folder{files: files, folder: folder, nextVersion: 1}
	records, base, err := f.readSnapshot(versions.snapshots)
	if err != nil {
		return nil, nil, err
	}
	appended, err := f.readGroups(versions.groups, base)
	if err != nil {
		return nil, nil, err
	}
	return f, append(records, appended...), nil
}

// readSnapshot reads the newest snapshot and removes the older ones, which it replaces. base is its
// version, or 0 if there is none.
func (f *Folder) readSnapshot(snapshots []uint64) (records []machine.Record, base uint64, err error) {
	if len(snapshots) == 0 {
		return nil, 0, nil
	}
	last := len(snapshots) - 1
	base = snapshots[last]
	f.nextVersion = base + 1
	if records, err = f.read(base, snapshotSuffix); err != nil {
		return nil, 0, err
	}
	f.remove(snapshots[:last], snapshotSuffix)
	f.covered = append(f.covered, f.path(base, snapshotSuffix))
	return records, base, nil
}

// readGroups reads the commit groups after the snapshot of version base, and removes the earlier
// ones, which the snapshot replaces.
func (f *Folder) readGroups(groups []uint64, base uint64) ([]machine.Record, error) {
	first := sort.Search(len(groups), func(i int) bool { return groups[i] >= base })
	f.remove(groups[:first], groupSuffix)
	var records []machine.Record
	for _, version := range groups[first:] {
		// If the sync of the folder failed after a snapshot's rename, the snapshot exists and the
		// commit group after it has the same version.
		isNext := version == f.nextVersion || version == base
		if !isNext {
			return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "version %016x is missing: %016x is the next one that exists", f.nextVersion, version)
		}
		group, err := f.read(version, groupSuffix)
		if err != nil {
			return nil, err
		}
		records = append(records, group...)
		f.nextVersion = version + 1
		f.covered = append(f.covered, f.path(version, groupSuffix))
	}
	return records, nil
}

// versionList has the versions of a folder's files, in ascending order.
type versionList struct{ groups, snapshots []uint64 }

// listVersions lists the versions that exist, and removes temporary files. Files with other suffixes
// are ignored.
func listVersions(files FileSystem, folder string) (versions versionList, err error) {
	names, err := files.List(folder)
	if err != nil {
		return versions, errs.New(errs.Corrupt, damagedDiskRemedy, "the data folder can't be listed: %v", err)
	}
	for _, name := range names {
		var list *[]uint64
		switch filepath.Ext(name) {
		case temporarySuffix:
			_ = files.Remove(filepath.Join(folder, name)) // if it remains, no reader opens it
			continue
		case groupSuffix:
			list = &versions.groups
		case snapshotSuffix:
			list = &versions.snapshots
		default:
			continue
		}
		version, err := versionOfName(name)
		if err != nil {
			return versions, err
		}
		*list = append(*list, version)
	}
	slices.Sort(versions.groups)
	slices.Sort(versions.snapshots)
	return versions, nil
}

// versionOfName parses the version in a file's name.
func versionOfName(name string) (version uint64, err error) {
	if _, err := fmt.Sscanf(strings.TrimSuffix(name, filepath.Ext(name)), "%016x", &version); err != nil {
		return 0, errs.New(errs.Corrupt, "move the file out of the data folder", "the name of file %s is not a version", name)
	}
	return version, nil
}

func (f *Folder) path(version uint64, suffix string) string {
	return filepath.Join(f.folder, fmt.Sprintf("%016x%s", version, suffix))
}

// remove removes files that a snapshot replaces. One that can't be removed now is removed at the next
// start.
func (f *Folder) remove(versions []uint64, suffix string) {
	for _, version := range versions {
		_ = f.files.Remove(f.path(version, suffix))
	}
}

// read reads the records of one file.
func (f *Folder) read(version uint64, suffix string) ([]machine.Record, error) {
	path := f.path(version, suffix)
	data, err := f.files.Read(path)
	if err != nil {
		return nil, errs.New(errs.Corrupt, damagedDiskRemedy, "file %s can't be read: %v", filepath.Base(path), err)
	}
	return decodeFile(filepath.Base(path), data)
}

// Write makes the records of one commit group durable. After a WriteError the same or another write
// may be tried; it gets the same version.
func (f *Folder) Write(records []machine.Record) error { return f.write(records, groupSuffix) }

// Compact writes a snapshot that replaces all versions so far, and then removes them. After a
// WriteError all versions remain, and a snapshot of this or a later state may be tried.
func (f *Folder) Compact(records []machine.Record) error {
	replaced := f.covered
	if err := f.write(records, snapshotSuffix); err != nil {
		return err
	}
	snapshot := f.covered[len(replaced):]
	f.covered = slices.Clone(snapshot)
	for _, path := range replaced {
		if err := f.files.Remove(path); err != nil {
			f.covered = append(f.covered, path) // the next snapshot replaces it too
		}
	}
	return nil
}

// write makes the next version durable. nextVersion advances only on success: if the sync of the
// folder failed, the file may exist, and the next write replaces it under the same name.
func (f *Folder) write(records []machine.Record, suffix string) error {
	data, err := encodeFile(records)
	if err != nil {
		return err
	}
	path := f.path(f.nextVersion, suffix)
	if err := writeFileAtomically(f.files, path, data, f.BeforeStep); err != nil {
		return err
	}
	f.nextVersion++
	f.covered = append(f.covered, path)
	f.countWrite(len(data))
	return nil
}

// countWrite counts an atomic write: the sync of the file and that of its folder.
func (f *Folder) countWrite(bytes int) {
	f.Syncs.Add(2)
	f.Bytes.Add(int64(bytes))
}
