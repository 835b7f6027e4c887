package storage

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

// changeGroup writes a folder with one commit group and changes the bytes of its file.
func changeGroup(t *testing.T, change func(data []byte) []byte) (folder string) {
	t.Helper()
	folder = t.TempDir()
	opened, _ := open(t, folder)
	if err := opened.Write(entry(1)); err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*"+groupSuffix))
	data, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(files[0], change(data), 0o644); err != nil {
		t.Fatal(err)
	}
	return folder
}

// A file that was durable and is damaged in any way is reported as corrupt; Open does not skip or
// repair it.
func TestDamagedFileIsReportedAsCorrupt(t *testing.T) {
	for name, damage := range map[string]func(data []byte) []byte{
		"one bit":   func(data []byte) []byte { data[len(data)/2] ^= 1; return data },
		"cut short": func(data []byte) []byte { return data[:len(data)-3] },
		"emptied":   func([]byte) []byte { return nil },
		"foreign":   func([]byte) []byte { return []byte("something else altogether") },
	} {
		t.Run(name, func(t *testing.T) {
			folder := changeGroup(t, damage)
			if _, _, err := Open(folder); !errs.Is(err, errs.Corrupt) || errs.Of(err).Remedy == "" {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// A file in another release's format is neither read nor reported as damaged.
func TestFileOfAnotherReleaseIsRejected(t *testing.T) {
	folder := changeGroup(t, func(data []byte) []byte { data[formatSize-1] = '9'; return data })
	if _, _, err := Open(folder); !errs.Is(err, errs.WrongFolder) {
		t.Fatalf("got %v", err)
	}
}

// A folder that the first release wrote, in formatV1, is read, and new versions are written to it in
// formatV2.
func TestFormatV1IsRead(t *testing.T) {
	folder := t.TempDir()
	want := []machine.Record{{Unit: "u", Kind: "k", Epoch: 3, Seq: 4, Body: []byte("old")}}
	body, _ := json.Marshal(want)
	head := append([]byte(formatV1), make([]byte, 8)...)
	binary.BigEndian.PutUint32(head[4:], crc32.ChecksumIEEE(body))
	binary.BigEndian.PutUint32(head[8:], uint32(len(body)))
	if err := os.WriteFile(filepath.Join(folder, "0000000000000001.group"), append(head, body...), 0o644); err != nil {
		t.Fatal(err)
	}
	opened, got, err := Open(folder)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("read %+v, %v", got, err)
	}
	next := machine.Record{Unit: "u", Kind: "k", Epoch: 3, Seq: 5, Body: []byte{0, 255, '"'}}
	if err := opened.Write([]machine.Record{next, {Unit: "v", Kind: "empty"}}); err != nil {
		t.Fatal(err)
	}
	if _, got, err = Open(folder); err != nil || len(got) != 3 || !reflect.DeepEqual(got[1], next) || got[2].Unit != "v" {
		t.Fatalf("read %+v, %v", got, err)
	}
}
