package storage

import (
	"io"
	"path/filepath"
)

// StepHook is called before each step of a write with the step's name (see WriteError.Step). If it
// returns an error, the step fails.
type StepHook func(step string) error

func (h StepHook) before(step string) error {
	if h == nil {
		return nil
	}
	return h(step)
}

// WriteFileAtomically writes a file durably, or leaves an existing file of that name unchanged. The
// error is a WriteError; if its step is the sync of the folder, the new file may already be in place.
func WriteFileAtomically(name string, data []byte) error {
	return writeFileAtomically(localFiles{}, name, data, nil)
}

// writeFileAtomically writes a file durably in four steps:
//
//  1. Write the contents under a temporary name. The file with the final name is unchanged.
//  2. Sync the temporary file, so that its contents are on disk before its name is final: a power
//     loss could otherwise leave the final name with no or partial contents.
//  3. Rename it. The final name refers to the old file or the new one, never to a mixture.
//  4. Sync the folder. Until then a power loss may undo the rename.
//
// If a step up to the rename fails, the temporary file is removed, so that it takes no space on a
// disk that may be full, and the file with the final name is unchanged. If the sync of the folder
// fails, the new file may already be in place; it is complete, and a retry writes it again.
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

// syncAndClose syncs a file and closes it, even if the sync fails.
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

// MakeFolder creates a folder and its parents. The error is a WriteError.
func MakeFolder(name string) error {
	return newWriteError(stepMakeFolder, localFiles{}.MakeFolder(name))
}

// syncFolderNames creates a folder if there is none, and makes it and all names in it durable. An
// earlier process that was killed may have left changes of names that a power loss can still undo,
// each independently of the others: a file that is read now might be gone later, or one that is
// removed now might reappear without the others.
func syncFolderNames(files FileSystem, folder string) error {
	if err := files.MakeFolder(folder); err != nil {
		return newWriteError(stepMakeFolder, err)
	}
	if err := files.SyncFolder(filepath.Dir(folder)); err != nil {
		return newWriteError(stepMakeFolder, err)
	}
	return newWriteError(stepSyncFolder, files.SyncFolder(folder))
}
