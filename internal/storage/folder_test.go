package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

func entry(seq uint64) []machine.Record {
	return []machine.Record{{Unit: "u", Kind: "entry", Epoch: 1, Seq: seq, Body: []byte("body")}}
}

func open(t *testing.T, folder string) (*Folder, []machine.Record) {
	t.Helper()
	opened, records, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	return opened, records
}

var errInjected = errors.New("injected failure")

// failAtStep returns a hook that fails one step of a write.
func failAtStep(step string) StepHook {
	return func(now string) error {
		if now == step {
			return errInjected
		}
		return nil
	}
}

// A write fails at each of its steps: the versions that were durable before are read back, and the
// new version is read back completely or not at all.
func TestFailureAtEachWriteStep(t *testing.T) {
	write := func(f *Folder) error { return f.Write(entry(4)) }
	compact := func(f *Folder) error { return f.Compact(entry(3)) }
	for _, test := range []struct {
		step    string
		name    string
		attempt func(f *Folder) error
		want    int // records read back
	}{
		{stepWrite, "Write", write, 3},
		{stepSync, "Write", write, 3},
		{stepRename, "Write", write, 3},
		{stepSyncFolder, "Write", write, 4}, // the rename took effect, but was not acknowledged
		{stepWrite, "Compact", compact, 3},
		{stepSync, "Compact", compact, 3},
		{stepRename, "Compact", compact, 3},
		{stepSyncFolder, "Compact", compact, 1}, // the snapshot, which replaces the three
	} {
		t.Run(test.name+" at "+test.step, func(t *testing.T) {
			folder := t.TempDir()
			opened, _ := open(t, folder)
			for seq := uint64(1); seq <= 3; seq++ {
				if err := opened.Write(entry(seq)); err != nil {
					t.Fatal(err)
				}
			}
			opened.BeforeStep = failAtStep(test.step)
			if err := test.attempt(opened); !errors.Is(err, errInjected) {
				t.Fatalf("the write did not return the injected error: %v", err)
			}
			again, records := open(t, folder)
			if len(records) != test.want {
				t.Fatalf("%d records read back, not %d", len(records), test.want)
			}
			if files, _ := filepath.Glob(filepath.Join(folder, "*"+temporarySuffix)); len(files) > 0 {
				t.Fatalf("temporary files remain: %v", files)
			}
			if err := again.Write(entry(5)); err != nil {
				t.Fatalf("the write after the failed one: %v", err)
			}
			if _, more := open(t, folder); len(more) != len(records)+1 {
				t.Fatal("the write after the failed one is not read back")
			}
		})
	}
}

func TestCompactReplacesEarlierVersions(t *testing.T) {
	folder := t.TempDir()
	opened, _ := open(t, folder)
	for seq := uint64(1); seq <= 20; seq++ {
		if err := opened.Write(entry(seq)); err != nil {
			t.Fatal(err)
		}
	}
	if err := opened.Compact(entry(20)); err != nil {
		t.Fatal(err)
	}
	if err := opened.Write(entry(21)); err != nil {
		t.Fatal(err)
	}
	_, records := open(t, folder)
	if len(records) != 2 || records[0].Seq != 20 || records[1].Seq != 21 {
		t.Fatalf("read back %v", records)
	}
	if files, _ := os.ReadDir(folder); len(files) != 2 {
		t.Fatalf("%d files remain, not 2", len(files))
	}
}

// A version that is missing before a later one had been acknowledged, so the folder is damaged.
func TestMissingVersionIsCorrupt(t *testing.T) {
	disk := newMemoryDisk()
	folder, _, err := OpenOn(disk, dataFolder)
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(1); n <= 3; n++ {
		if err := folder.Write(versionRecord("entry", n)); err != nil {
			t.Fatal(err)
		}
	}
	if err := disk.Remove(folder.path(2, groupSuffix)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenOn(disk, dataFolder); !errs.Is(err, errs.Corrupt) || errs.Of(err).Remedy == "" {
		t.Fatalf("got %v", err)
	}
}

// The disk fails each operation of a write: the write returns a WriteError and leaves no temporary
// file, and a retry succeeds.
func TestDiskErrorAtEachOperation(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for _, operation := range []string{"create", "write", "sync", "close", "rename", "sync folder"} {
			for _, compact := range []bool{false, true} {
				t.Run(fmt.Sprintf("%v at %s, compact %v", cause, operation, compact), func(t *testing.T) {
					checkRetryAfter(t, cause, operation, compact)
				})
			}
		}
	}
}

// diskWithOneEntry returns a disk with a folder that has one commit group.
func diskWithOneEntry(t *testing.T) (*memoryDisk, *Folder) {
	t.Helper()
	disk := newMemoryDisk()
	folder, _, err := OpenOn(disk, dataFolder)
	if err != nil {
		t.Fatal(err)
	}
	if err := folder.Write(versionRecord("entry", 1)); err != nil {
		t.Fatal(err)
	}
	return disk, folder
}

func checkRetryAfter(t *testing.T, cause error, operation string, compact bool) {
	t.Helper()
	disk, folder := diskWithOneEntry(t)
	attempt, want := func() error { return folder.Write(versionRecord("entry", 2)) }, uint64(2)
	if compact {
		attempt, want = func() error { return folder.Compact(versionRecord("view", 1)) }, 1
	}
	disk.failOperation(operation, cause)
	if err := attempt(); !IsWriteError(err) || !errors.Is(err, cause) || IsDiskFull(err) != (cause == syscall.ENOSPC) {
		t.Fatalf("got %v", err)
	}
	disk.before = nil
	for name := range disk.names {
		if filepath.Ext(name) == temporarySuffix {
			t.Fatalf("%s remains and takes disk space", name)
		}
	}
	if found, err := readBack(disk.afterKill()); err != nil || found < 1 {
		t.Fatalf("read back %d, %v", found, err)
	}
	if err := attempt(); err != nil {
		t.Fatalf("the retry: %v", err)
	}
	if found, err := readBack(disk.afterKill()); err != nil || found != want {
		t.Fatalf("after the retry %d, %v", found, err)
	}
}

// A write that writes only some of the bytes, and reports no error, is not treated as complete.
func TestShortWriteIsAnError(t *testing.T) {
	disk := newMemoryDisk()
	folder, _, err := OpenOn(disk, dataFolder)
	if err != nil {
		t.Fatal(err)
	}
	disk.shortWrite = true
	if err := folder.Write(versionRecord("entry", 1)); !IsWriteError(err) {
		t.Fatalf("got %v", err)
	}
	if found, err := readBack(disk.afterKill()); err != nil || found != 0 {
		t.Fatalf("read back %d, %v", found, err)
	}
}

// A failure to read the folder is reported as damage and not as a retryable write error; a failure
// to prepare it for writing is a write error and not damage.
func TestReadErrorIsCorruptAndWriteErrorIsRetryable(t *testing.T) {
	for operation, isDamage := range map[string]bool{"list": true, "read": true, "make folder": false, "sync folder": false} {
		t.Run(operation, func(t *testing.T) {
			disk, _ := diskWithOneEntry(t)
			disk.failOperation(operation, syscall.EIO)
			_, _, err := OpenOn(disk, dataFolder)
			if errs.Is(err, errs.Corrupt) != isDamage || IsWriteError(err) == isDamage {
				t.Fatalf("got %v", err)
			}
			if operation == "read" {
				return // an archive reads no file when it is opened
			}
			_, err = OpenArchiveOn(disk, archiveFolder)
			if errs.Is(err, errs.Corrupt) != isDamage || IsWriteError(err) == isDamage {
				t.Fatalf("from the archive: got %v", err)
			}
		})
	}
}
