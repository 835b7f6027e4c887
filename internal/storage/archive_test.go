package storage

import (
	"errors"
	"fmt"
	"testing"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

const archiveFolder = "/data/shelf"

// After a failed write and a restart, an archive has exactly the records that were put completely. A
// record that it does not have is reported as damage.
func TestArchiveIsReadBack(t *testing.T) {
	folder := t.TempDir()
	counts, _ := open(t, t.TempDir())
	archive, err := OpenArchive(folder)
	if err != nil {
		t.Fatal(err)
	}
	records := []machine.Record{{Unit: "b-1", Body: []byte("one")}, {Unit: "b-2", Body: []byte("two")}}
	if err := archive.Put(7, records, counts); err != nil {
		t.Fatal(err)
	}
	archive.folder.BeforeStep = failAtStep(stepRename)
	if err := archive.Put(8, records, counts); !errors.Is(err, errInjected) {
		t.Fatalf("the write did not return the injected error: %v", err)
	}
	again, err := OpenArchive(folder)
	if err != nil || again.LastFile() != 7 || len(again.Files()) != 1 {
		t.Fatalf("after the failed write it has %v: %v", again.Files(), err)
	}
	if body, err := again.Get(7, "b-2"); err != nil || string(body) != "two" {
		t.Fatalf("read back %q: %v", body, err)
	}
	if _, err := again.Get(7, "b-3"); !errs.Is(err, errs.Corrupt) {
		t.Fatalf("reading a record that does not exist: %v", err)
	}
	again.Delete([]uint64{7})
	if _, err := again.Get(7, "b-1"); err == nil {
		t.Fatal("a deleted file was read")
	}
}

// After every possible power loss, a file that was acknowledged exists and is complete, and one that
// was not acknowledged is complete or absent.
func TestArchiveAfterEveryPowerLoss(t *testing.T) {
	for cut, completed := 1, false; !completed; cut++ {
		disk, put, all := putUntilPowerCut(t, cut)
		completed = all
		for at, after := range append(disk.afterPowerLoss(), disk.afterKill()) {
			checkArchive(t, fmt.Sprintf("cut %d, loss %d", cut, at), after, put)
		}
	}
}

var archivedRecords = []machine.Record{{Unit: "b-1", Body: []byte("one")}}

// putUntilPowerCut puts two files; the power is cut before the operation with the number cut.
func putUntilPowerCut(t *testing.T, cut int) (disk *memoryDisk, put []uint64, completed bool) {
	t.Helper()
	disk = newMemoryDisk()
	count := 0
	disk.before = func(string, string) error {
		if count++; count == cut {
			panic(powerCut{})
		}
		return nil
	}
	defer func() { disk.before = nil; _ = recover() }()
	counts, _, _ := OpenOn(disk, dataFolder)
	archive, err := OpenArchiveOn(disk, archiveFolder)
	if err != nil {
		t.Error(err)
	}
	for file := uint64(1); file <= 2; file++ {
		if err := archive.Put(file, archivedRecords, counts); err != nil {
			t.Error(err)
		}
		put = append(put, file)
	}
	return disk, put, true
}

func checkArchive(t *testing.T, what string, disk *memoryDisk, put []uint64) {
	t.Helper()
	archive, err := OpenArchiveOn(disk, archiveFolder)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	if len(archive.Files()) < len(put) {
		t.Fatalf("%s: %v were acknowledged, %v exist", what, put, archive.Files())
	}
	for _, file := range archive.Files() {
		if body, err := archive.Get(file, "b-1"); err != nil || string(body) != "one" {
			t.Fatalf("%s: file %d reads %q, %v", what, file, body, err)
		}
	}
}
