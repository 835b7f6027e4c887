package memstorage

import (
	"slices"
	"testing"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

func TestArchiveStoresAndDeletesRecordsByFile(t *testing.T) {
	a := Archive{}
	if a.LastFile() != 0 || len(a.Files()) != 0 {
		t.Fatalf("empty archive: files %v, last file %d", a.Files(), a.LastFile())
	}
	a.Put(7, []machine.Record{{Unit: "a", Body: []byte("one")}, {Unit: "b", Body: []byte("two")}})
	a.Put(3, []machine.Record{{Unit: "a", Body: []byte("three")}})
	if body, err := a.Get(7, "b"); err != nil || string(body) != "two" {
		t.Errorf("unit b of file 7 is %q, %v", body, err)
	}
	if _, err := a.Get(3, "b"); !errs.Is(err, errs.Corrupt) {
		t.Errorf("missing unit: got error %v, expected errs.Corrupt", err)
	}
	if files := a.Files(); !slices.Equal(files, []uint64{3, 7}) || a.LastFile() != 7 {
		t.Errorf("files %v, last file %d", files, a.LastFile())
	}
	a.Delete([]uint64{7, 9})
	if files := a.Files(); !slices.Equal(files, []uint64{3}) || a.LastFile() != 3 {
		t.Errorf("files %v, last file %d, after Delete", files, a.LastFile())
	}
}
