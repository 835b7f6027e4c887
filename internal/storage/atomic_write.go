package storage

import (
	"io"
	"path/filepath"
)

// StepHook is called before each step of a write with the step's name (see WriteError.Step); an
// error of it fails the step.
type StepHook func(step string) error

func (h StepHook) before(step string) error {
	if h == nil {
		return nil
	}
	return h(step)
}

// WriteFileAtomically makes a file durable, or leaves the one of that name as it was. The error is
// a WriteError.
func WriteFileAtomically(name string, data []byte) error {
	return writeFileAtomically(localFiles{}, name, data, nil)
}

// writeFileAtomically makes a file durable in four steps:
//
//  1. Write the contents under a temporary name. The file of the final name stays as it was.
//  2. Sync the temporary file, so that its contents are on disk before its name is final: a loss
//     of power could otherwise leave the final name with no or partial contents.
//  3. Rename it. The final name means the old file or the new one, never a mixture.
//  4. Sync the folder. Until then a loss of power may take the rename back.
//
// When a step up to the rename fails, the temporary file is removed, so that it takes no room on
// a disk that may be full, and the name means what it meant before. When the sync of the folder
// fails the new file may be there already; it is complete, and a retry writes it again.
func writeFileAtomically(files FileSystem, name string, data []byte, hook StepHook) error {
	temporary := name + temporarySuffix
	if err := writeSynced(files, temporary, data, hook); err != nil {
		_ = files.Remove(temporary) // if it remains, no reader opens it and the next start removes it
		return err
	}
	if err := rename(files, temporary, name, hook); err != nil {
		_ = files.Remove(temporary)
		return newWriteError(stepRename, err)
	}
	return newWriteError(stepSyncFolder, syncFolder(files, filepath.Dir(name), hook))
}

func rename(files FileSystem, from, to string, hook StepHook) error {
	if err := hook.before(stepRename); err != nil {
		return err
	}
	return files.Rename(from, to)
}

func syncFolder(files FileSystem, folder string, hook StepHook) error {
	if err := hook.before(stepSyncFolder); err != nil {
		return err
	}
	return files.SyncFolder(folder)
}

// writeSynced writes a complete file and syncs it.
func writeSynced(files FileSystem, name string, data []byte, hook StepHook) error {
	if err := hook.before(stepWrite); err != nil {
		return newWriteError(stepWrite, err)
	}
	file, err := files.Create(name)
	if err != nil {
		return newWriteError(stepWrite, err)
	}
	if err := writeAll(file, data); err != nil {
		_ = file.Close()
		return newWriteError(stepWrite, err)
	}
	return newWriteError(stepSync, syncAndClose(file, hook))
}

func writeAll(file File, data []byte) error {
	count, err := file.Write(data)
	if err == nil && count < len(data) {
		return io.ErrShortWrite
	}
	return err
}

// syncAndClose syncs a file and closes it in any case.
func syncAndClose(file File, hook StepHook) error {
	err := hook.before(stepSync)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// MakeFolder makes a folder, and those above it. The error is a WriteError.
func MakeFolder(name string) error {
	return newWriteError(stepMakeFolder, localFiles{}.MakeFolder(name))
}

// syncFolderNames makes a folder durable, and all names in it. An earlier process that was killed
// may have left names that a loss of power would still take back, one by one: a file that is read
// now might be gone later, or one that is removed now might come back alone.
func syncFolderNames(files FileSystem, folder string) error {
	if err := files.MakeFolder(folder); err != nil {
		return newWriteError(stepMakeFolder, err)
	}
	if err := files.SyncFolder(filepath.Dir(folder)); err != nil {
		return newWriteError(stepMakeFolder, err)
	}
	return newWriteError(stepSyncFolder, files.SyncFolder(folder))
}
